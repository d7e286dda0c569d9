"""Schedule of platform reads that keeps the whole fleet within its read budget.

The platform serves about 2,000 reads per second in total. The fleet may use a tenth
of that, even when all processes start in the same second.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

# A random delay of up to `fleet size / FLEET_READS_PER_S` seconds keeps the first reads
# of the fleet near this rate. In a mass restart, the first processes see a small fleet
# and read immediately, which raises the peak to a few times this rate.
FLEET_READS_PER_S = 30.0
# How long the platform may delay a response while there is no newer document.
LONG_POLL_S = 20.0
POLL_INTERVAL_S = 60.0
VM_LIST_INTERVAL_S = 10.0
# A read is replanned if the known fleet has grown by more than this factor.
_MAX_GROWTH_FACTOR = 1.5
_INITIAL_BACKOFF_S = 0.2
_MAX_BACKOFF_S = 10.0


@unique
class Role(Enum):
    """How a process reads the platform: by long polling or at intervals."""

    WATCHER = "watcher"
    POLLER = "poller"


@dataclass(frozen=True, slots=True)
class FleetView:
    """Fleet size known to a process, and its role in reading the platform."""

    size: int
    role: Role


@dataclass(frozen=True, slots=True)
class ReadPlan:
    """Delay before the next read, and the long-poll time requested in it."""

    delay_s: float
    long_poll_s: float


def plan_first_read(view: FleetView, random: Random) -> ReadPlan:
    """Plan the first read after startup; a lone process reads immediately."""
    if view.size <= 1:
        return ReadPlan(0.0, 0.0)
    return ReadPlan(random.uniform(0, _read_spread_s(view)), 0.0)


def plan_next_read(view: FleetView, failures: int, random: Random) -> ReadPlan:
    """Plan the read that follows a success or a number of consecutive failures."""
    if failures:
        return ReadPlan(random.uniform(0, backoff_limit_s(view, failures)), 0.0)
    if view.role is Role.WATCHER:
        return ReadPlan(0.0, LONG_POLL_S)
    half = POLL_INTERVAL_S / 2
    return ReadPlan(random.uniform(half, POLL_INTERVAL_S + half), 0.0)


def backoff_limit_s(view: FleetView, failures: int) -> float:
    """Return the upper bound of the backoff, which has full jitter, in seconds."""
    exponential = _INITIAL_BACKOFF_S * 2.0 ** min(failures, 10)
    return max(min(_MAX_BACKOFF_S, exponential), _read_spread_s(view))


def vm_list_delay(view: FleetView, random: Random) -> float:
    """Return the seconds until the next read of the VM list."""
    interval = max(VM_LIST_INTERVAL_S, 2 * _read_spread_s(view))
    return random.uniform(interval / 2, interval * 1.5)


@unique
class DueAction(Enum):
    """Action to take when a planned read is due."""

    READ = "read"
    # The fleet is larger than the plan assumed.
    REPLAN = "plan_again"
    # A document is in force, and other processes watch the platform.
    SKIP = "leave_to_watchers"


def action_when_due(
    planned_view: FleetView, view: FleetView, *, has_document: bool
) -> DueAction:
    """Compare the fleet view of a planned read with the current one."""
    if has_document and view.role is Role.POLLER and planned_view.role is Role.WATCHER:
        return DueAction.SKIP
    if view.size > planned_view.size * _MAX_GROWTH_FACTOR:
        return DueAction.REPLAN
    return DueAction.READ


def _read_spread_s(view: FleetView) -> float:
    return 0.0 if view.size <= 1 else view.size / FLEET_READS_PER_S
