"""Requests to the queue and the decisions that it returns."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.core.clock import Deadline
    from sardineyard.core.errors import ErrorKind
    from sardineyard.core.ids import PriorityName, RequestId, TeamId


@dataclass(frozen=True, slots=True)
class PriorityRule:
    """Describe one priority; rules are listed with the most urgent first."""

    name: PriorityName
    # Seconds within which the first token is due.
    target_s: float
    # Share of capacity that a flood of other priorities cannot take.
    reserved_share: float = 0.0


@dataclass(frozen=True, slots=True)
class Work:
    """Ask for one slot of the upstream."""

    request_id: RequestId
    team: TeamId
    priority: PriorityName
    deadline: Deadline
    input_tokens: int = 0
    # Upper bound of the output; one for calls that have no tokens.
    max_output_tokens: int = 1


@dataclass(frozen=True, slots=True)
class Queued:
    """Say that the work waits; it starts when `start_next` returns it."""

    work: Work


@dataclass(frozen=True, slots=True)
class Started:
    """Say that the work holds a slot from now on."""

    work: Work


@dataclass(frozen=True, slots=True)
class Refused:
    """Say that the work leaves the queue without having run."""

    work: Work
    kind: ErrorKind


@dataclass(frozen=True, slots=True)
class QueueLimits:
    """Bound the queue and its state."""

    slots: int = 32
    # Work beyond this number is refused to teams above their part of the queue.
    max_queued: int = 2_000
    # Counters of idle teams that are remembered, by priority.
    max_idle_teams: int = 1_024
    # Slots kept for more urgent priorities beyond their mean use, in multiples of
    # the square root of that use, which is the spread of random arrivals.
    headroom: float = 0.5
