"""Messages to the task that gives out places."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.core.ids import RequestId, ServiceName
    from sardineyard.core.mailbox import Mailbox, Reply
    from sardineyard.forwarding.place_messages import (
        Place,
        PlaceRequest,
        Refused,
        TicketId,
    )
    from sardineyard.gateway.state import GatewayDump


@unique
class CallResult(Enum):
    """Say how a call to an upstream ended, as far as its health is concerned."""

    ANSWERED = "answered"
    # Nothing listened, or the connection could not be opened in time.
    UNREACHABLE = "unreachable"
    # The connection ended, or the bytes were no answer.
    BROKEN = "broken"
    # The upstream answered with a failure of its own.
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    REJECTED = "rejected"
    # Another upstream has the address.
    MISDIRECTED = "misdirected"
    # The stream goes on at another upstream.
    MOVED = "moved"
    # The caller left, which says nothing about the upstream.
    ABANDONED = "abandoned"


@dataclass(frozen=True, slots=True)
class MoveStream:
    """Ask the owner of a place to go on at another upstream."""

    reason: str


@dataclass(frozen=True, slots=True)
class AskPlace:
    """Ask for a place at an upstream."""

    request_id: RequestId
    request: PlaceRequest
    reply: Reply[Place | Refused]
    # Gets news about the place while it is held.
    notices: Mailbox[MoveStream]


@dataclass(frozen=True, slots=True)
class ReleasePlace:
    """Give a place back, or stop waiting for one."""

    ticket: TicketId


@dataclass(frozen=True, slots=True)
class CallEnded:
    """Report how a call to an upstream ended."""

    service: ServiceName
    upstream: str
    result: CallResult


@dataclass(frozen=True, slots=True)
class PauseSeen:
    """Report the pause between two events of a stream."""

    service: ServiceName
    seconds: float


@dataclass(frozen=True, slots=True)
class FirstEventSeen:
    """Report the time from a place to the first event of a stream."""

    service: ServiceName
    seconds: float


@dataclass(frozen=True, slots=True)
class AskRepeat:
    """Ask whether a request may be sent to a further upstream."""

    service: ServiceName
    reply: Reply[bool]


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """Count a request of a caller for a service."""

    service: ServiceName


@dataclass(frozen=True, slots=True)
class DumpGateway:
    """Ask for the state of the dispatcher."""

    reply: Reply[GatewayDump]
