"""Measure the time of one decision at today's and at the target size."""

from __future__ import annotations

import statistics
import time
from random import Random
from typing import TYPE_CHECKING

from sardineyard.admission.model import PriorityRule, QueueLimits, Work
from sardineyard.admission.queue import AdmissionQueue
from sardineyard.core.clock import Deadline, SystemClock
from sardineyard.core.ids import (
    FailureDomain,
    ModelName,
    PriorityName,
    ProcessId,
    RequestId,
    TeamId,
    UpstreamId,
)
from sardineyard.routing.policies import PowerOfTwo, RouteRequest, choose
from sardineyard.routing.subset import choose_subset
from sardineyard.routing.table import UpstreamTable

if TYPE_CHECKING:
    from collections.abc import Callable

_ROUNDS = 7
_CALLS = 1_000


def main() -> None:
    """Print medians in microseconds; sizes are measured in turn."""
    print(f"microseconds for one decision, median [lowest highest] of {_ROUNDS} rounds")
    show("choose, 16 runners, all in the subset", routing(16, 16))
    show("choose, 67 runners, subset of 20", routing(67, 20))
    show("choose, 670 runners, subset of 20", routing(670, 20))
    show("choose, 670 runners, no subset", routing(670, 670))
    show("offer, start, finish; 10 teams", admission(10))
    show("offer, start, finish; 5,200 teams", admission(5_200))
    spread()


def show(name: str, call: Callable[[int], None]) -> None:
    """Time one kind of decision and print it."""
    times = []
    for _ in range(_ROUNDS):
        start = time.perf_counter()
        for number in range(_CALLS):
            call(number)
        times.append((time.perf_counter() - start) / _CALLS * 1e6)
    middle = statistics.median(times)
    print(f"{name:42} {middle:7.1f} [{min(times):.1f} {max(times):.1f}]")


def routing(fleet: int, size: int) -> Callable[[int], None]:
    """Return a call that routes one request, every second with a known prefix."""
    names = [UpstreamId(f"runner-{index}") for index in range(fleet)]
    table = UpstreamTable([PriorityName("urgent"), PriorityName("batch")])
    for name in choose_subset(ProcessId("entry-1"), names, size):
        table.add(name, [ModelName("m")], FailureDomain("a"), 32)
    policy = PowerOfTwo(FailureDomain("a"))
    rng = Random(1)

    def call(number: int) -> None:
        prompt = "shared " * 50 if number % 2 else f"{number}"
        request = RouteRequest(ModelName("m"), PriorityName("urgent"), prompt)
        view = choose(policy, table, request, float(number), rng)
        assert view is not None
        table.started(view.upstream, request.priority)
        table.ended(view.upstream, request.priority)

    return call


def admission(teams: int) -> Callable[[int], None]:
    """Return a call that takes one request through a queue of 1,000."""
    names = [TeamId(f"t{index}") for index in range(teams)]
    rules = [PriorityRule(PriorityName(name), 1e9) for name in ("urgent", "batch")]
    limits = QueueLimits(slots=1, max_queued=5_000)
    weights = dict.fromkeys(names, 1.0)
    queue = AdmissionQueue(rules, weights, SystemClock(), limits)

    def offer(number: int) -> None:
        team = names[number * 7 % teams]
        work = Work(
            RequestId(f"{time.perf_counter_ns()}"),
            team,
            PriorityName("batch"),
            Deadline(1e12),
        )
        queue.offer(work)

    for number in range(1_000):
        offer(number)

    def call(number: int) -> None:
        offer(number)
        started = queue.start_next()
        assert started is not None
        queue.finish(started.work.request_id, 10)

    return call


def spread() -> None:
    """Print how many entries use each runner at the target size."""
    names = [UpstreamId(f"runner-{index}") for index in range(670)]
    used = dict.fromkeys(names, 0)
    for entry in range(400):
        for name in choose_subset(ProcessId(f"entry-{entry}"), names, 20):
            used[name] += 1
    counts = sorted(used.values())
    print(
        f"entries per runner, 400 entries, subsets of 20 of 670: lowest {counts[0]}, "
        f"median {counts[335]}, highest {counts[-1]}"
    )


if __name__ == "__main__":
    main()
