"""Fixtures of the admission tests."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING, Protocol

import pytest

from sardineyard.admission.model import PriorityRule, QueueLimits, Work
from sardineyard.admission.queue import AdmissionQueue
from sardineyard.core.clock import Deadline, ManualClock
from sardineyard.core.ids import PriorityName, RequestId, TeamId

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from sardineyard.admission.policies import Policy


class MakeWork(Protocol):
    """Factory of work with a new id."""

    def __call__(
        self,
        priority: str = "urgent",
        team: str = "a",
        *,
        tokens: int = 10,
        deadline: float = 1e9,
    ) -> Work:
        """Return new work."""


@pytest.fixture
def clock() -> ManualClock:
    """Return a clock that only the test advances."""
    return ManualClock()


@pytest.fixture
def make_work() -> MakeWork:
    """Return a factory of work with new ids."""
    numbers = count()

    def make(
        priority: str = "urgent",
        team: str = "a",
        *,
        tokens: int = 10,
        deadline: float = 1e9,
    ) -> Work:
        return Work(
            RequestId(f"r{next(numbers)}"),
            TeamId(team),
            PriorityName(priority),
            Deadline(deadline),
            max_output_tokens=tokens,
        )

    return make


@pytest.fixture
def make_queue(clock: ManualClock) -> Callable[..., AdmissionQueue]:
    """Return a factory of queues with three priorities."""

    def make(
        slots: int = 1,
        shares: Sequence[float] = (0.0, 0.0, 0.0),
        weights: Mapping[TeamId, float] | None = None,
        policy: Policy | None = None,
        max_queued: int = 100_000,
        targets: Sequence[float] = (1e9, 1e9, 1e9),
    ) -> AdmissionQueue:
        names = ("urgent", "pressing", "batch")
        rules = [
            PriorityRule(PriorityName(name), target, share)
            for name, target, share in zip(names, targets, shares, strict=True)
        ]
        teams = weights if weights is not None else {TeamId("a"): 1.0}
        limits = QueueLimits(slots=slots, max_queued=max_queued, max_idle_teams=100)
        return AdmissionQueue(rules, teams, clock, limits, policy)

    return make


@pytest.fixture
def serve(clock: ManualClock) -> Callable[[AdmissionQueue, int], list[Work]]:
    """Return a function that runs queued work sequentially and returns it."""

    def run(queue: AdmissionQueue, number: int) -> list[Work]:
        served = []
        for _ in range(number):
            started = queue.start_next()
            if started is None:
                break
            served.append(started.work)
            clock.advance(0.1)
            queue.finish(started.work.request_id, started.work.max_output_tokens)
        return served

    return run
