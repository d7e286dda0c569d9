"""Waiting requests and measured load of one service."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.forwarding.config import ServiceProfile
    from sardineyard.forwarding.passes import PassModel
    from sardineyard.forwarding.slot_messages import SlotRequest

# Fraction of the limit that late requests leave to those that can still be on time: a
# late response is worth a third of one on time, and makes the next request late too.
# The limit varies by a tenth from pass to pass, so a smaller fraction reserves nothing.
_RESERVED_FROM_LATE = 0.3
# The same while decode passes are too long for any stream to be on time.
_RESERVED_FROM_LATE_UNATTAINABLE = 0.12
# Time from the grant of a slot to the first event before any measurement, in seconds,
# and the weight of the newest measurement.
_INITIAL_FIRST_EVENT_S = 0.15
_FIRST_EVENT_WEIGHT = 0.1
# Number of rejecting ranks from which their group is treated as closed: all ranks of a
# group that is being re-formed reject requests, whereas a full rank rejects alone.
_MIN_CLOSED_RANKS = 2


@dataclass(slots=True)
class ServiceLoad:
    """Waiting requests and measured load of one service."""

    profile: ServiceProfile
    model: PassModel | None
    waiting: list[SlotRequest] = field(default_factory=list)
    # Target event gap of the latest stream request, in seconds; zero without one.
    max_event_gap_s: float = 0.0
    # Slots that this process may grant before the next update from its peers, and those
    # of them that late requests may get.
    credit: float = 1.0
    late_credit: float = 1.0
    # Mean time from the grant of a slot to the first event, in seconds.
    first_event_s: float = _INITIAL_FIRST_EVENT_S
    # Upstreams that rejected a request since the service last ran one.
    rejecting: set[str] = field(default_factory=set)
    # Earliest time of the next request to a closed group.
    probe_at: float = 0.0

    @property
    def reserved_from_late(self) -> float:
        """Return the fraction of the limit that late requests leave to others."""
        model = self.model
        if model is None or model.can_meet_gap(self.max_event_gap_s):
            return _RESERVED_FROM_LATE
        return _RESERVED_FROM_LATE_UNATTAINABLE

    @property
    def is_closed(self) -> bool:
        """Return whether the rank group is treated as running no requests."""
        return self.model is not None and len(self.rejecting) >= _MIN_CLOSED_RANKS

    def observe_first_event(self, seconds: float) -> None:
        """Record the time from the grant of a slot to the first event."""
        self.first_event_s += _FIRST_EVENT_WEIGHT * (seconds - self.first_event_s)

    def replenish_credits(self, limit: float, in_flight: int, processes: int) -> None:
        """Add the share of one process in the free slots to its credits."""
        for_late = limit * (1.0 - self.reserved_from_late)
        self.credit = _replenished(self.credit, limit - in_flight, processes)
        self.late_credit = _replenished(
            self.late_credit, for_late - in_flight, processes
        )


def _replenished(credit: float, free: float, processes: int) -> float:
    local_share = max(0.0, free) / processes
    return min(max(1.0, local_share), credit + local_share)
