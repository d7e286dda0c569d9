"""Tests of the popularity estimate."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from sardineyard.core.ids import RankIndex
from sardineyard.experts.popularity import PopularityTracker

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from random import Random

    from sardineyard.core.clock import ManualClock

EXPERTS = 16
RANKS = 4
ROUND_S = 0.2
BEFORE_SHIFT = [float(EXPERTS - expert) for expert in range(EXPERTS)]
AFTER_SHIFT = BEFORE_SHIFT[::-1]


@pytest.fixture
def tracker(clock: ManualClock) -> PopularityTracker:
    """Return a tracker of one set."""
    return PopularityTracker(clock, 1, EXPERTS)


@pytest.fixture
def run_round(
    clock: ManualClock, tracker: PopularityTracker, rng: Random
) -> Callable[[Sequence[float]], bool]:
    """Return a function that lets all ranks route tokens and report their counts."""
    counters = [[0] * EXPERTS for _ in range(RANKS)]
    for rank in range(RANKS):
        tracker.observe(RankIndex(rank), 1, [0] * EXPERTS)

    def run(popularity: Sequence[float]) -> bool:
        clock.advance(ROUND_S)
        for rank, counter in enumerate(counters):
            for expert in rng.choices(range(EXPERTS), popularity, k=1000):
                counter[expert] += 1
            tracker.observe(RankIndex(rank), 1, list(counter))
        return tracker.update()

    return run


def distance(tracker: PopularityTracker, popularity: Sequence[float]) -> float:
    """Return the total variation distance of the estimate from a popularity."""
    total, popularity_sum = sum(tracker.loads), sum(popularity)
    return 0.5 * sum(
        abs(load / total - share / popularity_sum)
        for load, share in zip(tracker.loads, popularity, strict=True)
    )


def test_a_shift_replaces_the_estimate_in_one_round(tracker, run_round) -> None:
    """Guards against plans for an average of the popularity before and after."""
    for _ in range(20):
        run_round(BEFORE_SHIFT)
    assert run_round(AFTER_SHIFT)
    assert distance(tracker, AFTER_SHIFT) < 0.05


def test_sampling_noise_is_not_a_shift(tracker, run_round) -> None:
    """Guards against an estimate that is reset by every sample."""
    run_round(BEFORE_SHIFT)
    assert not any(run_round(BEFORE_SHIFT) for _ in range(50))
    assert distance(tracker, BEFORE_SHIFT) < 0.02


def test_a_shift_of_a_sixth_of_the_choices_is_detected(clock, rng) -> None:
    """Guards against shifts of a large group that are treated as sampling noise."""
    experts, choices = 144, 40_000
    before = [1 / (index + 1) ** 0.5 for index in range(experts)]
    tracker = PopularityTracker(clock, 1, experts)
    counter = [0] * experts
    tracker.observe(RankIndex(0), 1, list(counter))

    def run(popularity: Sequence[float]) -> bool:
        clock.advance(ROUND_S)
        # The prompts of one round prefer some experts, in addition to sampling noise.
        drawn = [share * rng.uniform(0.85, 1.15) for share in popularity]
        for expert in rng.choices(range(experts), drawn, k=choices):
            counter[expert] += 1
        tracker.observe(RankIndex(0), 1, list(counter))
        return tracker.update()

    assert not any([run(before) for _ in range(20)])
    after = list(before)
    after[0:8], after[60:68] = before[60:68], before[0:8]
    moved = sum(map(abs, map(float.__sub__, after, before))) / 2 / sum(before)
    assert 0.13 < moved < 0.16
    assert run(after)
    assert not any([run(after) for _ in range(20)])


def test_counts_of_the_wrong_size_are_ignored(tracker) -> None:
    """Guards against a coordinator that fails when a rank reports malformed counts."""
    for size in (EXPERTS, EXPERTS + 3, EXPERTS - 1, 0):
        tracker.observe(RankIndex(0), 1, [1000] * size)
        tracker.add([1000] * (size + 5))
        tracker.update()
    assert not tracker.has_estimates


def test_a_restarted_rank_adds_no_choices(tracker, clock) -> None:
    """Guards against an increment between counters of two incarnations."""
    tracker.observe(RankIndex(0), 1, [1000] * EXPERTS)
    tracker.observe(RankIndex(0), 2, [2000] * EXPERTS)
    tracker.update()
    assert not tracker.has_estimates


def test_few_choices_are_kept_until_there_are_enough(tracker) -> None:
    """Guards against few choices of an idle group being dropped or used too early."""
    tracker.observe(RankIndex(0), 1, [0] * EXPERTS)
    for count in range(10, 41, 10):
        assert not tracker.has_estimates
        tracker.observe(RankIndex(0), 1, [count] * EXPERTS)
        tracker.update()
    assert tracker.has_estimates
    assert sum(tracker.loads) == pytest.approx(40 * EXPERTS)
