"""Compare the step time skew of a fixed and of a rebalanced expert map.

The ranks are simulated in one process in virtual time. Each step routes tokens to
experts by a Zipf popularity that drifts, and the step time of a rank is proportional
to its load. Both variants of a seed get the same tokens in every step.
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
from sardineyard.experts.placement import PlacementProblem, compute_placement
from sardineyard.experts.rebalance import Rebalancer, RebalanceRules, Verdict
from sardineyard.standins.rank_load import DriftingPopularity

EXPERTS = 64
EXPERT_BYTES = 100_000_000
STEP_S = 0.05
READ_INTERVAL_S = 2.0
RUNNER = UpstreamId("group")


@dataclass
class Variant:
    """Placement of one variant and the figures measured with it."""

    placement: tuple
    # Ratio of the largest to the mean step time of the ranks for each step: with the
    # sampled tokens, and with the popularity shares that they are sampled from.
    skews: list[float] = field(default_factory=list)
    expected_skews: list[float] = field(default_factory=list)
    moved_bytes: list[int] = field(default_factory=list)


def run_seed(seed: int, options: argparse.Namespace) -> tuple[Variant, Variant]:
    """Simulate the fixed and the rebalanced variant on the same tokens."""
    clock = ManualClock()
    popularity = DriftingPopularity(EXPERTS, options.exponent, Random(seed))
    capacities = (1.0,) * options.ranks
    problem = PlacementProblem(tuple(popularity.shares), capacities, options.slots)
    initial = compute_placement(problem, None, 1.03)
    fixed, balanced = Variant(initial), Variant(initial)
    tracker = LoadTracker(clock, EXPERTS, options.half_life_s, 400 * EXPERTS)
    rules = RebalanceRules(EXPERT_BYTES, options.bytes_per_s)
    rebalancer = Rebalancer(clock, rules)
    counters = [0.0] * EXPERTS
    steps_per_read = round(READ_INTERVAL_S / STEP_S)
    for step in range(1, options.steps + 1):
        if step % options.drift_steps == 0:
            popularity.drift()
        counts = popularity.sample(options.tokens)
        for variant in (fixed, balanced):
            variant.skews.append(step_skew(variant.placement, counts, capacities))
            variant.expected_skews.append(
                step_skew(variant.placement, popularity.shares, capacities)
            )
        counters = [sum(pair) for pair in zip(counters, counts, strict=True)]
        clock.advance(STEP_S)
        if step % steps_per_read == 0:
            tracker.observe(RUNNER, Incarnation(1), counters)
            apply_decision(balanced, rebalancer, tracker, problem)
    return fixed, balanced


def apply_decision(
    variant: Variant,
    rebalancer: Rebalancer,
    tracker: LoadTracker,
    problem: PlacementProblem,
) -> None:
    """Let the rebalancer decide once and apply the placement that it returns."""
    if sum(tracker.loads) == 0:
        return
    current = PlacementProblem(
        tracker.loads, problem.capacities, problem.slots_per_rank
    )
    decision = rebalancer.decide(current, variant.placement)
    if decision.verdict is Verdict.REBALANCE and decision.placement is not None:
        variant.placement = decision.placement
        variant.moved_bytes.append(decision.moved_bytes)
        rebalancer.committed(decision)


def p99(values: list[float]) -> float:
    """Return the 99th percentile."""
    return quantiles(values, n=100)[98]


def print_skew(options: argparse.Namespace) -> None:
    """Print one line for each seed and variant, and one for all seeds."""
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
            print(format_row(str(seed), name, [variant]))
    for name, variants in totals.items():
        print(format_row("all", name, variants))


def format_row(seed: str, name: str, variants: list[Variant]) -> str:
    """Return one table row with the figures of the given runs."""
    skews = [skew for variant in variants for skew in variant.skews]
    expected = [skew for variant in variants for skew in variant.expected_skews]
    moved = [size / 1e9 for variant in variants for size in variant.moved_bytes]
    mean_gb = mean(moved) if moved else 0.0
    return (
        f"{seed:>4} {name:9} {median(skews):8.3f} {p99(skews):5.2f} |"
        f"{median(expected):18.3f} {p99(expected):5.2f} |"
        f"{len(moved) / len(variants):11.1f} {mean_gb:8.2f} "
        f"{sum(moved) / len(variants):10.1f}"
    )


def print_placement_time(seeds: list[int]) -> None:
    """Print the time to compute one placement by number of ranks and experts."""
    print("\nTime of one placement after 8 popularity drifts; medians over the seeds")
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
    """Measure an initial placement and the next one after eight drifts."""
    popularity = DriftingPopularity(experts, 1.0, Random(seed))
    capacities = (1.0,) * ranks
    problem = PlacementProblem(tuple(popularity.shares), capacities, slots)
    started = time.perf_counter()
    initial = compute_placement(problem, None, 1.03)
    first_ms = (time.perf_counter() - started) * 1e3
    for _ in range(8):
        popularity.drift()
    shares = tuple(popularity.shares)
    started = time.perf_counter()
    after = compute_placement(
        PlacementProblem(shares, capacities, slots), initial, 1.03
    )
    next_ms = (time.perf_counter() - started) * 1e3
    return [
        first_ms,
        next_ms,
        step_skew(initial, shares, capacities),
        step_skew(after, shares, capacities),
        moved_replicas(initial, after),
    ]


def main() -> int:
    """Parse the options, run the measurements and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3, 4, 5])
    parser.add_argument("--ranks", type=int, nargs="+", default=[8, 16, 64])
    parser.add_argument("--slots", type=int, nargs="+", default=[16, 8, 3])
    parser.add_argument("--exponent", type=float, default=1.0)
    parser.add_argument("--steps", type=int, default=4000)
    parser.add_argument("--tokens", type=int, default=32_768)
    parser.add_argument("--drift-steps", type=int, nargs="+", default=[400, 100])
    parser.add_argument("--half-life-s", type=float, default=1.0)
    parser.add_argument("--bytes-per-s", type=float, default=1e9)
    options = parser.parse_args()
    print_placement_time(options.seeds)
    for ranks, slots in zip(options.ranks, options.slots, strict=True):
        for drift_steps in options.drift_steps:
            overrides = {"ranks": ranks, "slots": slots, "drift_steps": drift_steps}
            print_skew(argparse.Namespace(**{**vars(options), **overrides}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
