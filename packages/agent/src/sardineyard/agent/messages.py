"""Messages to the scheduler of an agent."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NewType, Protocol

if TYPE_CHECKING:
    from sardineyard.core.ids import RequestId
    from sardineyard.core.mailbox import Reply
    from sardineyard.core.requests import (
        CallEvent,
        Generation,
        LoadReport,
        ServiceCall,
    )
    from sardineyard.runner.execution import Permit
    from sardineyard.telemetry.state import QueueView

SessionId = NewType("SessionId", int)


class CallSink(Protocol):
    """Receive the events of one call."""

    def offer(self, message: CallEvent) -> bool:
        """Accept an event; return False if the receiver's queue is full."""


@dataclass(frozen=True, slots=True)
class Submit:
    """Queue a request and deliver the events of its call to a sink."""

    request: Generation | ServiceCall
    sink: CallSink
    session: SessionId
    # Monotonic time in seconds at which the scheduler queued the request.
    arrived: float = 0.0
    # Called immediately before the first byte is sent to the upstream; may refuse.
    permit: Permit | None = None


@dataclass(frozen=True, slots=True)
class CallEnded:
    """Release the slot of a call that has ended."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class ExpiryDue:
    """Wake the scheduler when queued work can no longer meet its deadline."""


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """Cancel a queued or running request."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class SessionClosed:
    """Cancel the calls of a closed session, except calls with an idempotency key."""

    session: SessionId


@dataclass(frozen=True, slots=True)
class ReadLoad:
    """Request the load of this agent."""

    reply: Reply[LoadReport]


@dataclass(frozen=True, slots=True)
class ReadQueues:
    """Request the state of the queue of each priority, most urgent first."""

    reply: Reply[tuple[QueueView, ...]]


@dataclass(frozen=True, slots=True)
class Drain:
    """Refuse new requests and reply once the last call has ended."""

    reply: Reply[None]
