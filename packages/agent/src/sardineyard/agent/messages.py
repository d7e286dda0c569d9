"""Messages between the tasks of an agent."""

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
    from sardineyard.runner.kinds import Permit
    from sardineyard.telemetry.state import QueueView

SessionId = NewType("SessionId", int)


class CallSink(Protocol):
    """Take the events of one call."""

    def offer(self, message: CallEvent) -> bool:
        """Take an event and return whether there was room for it."""


@dataclass(frozen=True, slots=True)
class Submit:
    """Ask the scheduler to run a request and to send its events to a sink."""

    request: Generation | ServiceCall
    sink: CallSink
    session: SessionId
    # Monotonic time at which the scheduler took the request.
    arrived: float = 0.0
    # Asked immediately before the first byte goes to the upstream.
    permit: Permit | None = None


@dataclass(frozen=True, slots=True)
class CallEnded:
    """Tell the scheduler that a call no longer uses its slot."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class ExpiryDue:
    """Tell the scheduler that queued work can no longer meet its deadline."""


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """Ask the scheduler to stop a request."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class SessionClosed:
    """Tell the scheduler that nobody waits for the calls of a session."""

    session: SessionId


@dataclass(frozen=True, slots=True)
class ReadLoad:
    """Ask the scheduler for the load of this agent."""

    reply: Reply[LoadReport]


@dataclass(frozen=True, slots=True)
class ReadQueues:
    """Ask the scheduler for the queue of each priority, the most urgent first."""

    reply: Reply[tuple[QueueView, ...]]


@dataclass(frozen=True, slots=True)
class Drain:
    """Ask the scheduler to refuse new work and to answer when the last call ended."""

    reply: Reply[None]
