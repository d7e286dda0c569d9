"""Messages between the dispatcher, which assigns slots, and request handlers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.core.clock import Deadline
    from sardineyard.core.ids import RequestId, ServiceName, UpstreamIncarnation
    from sardineyard.core.mailbox import Mailbox, Reply
    from sardineyard.forwarding.slot_messages import (
        QuarantineRefusal,
        SlotGrant,
        SlotRefusal,
        SlotRequest,
        TicketId,
    )
    from sardineyard.forwarding.traits import RefusedTraits, RequestTraits
    from sardineyard.gateway.state import GatewayDump


@unique
class CallResult(Enum):
    """Result of a call to an upstream, as health tracking and metrics see it."""

    # A success response was forwarded to the caller completely.
    ANSWERED = "answered"
    # The connection was refused or not established within the connect timeout.
    UNREACHABLE = "unreachable"
    # The connection was lost, or the bytes received are not a valid response.
    BROKEN = "broken"
    # The upstream returned a response with an error status.
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    # The upstream stated that it did not run the request.
    REJECTED = "rejected"
    # Nothing was sent: the upstream announced meanwhile that it takes no new requests.
    WITHHELD = "withheld"
    # Status 421: the address belongs to another upstream now.
    MISDIRECTED = "misdirected"
    # The stream was moved to another upstream.
    MOVED = "moved"
    # The caller disconnected or the deadline of the request passed, which is no
    # evidence about the health of the upstream.
    ABANDONED = "abandoned"


@dataclass(frozen=True, slots=True)
class MoveStream:
    """Request to the holder of a slot to continue its stream at another upstream."""

    reason: str


@dataclass(frozen=True, slots=True)
class AcquireSlot:
    """Request for a slot at an upstream."""

    request_id: RequestId
    request: SlotRequest
    traits: RequestTraits
    reply: Reply[SlotGrant | SlotRefusal | QuarantineRefusal]
    # Receives requests to move the stream while the slot is held.
    move_requests: Mailbox[MoveStream]


@dataclass(frozen=True, slots=True)
class ReleaseSlot:
    """Release of a slot, or cancellation of a queued request for one."""

    ticket: TicketId


@dataclass(frozen=True, slots=True)
class CallEnded:
    """Report of the result of a call to an upstream."""

    service: ServiceName
    upstream: str
    result: CallResult


@dataclass(frozen=True, slots=True)
class ResponseHeadReceived:
    """Report of what an upstream says about itself in the head of a response."""

    request_id: RequestId
    upstream: UpstreamIncarnation
    # Monotonic time at which the call to the upstream started.
    call_started_at: float
    # Whether the upstream rejected the request without running it.
    is_rejection: bool
    # Requests a second that the upstream takes; None without such a limit.
    limit_per_s: float | None
    # Whether the upstream announced that it is about to exit.
    is_leaving: bool
    # Until when the upstream wants no requests; None if it asks for no pause.
    pause_until: Deadline | None


@dataclass(frozen=True, slots=True)
class FindResumption:
    """Request for the end of the first pause, if all upstreams of a service pause."""

    service: ServiceName
    reply: Reply[Deadline | None]


@dataclass(frozen=True, slots=True)
class RequestStarted:
    """Report that an upstream began to run a stream request without a crash."""

    traits: RequestTraits


@dataclass(frozen=True, slots=True)
class RequestCompleted:
    """Report that an upstream ran a request to its end."""

    traits: RequestTraits


@dataclass(frozen=True, slots=True)
class UpstreamCrashed:
    """Report that an upstream ended while it ran a request."""

    request_id: RequestId
    upstream: UpstreamIncarnation
    # The traits that may have caused the crash.
    traits: RequestTraits
    # Monotonic time at which the call to the upstream started.
    call_started_at: float | None = None
    # Receives the number of known crashes of the request, with this one.
    reply: Reply[int] | None = None


@dataclass(frozen=True, slots=True)
class CallUnfinished:
    """Report of a call without a complete response, whose upstream may have ended."""

    request_id: RequestId
    upstream: UpstreamIncarnation
    traits: RequestTraits
    # Monotonic time at which the call to the upstream started.
    call_started_at: float


@dataclass(frozen=True, slots=True)
class RefusedTraitsChanged:
    """Message to the dispatcher with all traits whose requests are refused."""

    traits: RefusedTraits


@dataclass(frozen=True, slots=True)
class EventGapMeasured:
    """Report of the time between two events of a stream."""

    service: ServiceName
    seconds: float


@dataclass(frozen=True, slots=True)
class FirstEventMeasured:
    """Report of the time from the grant of a slot to the first event of a stream."""

    service: ServiceName
    seconds: float


@dataclass(frozen=True, slots=True)
class AcquireRetry:
    """Request to the retry budget for one further call of a request."""

    service: ServiceName
    reply: Reply[bool]


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """Report of a new request for a service; the retry budget grows with these."""

    service: ServiceName


@dataclass(frozen=True, slots=True)
class DumpGateway:
    """Request for the state of the dispatcher."""

    reply: Reply[GatewayDump]
