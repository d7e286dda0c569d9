"""Measure the skew of step times under drift: a fixed map against rebalancing.

The ranks are simulated in one process with virtual time: each step sends tokens to
experts by a drifting Zipf popularity, and the time of a rank follows its load. The
two variants of a seed get the same tokens, step by step.
"""

from __future__ import annotations

import argparse
import sys
import time
from dataclasses import dataclass, field
from random import Random
from statistics import mean, median, quantiles

from sardineyard.core.clock import ManualClock
from sardineyard.core.ids import Incarnation, UpstreamId
from sardineyard.experts.load import LoadTracker
from sardineyard.experts.maps import moved_replicas, step_skew
from sardineyard.experts.placement import PlacementProblem, place
from sardineyard.experts.rebalance import Rebalancer, RebalanceRules, Verdict
from sardineyard.standins.rank_load import DriftingPopularity

EXPERTS = 64
EXPERT_BYTES = 100_000_000
STEP_S = 0.05
READ_S = 2.0
RUNNER = UpstreamId("group")


@dataclass
class Variant:
    """Hold the map of one variant and what was measured with it."""

    ranks: tuple
    skews: list[float] = field(default_factory=list)
    expected: list[float] = field(default_factory=list)
    moved: list[int] = field(default_factory=list)


def run_seed(seed: int, options: argparse.Namespace) -> tuple[Variant, Variant]:
    """Run both variants on the same tokens and return them."""
    clock = ManualClock()
    popularity = DriftingPopularity(EXPERTS, options.exponent, Random(seed))
    speeds = (1.0,) * options.ranks
    problem = PlacementProblem(tuple(popularity.shares), speeds, options.slots)
    first = place(problem, None, 1.03)
    fixed, balanced = Variant(first), Variant(first)
    tracker = LoadTracker(clock, EXPERTS, options.half_life_s, 400 * EXPERTS)
    rules = RebalanceRules(EXPERT_BYTES, options.bytes_per_s)
    rebalancer = Rebalancer(clock, rules)
    counters = [0.0] * EXPERTS
    reading = round(READ_S / STEP_S)
    for step in range(1, options.steps + 1):
        if step % options.drift_steps == 0:
            popularity.drift()
        counts = popularity.sample(options.tokens)
        for variant in (fixed, balanced):
            variant.skews.append(step_skew(variant.ranks, counts, speeds))
            variant.expected.append(step_skew(variant.ranks, popularity.shares, speeds))
        counters = [sum(pair) for pair in zip(counters, counts, strict=True)]
        clock.advance(STEP_S)
        if step % reading == 0:
            tracker.observe(RUNNER, Incarnation(1), counters)
            rebalance(balanced, rebalancer, tracker, problem)
    return fixed, balanced


def rebalance(
    variant: Variant,
    rebalancer: Rebalancer,
    tracker: LoadTracker,
    problem: PlacementProblem,
) -> None:
    """Decide once and bring the placement into use."""
    if sum(tracker.loads) == 0:
        return
    now = PlacementProblem(tracker.loads, problem.capacities, problem.slots_per_rank)
    decision = rebalancer.decide(now, variant.ranks)
    if decision.verdict is Verdict.REBALANCE and decision.placement is not None:
        variant.ranks = decision.placement
        variant.moved.append(decision.moved_bytes)
        rebalancer.committed(decision)


def p99(values: list[float]) -> float:
    """Return the 99th percentile."""
    return quantiles(values, n=100)[98]


def report_skew(options: argparse.Namespace) -> None:
    """Print one line for each seed and variant and one for all of them."""
    print(
        f"\n{options.ranks} ranks, {options.slots} slots each, Zipf "
        f"{options.exponent}, {options.steps} steps of {options.tokens} tokens, a "
        f"drift every {options.drift_steps} steps, budget {options.bytes_per_s:.0e} B/s"
    )
    print(
        "seed variant   skew p50   p99 | of the shares p50   p99 "
        "| rebalances  GB each  GB in all"
    )
    totals: dict[str, list[Variant]] = {"fixed": [], "balanced": []}
    for seed in options.seeds:
        for name, variant in zip(totals, run_seed(seed, options), strict=True):
            totals[name].append(variant)
            print(line(str(seed), name, [variant]))
    for name, variants in totals.items():
        print(line("all", name, variants))


def line(seed: str, name: str, variants: list[Variant]) -> str:
    """Return the figures of some runs together."""
    skews = [skew for variant in variants for skew in variant.skews]
    expected = [skew for variant in variants for skew in variant.expected]
    moved = [size / 1e9 for variant in variants for size in variant.moved]
    each = mean(moved) if moved else 0.0
    return (
        f"{seed:>4} {name:9} {median(skews):8.3f} {p99(skews):5.2f} |"
        f"{median(expected):18.3f} {p99(expected):5.2f} |"
        f"{len(moved) / len(variants):11.1f} {each:8.2f} "
        f"{sum(moved) / len(variants):10.1f}"
    )


def report_placement_time(seeds: list[int]) -> None:
    """Print how the time of one placement grows with ranks and experts."""
    print("\nTime of one placement after a drift of 8 places; medians over the seeds")
    print("ranks experts slots | first ms  next ms | skew before  after  moved")
    sizes = [(8, 64), (16, 64), (32, 64), (64, 64), (64, 128), (64, 256)]
    for ranks, experts in sizes:
        slots = max(2, 2 * experts // ranks)
        rows = [placement_row(seed, ranks, experts, slots) for seed in seeds]
        values = [median(column) for column in zip(*rows, strict=True)]
        print(
            f"{ranks:5} {experts:7} {slots:5} | {values[0]:8.1f} {values[1]:8.1f} |"
            f"{values[2]:12.2f} {values[3]:6.3f} {values[4]:6.0f}"
        )


def placement_row(seed: int, ranks: int, experts: int, slots: int) -> list[float]:
    """Measure one first placement and the next one after a drift."""
    popularity = DriftingPopularity(experts, 1.0, Random(seed))
    speeds = (1.0,) * ranks
    problem = PlacementProblem(tuple(popularity.shares), speeds, slots)
    started = time.perf_counter()
    first = place(problem, None, 1.03)
    first_ms = (time.perf_counter() - started) * 1e3
    for _ in range(8):
        popularity.drift()
    shares = tuple(popularity.shares)
    started = time.perf_counter()
    after = place(PlacementProblem(shares, speeds, slots), first, 1.03)
    next_ms = (time.perf_counter() - started) * 1e3
    return [
        first_ms,
        next_ms,
        step_skew(first, shares, speeds),
        step_skew(after, shares, speeds),
        moved_replicas(first, after),
    ]


def main() -> int:
    """Run the measurements."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3, 4, 5])
    options.add_argument("--ranks", type=int, nargs="+", default=[8, 16, 64])
    options.add_argument("--slots", type=int, nargs="+", default=[16, 8, 3])
    options.add_argument("--exponent", type=float, default=1.0)
    options.add_argument("--steps", type=int, default=4000)
    options.add_argument("--tokens", type=int, default=32_768)
    options.add_argument("--drift-steps", type=int, nargs="+", default=[400, 100])
    options.add_argument("--half-life-s", type=float, default=1.0)
    options.add_argument("--bytes-per-s", type=float, default=1e9)
    values = options.parse_args()
    report_placement_time(values.seeds)
    for ranks, slots in zip(values.ranks, values.slots, strict=True):
        for drift_steps in values.drift_steps:
            one = {"ranks": ranks, "slots": slots, "drift_steps": drift_steps}
            report_skew(argparse.Namespace(**{**vars(values), **one}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
