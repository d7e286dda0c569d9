"""Requests for places at upstreams, and what is decided on them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from typing import TYPE_CHECKING, NewType

if TYPE_CHECKING:
    from sardineyard.core.clock import Deadline
    from sardineyard.core.ids import ServiceName
    from sardineyard.forwarding.config import UpstreamEntry

TicketId = NewType("TicketId", int)

# Part of the time left that a caller is told to stay away: callers wait for a third
# at most.
RETRY_TIME_LEFT = 0.25


@unique
class Refusal(Enum):
    """Say why a request gets no place."""

    # More urgent work takes all places that will become free in time.
    OVERLOADED = "overloaded"
    NO_UPSTREAM = "no_upstream"
    # The caller or the route waits no longer.
    OUT_OF_TIME = "out_of_time"


@dataclass(frozen=True, slots=True)
class PlaceRequest:
    """Ask for a place at an upstream of a service."""

    ticket: TicketId
    service: ServiceName
    priority: int
    arrived: float
    deadline: Deadline
    target_latency_s: float
    target_pause_s: float
    # Seconds that the caller spent on earlier attempts at the same request.
    waited_before_s: float = 0.0
    excluded: frozenset[str] = frozenset()
    # A stream that goes on at another upstream holds a place already.
    is_continuation: bool = False

    @property
    def came_back(self) -> bool:
        """Return whether the caller was refused before and is late already."""
        return self.waited_before_s > self.target_latency_s


@dataclass(frozen=True, slots=True)
class Place:
    """Grant a place; the figures behind it go into the log."""

    upstream: UpstreamEntry
    # Requests of all processes at the upstream, as far as known.
    in_flight: int
    service_in_flight: int
    service_limit: float
    # Whether the answer could not be on time any more when this was decided.
    is_late: bool


@dataclass(frozen=True, slots=True)
class Refused:
    """Refuse a place, with the seconds after which a new request may get one."""

    reason: Refusal
    retry_after_s: float
    waiting: int
    service_in_flight: int
    service_limit: float
    # Whether the answer could not be on time any more when this was decided.
    is_late: bool
