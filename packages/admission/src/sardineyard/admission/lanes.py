"""The priorities of a queue with their work, shares and expected waits."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from sardineyard.admission.backlog import Backlog
from sardineyard.admission.estimates import Estimates
from sardineyard.admission.lazyheap import LazyHeap
from sardineyard.admission.model import PriorityRule
from sardineyard.admission.shares import ReservedShares
from sardineyard.admission.teams import TeamCounters
from sardineyard.core.ids import PriorityName

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

    from sardineyard.admission.backlog import Item
    from sardineyard.admission.model import QueueLimits
    from sardineyard.core.ids import RequestId, TeamId

# Stands in until a document lists the priorities.
_ONLY_RULE = PriorityRule(PriorityName("default"), 1.0)
# One in a hundred urgent requests may miss its target; with slots that are freed
# at random times the wait for one exceeds ln(100) mean gaps once in a hundred.
_TAIL_GAPS = math.log(100)
# Part of the target that the wait for a slot may use.
_WAIT_PART = 0.5


class Lane:
    """Hold the queued work of one priority, on time and late."""

    def __init__(
        self, rule: PriorityRule, weights: Mapping[TeamId, float], max_idle: int
    ) -> None:
        self.rule = rule
        # Requests of this priority that hold a slot.
        self.running = 0
        self.on_time = Backlog(TeamCounters(weights, max_idle))
        self.late = Backlog(TeamCounters(weights, max_idle))

    def __len__(self) -> int:
        return len(self.on_time) + len(self.late)

    def add(self, item: Item) -> None:
        """Append work that can still meet its target."""
        self.on_time.add(item)

    def remove(self, item: Item) -> None:
        """Take work out of the queue."""
        _ = self.on_time.remove(item) or self.late.remove(item)

    def first_on_time(self, now: float) -> Item | None:
        """Return the next work that can meet its target; move late work away."""
        item = self.on_time.first()
        while item is not None and item.due < now:
            self.on_time.remove(item)
            self.late.add(item)
            item = self.on_time.first()
        return item

    def first(self, now: float) -> Item | None:
        """Return the next work, on time if there is any."""
        return self.first_on_time(now) or self.late.first()

    def charge(self, item: Item, cost: float) -> None:
        """Add tokens to the counters of a team."""
        self.on_time.counters.charge(item.account, cost)
        self.late.counters.charge(item.account, cost)


class Lanes:
    """Keep the priorities in order, the most urgent first."""

    def __init__(
        self,
        rules: Sequence[PriorityRule],
        weights: Mapping[TeamId, float],
        limits: QueueLimits,
    ) -> None:
        self.limits = limits
        self._rules = tuple(rules) or (_ONLY_RULE,)
        self._weights = weights
        self._lanes = {
            rule.name: Lane(rule, weights, limits.max_idle_teams)
            for rule in self._rules
        }
        self._arrivals: LazyHeap[RequestId] = LazyHeap()
        self._items: dict[RequestId, Item] = {}
        self.shares = ReservedShares(self._rules)
        self.estimates = Estimates(self._lanes)

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, request_id: RequestId) -> bool:
        return request_id in self._items

    def __iter__(self) -> Iterator[Lane]:
        return iter(self._lanes.values())

    def is_configured(
        self, rules: Sequence[PriorityRule], weights: Mapping[TeamId, float]
    ) -> bool:
        """Return whether rules and weights are the ones in use."""
        return self._rules == tuple(rules) and self._weights == weights

    def items(self) -> list[Item]:
        """Return the queued work in the order of its arrival."""
        return sorted(self._items.values(), key=lambda item: item.sequence)

    @property
    def backlogged(self) -> list[PriorityName]:
        """Return the priorities that have queued work."""
        return [name for name, lane in self._lanes.items() if len(lane)]

    def lane(self, priority: PriorityName) -> Lane:
        """Return one priority; an unknown one counts as the least urgent."""
        lane = self._lanes.get(priority)
        # An empty lane is false, so `or` would take the wrong one here.
        return list(self._lanes.values())[-1] if lane is None else lane

    def add(self, item: Item) -> None:
        """Append work to its priority."""
        self._items[item.work.request_id] = item
        self._arrivals.put(item.work.request_id, item.sequence)
        self.lane(item.work.priority).add(item)

    def remove(self, request_id: RequestId) -> Item | None:
        """Take work out of the queue, if it is there."""
        item = self._items.pop(request_id, None)
        if item is not None:
            self._arrivals.discard(request_id)
            lane = self.lane(item.work.priority)
            lane.remove(item)
            if not len(lane):
                self.shares.idle(lane.rule.name)
        return item

    def oldest(self) -> Item | None:
        """Return the work that arrived first."""
        found = self._arrivals.first()
        return None if found is None else self._items[found[1]]

    def kept_free(self, rule: PriorityRule, now: float) -> int:
        """Return the slots that a priority leaves to more urgent ones.

        More urgent work keeps the slots that it has used lately: otherwise each
        moment without it would hand a slot to longer work, until none is left.
        Slots that turn over fast enough for its target need no such care.
        """
        gap = self._mean_occupancy_s(now) / self.limits.slots
        kept = 0.0
        for lane in self:
            if lane.rule is rule:
                break
            if gap * _TAIL_GAPS > lane.rule.target_s * _WAIT_PART:
                used = self.estimates.used_slots(lane.rule.name, now)
                spread = self.limits.headroom * math.sqrt(used)
                kept += max(0.0, used + spread - lane.running)
        return min(math.floor(kept + 0.5), self.limits.slots - 1)

    def expected_wait_s(
        self, priority: PriorityName, now: float, account: TeamId | None = None
    ) -> float:
        """Return the expected seconds in the queue for a new request.

        With a team, only the work that would go before the team's next request
        counts, so the long queue of one team does not refuse the others.
        """
        ahead_s = 0.0
        more_urgent = 0.0
        for lane in self:
            name = lane.rule.name
            service_s = self.estimates.mean_service_s(name)
            if name == priority:
                own_s = (self._ahead(lane, account) + 1) * service_s
                break
            ahead_s += len(lane.on_time) * service_s
            more_urgent += self.estimates.used_slots(name, now)
        slots = self.limits.slots
        left = max(1.0, slots - more_urgent)
        wait = ahead_s / slots + own_s / left
        reserved = self.shares.reserved(priority) * slots
        return min(wait, own_s / reserved) if reserved else wait

    def _ahead(self, lane: Lane, account: TeamId | None) -> float:
        waiting = len(lane.on_time)
        if account is None:
            return waiting
        counters = lane.on_time.counters
        weight = counters.weight(account)
        rounds = lane.on_time.queued_by(account) + 1
        fair = rounds * max(counters.active_weight, weight) / weight
        return min(float(waiting), fair)

    def _mean_occupancy_s(self, now: float) -> float:
        used = weighted = 0.0
        for lane in self:
            slots = self.estimates.used_slots(lane.rule.name, now)
            used += slots
            weighted += slots * self.estimates.mean_service_s(lane.rule.name)
        return weighted / used if used else 0.0
