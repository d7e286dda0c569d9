"""Policies that choose the next work; a queue is created with one of them."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.admission.backlog import Item
    from sardineyard.admission.lanes import Lane, Lanes


@dataclass(frozen=True, slots=True)
class FairShares:
    """Serve reserved shares first, then the most urgent, fairly among teams."""


@dataclass(frozen=True, slots=True)
class FirstComeFirstServed:
    """Serve in order of arrival and refuse nothing early, as a baseline."""


Policy = FairShares | FirstComeFirstServed

_POLICIES: dict[str, type[Policy]] = {
    "fair_shares": FairShares,
    "first_come": FirstComeFirstServed,
}


def policy_named(name: str) -> Policy:
    """Return the policy that a setting names."""
    return _POLICIES[name]()


@singledispatch
def choose(policy: object, lanes: Lanes, free_slots: int, now: float) -> Item | None:
    """Return the work that starts next, or None while slots are kept free."""
    raise NotImplementedError(type(policy).__name__)


@choose.register(FirstComeFirstServed)
def _choose_oldest(
    policy: FirstComeFirstServed, lanes: Lanes, free_slots: int, now: float
) -> Item | None:
    return lanes.oldest()


@choose.register(FairShares)
def _choose_fairly(
    policy: FairShares, lanes: Lanes, free_slots: int, now: float
) -> Item | None:
    allowed = [
        lane
        for lane in lanes
        if len(lane) and free_slots > lanes.kept_free(lane.rule, now)
    ]
    below = [lane for lane in allowed if lanes.shares.is_below(lane.rule.name)]
    if below:
        # Earliest due first: serving them by urgency would let the least urgent fall
        # behind its share by a request of each of the others. Equals go by urgency.
        return min(below, key=lambda lane: _due_in(lanes, lane, now)).first(now)
    # Work whose target is missed has no worth left, so it waits behind work of
    # any priority that can still meet its own.
    for lane in allowed:
        item = lane.first_on_time(now)
        if item is not None:
            return item
    for lane in allowed:
        return lane.first(now)
    return None


def _due_in(lanes: Lanes, lane: Lane, now: float) -> float:
    item = lane.first(now)
    cost = lanes.estimates.cost(item.work) if item is not None else 0.0
    return lanes.shares.due_in(lane.rule.name, cost)


@singledispatch
def refuses_early(policy: object) -> bool:
    """Return whether work that cannot meet its deadline is refused."""
    raise NotImplementedError(type(policy).__name__)


@refuses_early.register(FairShares)
def _fair_refuses(policy: FairShares) -> bool:
    return True


@refuses_early.register(FirstComeFirstServed)
def _oldest_refuses(policy: FirstComeFirstServed) -> bool:
    return False
