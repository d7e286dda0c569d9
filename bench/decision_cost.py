"""Measure the time of one routing or admission decision at current and target size."""

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
_CALLS_PER_ROUND = 1_000


def main() -> None:
    """Print the median time of each kind of decision, one size after the other."""
    print(f"microseconds for one decision, median [lowest highest] of {_ROUNDS} rounds")
    print_timing("choose, 16 runners, all in the subset", routing_call(16, 16))
    print_timing("choose, 67 runners, subset of 20", routing_call(67, 20))
    print_timing("choose, 670 runners, subset of 20", routing_call(670, 20))
    print_timing("choose, 670 runners, no subset", routing_call(670, 670))
    print_timing("offer, start, finish; 10 teams", admission_call(10))
    print_timing("offer, start, finish; 5,200 teams", admission_call(5_200))
    print_subset_distribution()


def print_timing(name: str, call: Callable[[int], None]) -> None:
    """Measure one kind of decision and print its time in microseconds."""
    times = []
    for _ in range(_ROUNDS):
        start = time.perf_counter()
        for number in range(_CALLS_PER_ROUND):
            call(number)
        times.append((time.perf_counter() - start) / _CALLS_PER_ROUND * 1e6)
    median_us = statistics.median(times)
    print(f"{name:42} {median_us:7.1f} [{min(times):.1f} {max(times):.1f}]")


def routing_call(runner_count: int, subset_size: int) -> Callable[[int], None]:
    """Return a function that routes a request; every second one shares a prefix."""
    names = [UpstreamId(f"runner-{index}") for index in range(runner_count)]
    table = UpstreamTable([PriorityName("urgent"), PriorityName("batch")])
    for name in choose_subset(ProcessId("entry-1"), names, subset_size):
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


def admission_call(team_count: int) -> Callable[[int], None]:
    """Return a function that admits and finishes a request while 1,000 are queued."""
    names = [TeamId(f"t{index}") for index in range(team_count)]
    rules = [PriorityRule(PriorityName(name), 1e9) for name in ("urgent", "batch")]
    limits = QueueLimits(slots=1, max_queued=5_000)
    weights = dict.fromkeys(names, 1.0)
    queue = AdmissionQueue(rules, weights, SystemClock(), limits)

    def offer(number: int) -> None:
        team = names[number * 7 % team_count]
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


def print_subset_distribution() -> None:
    """Print how many entries use each runner at the target fleet size."""
    names = [UpstreamId(f"runner-{index}") for index in range(670)]
    entries_per_runner = dict.fromkeys(names, 0)
    for entry in range(400):
        for name in choose_subset(ProcessId(f"entry-{entry}"), names, 20):
            entries_per_runner[name] += 1
    counts = sorted(entries_per_runner.values())
    print(
        f"entries per runner, 400 entries, subsets of 20 of 670: lowest {counts[0]}, "
        f"median {counts[335]}, highest {counts[-1]}"
    )


if __name__ == "__main__":
    main()
