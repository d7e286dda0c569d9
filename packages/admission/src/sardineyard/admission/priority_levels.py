"""Per-priority queues, with reserved shares and expected waits."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from sardineyard.admission.estimates import Estimates
from sardineyard.admission.fair_queue import FairQueue
from sardineyard.admission.lazyheap import LazyHeap
from sardineyard.admission.model import PriorityRule
from sardineyard.admission.shares import ReservedShares
from sardineyard.admission.teams import TeamCounters
from sardineyard.core.ids import PriorityName

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

    from sardineyard.admission.fair_queue import WorkItem
    from sardineyard.admission.model import QueueLimits
    from sardineyard.core.ids import RequestId, TeamId

# Used until a document lists the priorities.
_DEFAULT_RULE = PriorityRule(PriorityName("default"), 1.0)
# 99th percentile of the wait for a free slot, in mean gaps between slot releases: with
# random releases (exponential gaps), 1% of the waits exceed ln(100) gaps. It is
# acceptable that 1% of the urgent requests miss their target.
_P99_GAPS = math.log(100)
# Fraction of the first-token target that the wait for a slot may take.
_MAX_WAIT_FRACTION = 0.5


class PriorityLevel:
    """Queued work of one priority, divided by whether it can still meet its target."""

    def __init__(
        self, rule: PriorityRule, weights: Mapping[TeamId, float], max_idle: int
    ) -> None:
        self.rule = rule
        # Requests of this priority that hold a slot.
        self.running = 0
        self.on_time = FairQueue(TeamCounters(weights, max_idle))
        self.late = FairQueue(TeamCounters(weights, max_idle))

    def __len__(self) -> int:
        return len(self.on_time) + len(self.late)

    def add(self, item: WorkItem) -> None:
        """Append work to the on-time queue."""
        self.on_time.add(item)

    def remove(self, item: WorkItem) -> None:
        """Remove queued work."""
        _ = self.on_time.remove(item) or self.late.remove(item)

    def first_on_time(self, now: float) -> WorkItem | None:
        """Return the next on-time work; move work past its target to `late`."""
        item = self.on_time.first()
        while item is not None and item.start_by < now:
            self.on_time.remove(item)
            self.late.add(item)
            item = self.on_time.first()
        return item

    def first(self, now: float) -> WorkItem | None:
        """Return the next work, preferring on-time over late."""
        return self.first_on_time(now) or self.late.first()

    def charge(self, item: WorkItem, cost: float) -> None:
        """Add tokens to both counters of a team."""
        self.on_time.counters.charge(item.account, cost)
        self.late.counters.charge(item.account, cost)


class PriorityLevels:
    """Priority levels of a queue, the most urgent first."""

    def __init__(
        self,
        rules: Sequence[PriorityRule],
        weights: Mapping[TeamId, float],
        limits: QueueLimits,
    ) -> None:
        self.limits = limits
        self._rules = tuple(rules) or (_DEFAULT_RULE,)
        self._weights = weights
        self._levels = {
            rule.name: PriorityLevel(rule, weights, limits.max_idle_teams)
            for rule in self._rules
        }
        self._arrivals: LazyHeap[RequestId] = LazyHeap()
        self._items: dict[RequestId, WorkItem] = {}
        self.shares = ReservedShares(self._rules)
        self.estimates = Estimates(self._levels)

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, request_id: RequestId) -> bool:
        return request_id in self._items

    def __iter__(self) -> Iterator[PriorityLevel]:
        return iter(self._levels.values())

    def matches_config(
        self, rules: Sequence[PriorityRule], weights: Mapping[TeamId, float]
    ) -> bool:
        """Return whether the rules and weights equal those in use."""
        return self._rules == tuple(rules) and self._weights == weights

    def items(self) -> list[WorkItem]:
        """Return the queued work in order of arrival."""
        return sorted(self._items.values(), key=lambda item: item.sequence)

    @property
    def backlogged(self) -> list[PriorityName]:
        """Return the priorities that have queued work."""
        return [name for name, level in self._levels.items() if len(level)]

    def level(self, priority: PriorityName) -> PriorityLevel:
        """Return the level of a priority; the least urgent level if it is unknown."""
        level = self._levels.get(priority)
        # A level without queued work is falsy, so `or` would discard it here.
        return list(self._levels.values())[-1] if level is None else level

    def add(self, item: WorkItem) -> None:
        """Append work to the level of its priority."""
        self._items[item.work.request_id] = item
        self._arrivals.put(item.work.request_id, item.sequence)
        self.level(item.work.priority).add(item)

    def remove(self, request_id: RequestId) -> WorkItem | None:
        """Remove queued work and return it, or None if it is not queued."""
        item = self._items.pop(request_id, None)
        if item is not None:
            self._arrivals.discard(request_id)
            level = self.level(item.work.priority)
            level.remove(item)
            if not len(level):
                self.shares.drop_credit(level.rule.name)
        return item

    def oldest(self) -> WorkItem | None:
        """Return the queued work that arrived first."""
        found = self._arrivals.first()
        return None if found is None else self._items[found[1]]

    def kept_free_slots(self, rule: PriorityRule, now: float) -> int:
        """Return the number of slots to keep free for more urgent priorities.

        A more urgent priority keeps its recent mean use plus headroom. Otherwise, in
        each gap between its requests, longer requests of lower priorities would take
        a slot until none is left. No slot is kept for a priority if slots are
        released fast enough to meet its target anyway.
        """
        slot_release_gap_s = self._mean_occupancy_s(now) / self.limits.slots
        kept = 0.0
        for level in self:
            if level.rule is rule:
                break
            if (
                slot_release_gap_s * _P99_GAPS
                > level.rule.first_token_target_s * _MAX_WAIT_FRACTION
            ):
                used = self.estimates.used_slots(level.rule.name, now)
                spread = self.limits.headroom * math.sqrt(used)
                kept += max(0.0, used + spread - level.running)
        return min(math.floor(kept + 0.5), self.limits.slots - 1)

    def expected_wait_s(
        self, priority: PriorityName, now: float, account: TeamId | None = None
    ) -> float:
        """Return the expected queue wait of a new request, in seconds.

        With a team account, only work that would start before the team's next request
        counts, so the long queue of one team does not cause refusals for others.
        """
        ahead_s = 0.0
        more_urgent_slots = 0.0
        for level in self:
            name = level.rule.name
            service_s = self.estimates.mean_service_s(name)
            if name == priority:
                same_priority_s = (self._requests_ahead(level, account) + 1) * service_s
                break
            ahead_s += len(level.on_time) * service_s
            more_urgent_slots += self.estimates.used_slots(name, now)
        slots = self.limits.slots
        available_slots = max(1.0, slots - more_urgent_slots)
        wait = ahead_s / slots + same_priority_s / available_slots
        reserved = self.shares.reserved(priority) * slots
        return min(wait, same_priority_s / reserved) if reserved else wait

    def _requests_ahead(self, level: PriorityLevel, account: TeamId | None) -> float:
        queued = len(level.on_time)
        if account is None:
            return queued
        counters = level.on_time.counters
        weight = counters.weight(account)
        rounds = level.on_time.queued_by(account) + 1
        fair_ahead = rounds * max(counters.active_weight, weight) / weight
        return min(float(queued), fair_ahead)

    def _mean_occupancy_s(self, now: float) -> float:
        total_slots = weighted_s = 0.0
        for level in self:
            slots = self.estimates.used_slots(level.rule.name, now)
            total_slots += slots
            weighted_s += slots * self.estimates.mean_service_s(level.rule.name)
        return weighted_s / total_slots if total_slots else 0.0
