"""The queue in front of one upstream."""

from __future__ import annotations

from dataclasses import replace
from itertools import count
from typing import TYPE_CHECKING

from sardineyard.admission.backlog import Item
from sardineyard.admission.lanes import Lanes
from sardineyard.admission.lazyheap import LazyHeap
from sardineyard.admission.model import Queued, QueueLimits, Refused, Started
from sardineyard.admission.policies import FairShares, choose, refuses_early
from sardineyard.core.clock import Deadline
from sardineyard.core.errors import ErrorKind

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from sardineyard.admission.model import PriorityRule, Work
    from sardineyard.admission.policies import Policy
    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import PriorityName, RequestId, TeamId

_DEFAULT_LIMITS = QueueLimits()
# Part of a target that is left for the way between caller and agent.
_TARGET_MARGIN = 0.1


class AdmissionQueue:
    """Decide which work starts, waits or is refused; never wait itself."""

    def __init__(
        self,
        rules: Sequence[PriorityRule],
        weights: Mapping[TeamId, float],
        clock: Clock,
        limits: QueueLimits = _DEFAULT_LIMITS,
        policy: Policy | None = None,
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._policy: Policy = policy or FairShares()
        self._lanes = Lanes(rules, weights, limits)
        self._expiry: LazyHeap[RequestId] = LazyHeap()
        self._running: dict[RequestId, Item] = {}
        self._sequence = count()
        # Late work that made room for newer work; `expire` hands it out.
        self._displaced: list[Refused] = []

    @property
    def queued(self) -> int:
        """Return the number of requests that wait."""
        return len(self._lanes)

    @property
    def running(self) -> int:
        """Return the number of requests that hold a slot."""
        return len(self._running)

    @property
    def slots(self) -> int:
        """Return the number of requests that may run at once."""
        return self._limits.slots

    @property
    def next_expiry(self) -> Deadline | None:
        """Return the time at which `expire` has work to refuse."""
        if self._displaced:
            return Deadline(self._clock.now())
        found = self._expiry.first()
        return None if found is None else Deadline(found[0])

    def configure(
        self,
        rules: Sequence[PriorityRule],
        weights: Mapping[TeamId, float],
        limits: QueueLimits,
    ) -> None:
        """Follow a new document; queued work keeps its order of arrival."""
        unchanged = self._lanes.is_configured(rules, weights)
        self._limits = limits
        self._lanes.limits = limits
        if unchanged:
            return
        before = self._lanes
        self._lanes = Lanes(rules, weights, limits)
        self._lanes.estimates.adopt(before.estimates)
        for item in [*self._running.values(), *before.items()]:
            lane = self._lanes.lane(item.work.priority)
            item.work = replace(item.work, priority=lane.rule.name)
            item.account = lane.on_time.counters.account(item.work.team)
        for item in self._running.values():
            self._lanes.lane(item.work.priority).running += 1
        for item in before.items():
            self._lanes.add(item)

    def offer(self, work: Work) -> Queued | Refused:
        """Queue work, or refuse it when its deadline cannot be met."""
        now = self._clock.now()
        lane = self._lanes.lane(work.priority)
        if work.priority != lane.rule.name:
            work = replace(work, priority=lane.rule.name)
        account = lane.on_time.counters.account(work.team)
        kind = self._refusal(work, account, now)
        if work.request_id in self._running or work.request_id in self._lanes:
            # Two items of one id could not be told apart when one of them ends;
            # another agent can take the second one.
            kind = ErrorKind.OVERLOADED
        if kind is not None:
            return Refused(work, kind)
        used = self._lanes.estimates.first_token_s(lane.rule.name)
        due = Deadline(now + lane.rule.target_s * (1 - _TARGET_MARGIN) - used)
        item = Item(work, account, now, due, next(self._sequence))
        self._lanes.add(item)
        self._expiry.put(work.request_id, self._latest_start(work))
        return Queued(work)

    def start_next(self) -> Started | None:
        """Give the next work a free slot, if there are both."""
        free = self._limits.slots - len(self._running)
        if free <= 0:
            return None
        now = self._clock.now()
        item = choose(self._policy, self._lanes, free, now)
        if item is None:
            return None
        estimates = self._lanes.estimates
        item.estimate = estimates.cost(item.work)
        item.started = now
        self._charge(item, item.estimate, item.estimate)
        estimates.started(item.work, now)
        self._forget(item.work.request_id)
        self._lanes.lane(item.work.priority).running += 1
        self._running[item.work.request_id] = item
        return Started(item.work)

    def finish(
        self,
        request_id: RequestId,
        output_tokens: int,
        *,
        complete: bool = True,
        first_token_s: float = 0.0,
    ) -> None:
        """Free the slot and correct the estimate by the real output in tokens.

        Times of a request that was cancelled or failed teach nothing.
        """
        item = self._running.pop(request_id, None)
        if item is None:
            return
        self._lanes.lane(item.work.priority).running -= 1
        real = max(1.0, float(item.work.input_tokens + output_tokens))
        self._charge(item, real - item.estimate, real)
        if complete:
            seconds = self._clock.now() - item.started
            self._lanes.estimates.finished(
                item.work, output_tokens, seconds, first_token_s
            )

    def cancel(self, request_id: RequestId) -> Refused | None:
        """Remove queued work; return None when it is running or unknown."""
        item = self._forget(request_id)
        return None if item is None else Refused(item.work, ErrorKind.CANCELLED)

    def expire(self) -> list[Refused]:
        """Refuse queued work that can no longer finish before its deadline."""
        now = self._clock.now()
        refused, self._displaced = self._displaced, []
        found = self._expiry.first()
        while found is not None and found[0] <= now:
            item = self._forget(found[1])
            if item is not None:
                refused.append(Refused(item.work, ErrorKind.DEADLINE_UNREACHABLE))
            found = self._expiry.first()
        return refused

    def expected_waits(self) -> dict[PriorityName, float]:
        """Return the expected wait of a new request in seconds, by priority."""
        now = self._clock.now()
        idle = not self.queued and self.running < self._limits.slots
        return {
            lane.rule.name: 0.0
            if idle
            else self._lanes.expected_wait_s(lane.rule.name, now)
            for lane in self._lanes
        }

    def _refusal(self, work: Work, account: TeamId, now: float) -> ErrorKind | None:
        lane = self._lanes.lane(work.priority)
        if len(self._lanes) >= self._limits.max_queued and not self._displace(now):
            counters = lane.on_time.counters
            teams = max(counters.active_weight, counters.weight(account))
            part = self._limits.max_queued * counters.weight(account) / teams
            waiting = lane.on_time.queued_by(account) + lane.late.queued_by(account)
            if waiting >= part or len(self._lanes) >= 2 * self._limits.max_queued:
                return ErrorKind.OVERLOADED
        if work.deadline <= now:
            return ErrorKind.DEADLINE_UNREACHABLE
        if not refuses_early(self._policy):
            return None
        if not self.queued and self.running < self._limits.slots:
            # A free slot gives the truth at no cost to others, even if the
            # estimate of the service time is wrong.
            return None
        wait = self._lanes.expected_wait_s(lane.rule.name, now, account)
        if now + wait > self._latest_start(work):
            return ErrorKind.DEADLINE_UNREACHABLE
        return None

    def _displace(self, now: float) -> bool:
        """Refuse work that has missed its target to make room for newer work."""
        for lane in reversed(list(self._lanes)):
            lane.first_on_time(now)
            item = lane.late.first()
            if item is not None:
                self._forget(item.work.request_id)
                self._displaced.append(Refused(item.work, ErrorKind.OVERLOADED))
                return True
        return False

    def _latest_start(self, work: Work) -> Deadline:
        if not refuses_early(self._policy):
            return work.deadline
        return Deadline(work.deadline - self._lanes.estimates.service_s(work))

    def _charge(self, item: Item, cost: float, request_cost: float) -> None:
        lane = self._lanes.lane(item.work.priority)
        lane.charge(item, cost)
        backlogged = self._lanes.backlogged
        self._lanes.shares.charge(lane.rule.name, cost, request_cost, backlogged)

    def _forget(self, request_id: RequestId) -> Item | None:
        self._expiry.discard(request_id)
        return self._lanes.remove(request_id)
