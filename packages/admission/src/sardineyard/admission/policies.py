"""Scheduling policies; a queue is created with one of them."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.admission.fair_queue import WorkItem
    from sardineyard.admission.priority_levels import PriorityLevel, PriorityLevels


@dataclass(frozen=True, slots=True)
class FairShares:
    """Reserved shares first, then by urgency, with fair queuing among teams."""


@dataclass(frozen=True, slots=True)
class FirstComeFirstServed:
    """Order of arrival without early refusal, as a baseline."""


Policy = FairShares | FirstComeFirstServed

_POLICIES: dict[str, type[Policy]] = {
    "fair_shares": FairShares,
    "first_come": FirstComeFirstServed,
}


def policy_named(name: str) -> Policy:
    """Return the policy for a name from the settings."""
    return _POLICIES[name]()


@singledispatch
def choose(
    policy: object, levels: PriorityLevels, free_slots: int, now: float
) -> WorkItem | None:
    """Return the work to start next, or None if no queued work may take a free slot."""
    raise NotImplementedError(type(policy).__name__)


@choose.register(FirstComeFirstServed)
def _choose_first_come(
    policy: FirstComeFirstServed, levels: PriorityLevels, free_slots: int, now: float
) -> WorkItem | None:
    return levels.oldest()


@choose.register(FairShares)
def _choose_fair_shares(
    policy: FairShares, levels: PriorityLevels, free_slots: int, now: float
) -> WorkItem | None:
    allowed = [
        level
        for level in levels
        if len(level) and free_slots > levels.kept_free_slots(level.rule, now)
    ]
    below_share = [
        level for level in allowed if levels.shares.is_below_share(level.rule.name)
    ]
    if below_share:
        # Earliest due first: by urgency, the least urgent priority could fall below its
        # share by one request of each other priority. Ties are broken by urgency.
        return min(
            below_share, key=lambda level: _tokens_until_due(levels, level, now)
        ).first(now)
    # Work that has missed its target is treated as worthless, so it runs after work of
    # any priority that can still meet its target.
    for level in allowed:
        item = level.first_on_time(now)
        if item is not None:
            return item
    for level in allowed:
        return level.first(now)
    return None


def _tokens_until_due(
    levels: PriorityLevels, level: PriorityLevel, now: float
) -> float:
    item = level.first(now)
    cost = levels.estimates.cost(item.work) if item is not None else 0.0
    return levels.shares.tokens_until_due(level.rule.name, cost)


@singledispatch
def refuses_early(policy: object) -> bool:
    """Return whether work expected to miss its deadline is refused."""
    raise NotImplementedError(type(policy).__name__)


@refuses_early.register(FairShares)
def _fair_shares_refuses_early(policy: FairShares) -> bool:
    return True


@refuses_early.register(FirstComeFirstServed)
def _first_come_refuses_early(policy: FirstComeFirstServed) -> bool:
    return False
