"""Requests for upstream slots, and the decisions on them.

A slot is the right to have one request in flight at an upstream.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from typing import TYPE_CHECKING, NewType

if TYPE_CHECKING:
    from sardineyard.core.clock import Deadline
    from sardineyard.core.ids import ServiceName
    from sardineyard.forwarding.config import UpstreamEntry
    from sardineyard.forwarding.traits import Trait

# Identifies a request for a slot from its arrival until the slot is released.
TicketId = NewType("TicketId", int)

# Fraction of the time left after which a refused caller is told to retry; callers wait
# for at most a third of it.
RETRY_AFTER_FRACTION = 0.25
# Time for which a stream request waits for a slot, as a multiple of its target latency.
# Callers abandon a stream at four times the target.
_HOLD_TARGETS = 2.4
# The same for a late retry: its caller makes no third attempt.
_RETRY_HOLD_TARGETS = 3.6
# Fraction of the time from arrival to deadline after which a waiting request is
# refused, so that its caller has time for a retry.
_HOLD_DEADLINE_FRACTION = 0.4


@unique
class RefusalReason(Enum):
    """Reason why a request is refused a slot."""

    # All slots that become free in time go to more urgent requests.
    OVERLOADED = "overloaded"
    NO_UPSTREAM = "no_upstream"
    # All upstreams asked for pauses that last for longer than the request may wait.
    PAUSED = "paused"
    # No other upstream has a free slot for a stream that is to move at once.
    NO_FREE_SLOT = "no_free_slot"
    # The deadline set by the caller or by the route has passed.
    OUT_OF_TIME = "out_of_time"


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """A request for a slot at any upstream of a service."""

    ticket: TicketId
    service: ServiceName
    priority: int
    # Monotonic time of arrival, in seconds.
    arrived: float
    deadline: Deadline
    target_latency_s: float
    target_event_gap_s: float
    # Seconds that the caller spent on earlier attempts at the same request.
    earlier_attempts_s: float = 0.0
    # Upstreams to which the request was already sent.
    excluded: frozenset[str] = frozenset()
    # Whether a started stream continues at another upstream. It held a slot before, so
    # it is no additional load.
    is_continuation: bool = False
    # Whether the request still holds a slot, which it gives up once it has this one.
    holds_slot: bool = False
    # The only upstreams that the request may be sent to; None if any will do.
    allowed: frozenset[str] | None = None

    @property
    def is_late_retry(self) -> bool:
        """Return whether this is a retry whose target latency has already passed."""
        return self.earlier_attempts_s > self.target_latency_s

    @property
    def refuse_at(self) -> float:
        """Return the time until which the request waits for a slot."""
        if self.is_continuation:
            # Its caller has part of the response, and cannot return for the rest if
            # the stream ends now. The time since the arrival was not spent waiting.
            return self.deadline
        total_s = self.deadline - self.arrived
        if self.target_event_gap_s > 0:
            targets = _RETRY_HOLD_TARGETS if self.is_late_retry else _HOLD_TARGETS
            hold_s = self.target_latency_s * targets
            return self.arrived + min(hold_s, total_s * _HOLD_DEADLINE_FRACTION)
        return self.arrived + total_s * _HOLD_DEADLINE_FRACTION


@dataclass(frozen=True, slots=True)
class SlotGrant:
    """A granted slot, with the load figures of the decision, which are logged."""

    upstream: UpstreamEntry
    # Known in-flight requests of all processes at the upstream, without this one.
    in_flight: int
    service_in_flight: int
    service_limit: float
    # Whether the response was already bound to miss its target latency.
    is_late: bool


@dataclass(frozen=True, slots=True)
class QuarantineRefusal:
    """A slot refused because requests with a trait of this one crash upstreams."""

    trait: Trait


@dataclass(frozen=True, slots=True)
class SlotRefusal:
    """A refused slot, with the seconds after which the caller may retry."""

    reason: RefusalReason
    retry_after_s: float
    # Waiting requests of this process that precede the refused one.
    waiting: int
    service_in_flight: int
    service_limit: float
    # Whether the response was already bound to miss its target latency.
    is_late: bool
