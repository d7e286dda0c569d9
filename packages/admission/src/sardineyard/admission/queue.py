"""Admission queue in front of one upstream."""

from __future__ import annotations

from dataclasses import replace
from itertools import count
from typing import TYPE_CHECKING

from sardineyard.admission.fair_queue import WorkItem
from sardineyard.admission.lazyheap import LazyHeap
from sardineyard.admission.model import Queued, QueueLimits, Refused, Started
from sardineyard.admission.policies import FairShares, choose, refuses_early
from sardineyard.admission.priority_levels import PriorityLevels
from sardineyard.core.clock import Deadline
from sardineyard.core.errors import ErrorKind

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from sardineyard.admission.model import PriorityRule, Work
    from sardineyard.admission.policies import Policy
    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import PriorityName, RequestId, TeamId

_DEFAULT_LIMITS = QueueLimits()
# Fraction of the first-token target reserved for transit between caller and agent.
_TRANSIT_FRACTION = 0.1


class AdmissionQueue:
    """Decides which work starts, waits or is refused; its methods never block."""

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
        self._levels = PriorityLevels(rules, weights, limits)
        self._expiry: LazyHeap[RequestId] = LazyHeap()
        self._running: dict[RequestId, WorkItem] = {}
        self._sequence = count()
        # Late work evicted to make room for newer work, until `expire` returns it.
        self._evicted: list[Refused] = []

    @property
    def queued(self) -> int:
        """Return the number of queued requests."""
        return len(self._levels)

    @property
    def running(self) -> int:
        """Return the number of requests that hold a slot."""
        return len(self._running)

    @property
    def slots(self) -> int:
        """Return the number of requests that may run concurrently."""
        return self._limits.slots

    @property
    def next_expiry(self) -> Deadline | None:
        """Return the time at which `expire` next has work to refuse, if any."""
        if self._evicted:
            return Deadline(self._clock.now())
        earliest = self._expiry.first()
        return None if earliest is None else Deadline(earliest[0])

    def configure(
        self,
        rules: Sequence[PriorityRule],
        weights: Mapping[TeamId, float],
        limits: QueueLimits,
    ) -> None:
        """Apply a new document; queued work keeps its order of arrival."""
        is_unchanged = self._levels.matches_config(rules, weights)
        self._limits = limits
        self._levels.limits = limits
        if is_unchanged:
            return
        previous = self._levels
        self._levels = PriorityLevels(rules, weights, limits)
        self._levels.estimates.adopt(previous.estimates)
        for item in [*self._running.values(), *previous.items()]:
            level = self._levels.level(item.work.priority)
            item.work = replace(item.work, priority=level.rule.name)
            item.account = level.on_time.counters.account(item.work.team)
        for item in self._running.values():
            self._levels.level(item.work.priority).running += 1
        for item in previous.items():
            self._levels.add(item)

    def offer(self, work: Work) -> Queued | Refused:
        """Queue work, or refuse it on overload or if it would miss its deadline."""
        now = self._clock.now()
        level = self._levels.level(work.priority)
        if work.priority != level.rule.name:
            work = replace(work, priority=level.rule.name)
        account = level.on_time.counters.account(work.team)
        kind = self._refusal_kind(work, account, now)
        if work.request_id in self._running or work.request_id in self._levels:
            # Items with the same id could not be told apart when one of them ends, so
            # the second is refused with an error that lets another agent run it.
            kind = ErrorKind.OVERLOADED
        if kind is not None:
            return Refused(work, kind)
        first_token_s = self._levels.estimates.first_token_s(level.rule.name)
        start_by = Deadline(
            now
            + level.rule.first_token_target_s * (1 - _TRANSIT_FRACTION)
            - first_token_s
        )
        item = WorkItem(work, account, now, start_by, next(self._sequence))
        self._levels.add(item)
        self._expiry.put(work.request_id, self._latest_start(work))
        return Queued(work)

    def start_next(self) -> Started | None:
        """Start the next work if a slot is free for it."""
        free_slots = self._limits.slots - len(self._running)
        if free_slots <= 0:
            return None
        now = self._clock.now()
        item = choose(self._policy, self._levels, free_slots, now)
        if item is None:
            return None
        estimates = self._levels.estimates
        item.estimated_cost = estimates.cost(item.work)
        item.started_at = now
        self._charge(item, item.estimated_cost, item.estimated_cost)
        estimates.started(item.work, now)
        self._dequeue(item.work.request_id)
        self._levels.level(item.work.priority).running += 1
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
        """Free the slot and correct the charged cost by the actual output.

        The averages leave out requests that were cancelled or failed.
        """
        item = self._running.pop(request_id, None)
        if item is None:
            return
        self._levels.level(item.work.priority).running -= 1
        actual_cost = max(1.0, float(item.work.input_tokens + output_tokens))
        self._charge(item, actual_cost - item.estimated_cost, actual_cost)
        if complete:
            seconds = self._clock.now() - item.started_at
            self._levels.estimates.finished(
                item.work, output_tokens, seconds, first_token_s
            )

    def cancel(self, request_id: RequestId) -> Refused | None:
        """Remove queued work; return None if it is running or unknown."""
        item = self._dequeue(request_id)
        return None if item is None else Refused(item.work, ErrorKind.CANCELLED)

    def expire(self) -> list[Refused]:
        """Return refusals of evicted work and of work that would miss its deadline."""
        now = self._clock.now()
        refused, self._evicted = self._evicted, []
        earliest = self._expiry.first()
        while earliest is not None and earliest[0] <= now:
            item = self._dequeue(earliest[1])
            if item is not None:
                refused.append(Refused(item.work, ErrorKind.DEADLINE_UNREACHABLE))
            earliest = self._expiry.first()
        return refused

    def expected_waits(self) -> dict[PriorityName, float]:
        """Return the expected queue wait of a new request in seconds, by priority."""
        now = self._clock.now()
        idle = not self.queued and self.running < self._limits.slots
        return {
            level.rule.name: 0.0
            if idle
            else self._levels.expected_wait_s(level.rule.name, now)
            for level in self._levels
        }

    def _refusal_kind(
        self, work: Work, account: TeamId, now: float
    ) -> ErrorKind | None:
        level = self._levels.level(work.priority)
        if len(self._levels) >= self._limits.max_queued and not self._evict_late(now):
            counters = level.on_time.counters
            total_weight = max(counters.active_weight, counters.weight(account))
            team_quota = (
                self._limits.max_queued * counters.weight(account) / total_weight
            )
            team_queued = level.on_time.queued_by(account) + level.late.queued_by(
                account
            )
            if (
                team_queued >= team_quota
                or len(self._levels) >= 2 * self._limits.max_queued
            ):
                return ErrorKind.OVERLOADED
        if work.deadline <= now:
            return ErrorKind.DEADLINE_UNREACHABLE
        if not refuses_early(self._policy):
            return None
        if not self.queued and self.running < self._limits.slots:
            # The service time estimate may be wrong; with a free slot, running the
            # request delays no other and corrects the estimate.
            return None
        wait = self._levels.expected_wait_s(level.rule.name, now, account)
        if now + wait > self._latest_start(work):
            return ErrorKind.DEADLINE_UNREACHABLE
        return None

    def _evict_late(self, now: float) -> bool:
        """Evict one late item, least urgent priority first, to make room."""
        for level in reversed(list(self._levels)):
            level.first_on_time(now)
            item = level.late.first()
            if item is not None:
                self._dequeue(item.work.request_id)
                self._evicted.append(Refused(item.work, ErrorKind.OVERLOADED))
                return True
        return False

    def _latest_start(self, work: Work) -> Deadline:
        if not refuses_early(self._policy):
            return work.deadline
        return Deadline(work.deadline - self._levels.estimates.service_s(work))

    def _charge(self, item: WorkItem, cost: float, request_cost: float) -> None:
        level = self._levels.level(item.work.priority)
        level.charge(item, cost)
        backlogged = self._levels.backlogged
        self._levels.shares.charge(level.rule.name, cost, request_cost, backlogged)

    def _dequeue(self, request_id: RequestId) -> WorkItem | None:
        self._expiry.discard(request_id)
        return self._levels.remove(request_id)
