"""Decide when a process reads the platform, so that the fleet stays in its budget.

The platform answers about 2,000 reads a second for all readers together. The fleet
may use a tenth of that, also when every process starts in the same second.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

# A delay drawn evenly from `fleet size / FLEET_READS_PER_S` seconds keeps the fleet's
# first reads near this rate. At a mass restart the first processes still see a small
# fleet and read at once, which raises the peak to a few times this figure.
FLEET_READS_PER_S = 30.0
WATCH_S = 20.0
POLL_INTERVAL_S = 60.0
VM_LIST_INTERVAL_S = 10.0
# A plan made for a fleet this much smaller than the one now known is made again.
_GROWTH_LIMIT = 1.5
_FIRST_BACKOFF_S = 0.2
_LONGEST_BACKOFF_S = 10.0


@unique
class Role(Enum):
    """Say how a process follows the platform."""

    WATCHER = "watcher"
    POLLER = "poller"


@dataclass(frozen=True, slots=True)
class FleetView:
    """Hold what a process knows about the fleet."""

    size: int
    role: Role


@dataclass(frozen=True, slots=True)
class ReadPlan:
    """Say when to read next and how long the platform may hold the answer."""

    delay_s: float
    wait_s: float


def first_read(view: FleetView, random: Random) -> ReadPlan:
    """Plan the first read after the start; a single process reads at once."""
    if view.size <= 1:
        return ReadPlan(0.0, 0.0)
    return ReadPlan(random.uniform(0, _fleet_spread(view)), 0.0)


def next_read(view: FleetView, failures: int, random: Random) -> ReadPlan:
    """Plan the read after one that ended well or after some failures in a row."""
    if failures:
        return ReadPlan(random.uniform(0, backoff(view, failures)), 0.0)
    if view.role is Role.WATCHER:
        return ReadPlan(0.0, WATCH_S)
    half = POLL_INTERVAL_S / 2
    return ReadPlan(random.uniform(half, POLL_INTERVAL_S + half), 0.0)


def backoff(view: FleetView, failures: int) -> float:
    """Return the upper bound of a delay with full jitter, in seconds."""
    exponential = _FIRST_BACKOFF_S * 2.0 ** min(failures, 10)
    return max(min(_LONGEST_BACKOFF_S, exponential), _fleet_spread(view))


def vm_list_delay(view: FleetView, random: Random) -> float:
    """Return the seconds until the next read of the VM list."""
    interval = max(VM_LIST_INTERVAL_S, 2 * _fleet_spread(view))
    return random.uniform(interval / 2, interval * 1.5)


@unique
class DueStep(Enum):
    """Say what to do when a planned read comes due."""

    READ = "read"
    # The fleet turned out to be larger than the plan assumed.
    PLAN_AGAIN = "plan_again"
    # A peer gave the document and others watch the platform.
    LEAVE_TO_WATCHERS = "leave_to_watchers"


def when_due(planned: FleetView, view: FleetView, *, has_document: bool) -> DueStep:
    """Check a planned read against what the process has learned since."""
    if has_document and view.role is Role.POLLER and planned.role is Role.WATCHER:
        return DueStep.LEAVE_TO_WATCHERS
    if view.size > planned.size * _GROWTH_LIMIT:
        return DueStep.PLAN_AGAIN
    return DueStep.READ


def _fleet_spread(view: FleetView) -> float:
    return 0.0 if view.size <= 1 else view.size / FLEET_READS_PER_S
