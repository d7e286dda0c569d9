"""Popularity of experts, estimated from counts that ranks report at different times.

A choice is the routing of one token to one expert. Ranks report cumulative choices.
"""

from __future__ import annotations

from math import pi, sqrt
from typing import TYPE_CHECKING

from sardineyard.experts.load import CounterDeltas

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import RankIndex

# Half-life of the estimate while the popularity does not shift.
_HALF_LIFE_S = 1.0
# Choices of one layer set that an update needs; fewer are only noise and are kept until
# there are more.
_MIN_CHOICES = 500
# Threshold of a shift: the fraction of the choices that has to move to other experts,
# in excess of sampling noise, before earlier counts are dropped. It is this multiple of
# the baseline, which is the fraction that moves in updates without a shift, between a
# minimum and a maximum. With 16 ranks and 64 experts, shifts move 0.29 of the choices
# and counts of 0.1 s differ by up to 0.15 without a shift; with 72 ranks and 144
# experts, shifts move 0.15 and counts differ by 0.04.
_THRESHOLD_FACTOR = 3.0
_MIN_SHIFT_THRESHOLD = 0.08
_MAX_SHIFT_THRESHOLD = 0.16
# Weight of the newest update in the baseline.
_BASELINE_WEIGHT = 0.1


class PopularityTracker:
    """Estimate of the current popularity of each expert.

    Counts that differ clearly from the estimate replace it: a layout planned for an
    average over a shift would be balanced neither before nor after it.
    """

    def __init__(self, clock: Clock, sets: int, experts: int) -> None:
        self._clock = clock
        self._sets = sets
        self._experts = experts
        self._estimates = [[0.0] * experts for _ in range(sets)]
        self._new_counts = [[0.0] * experts for _ in range(sets)]
        self._counters: CounterDeltas[RankIndex, int] = CounterDeltas()
        self._updated_at = clock.now()
        self._shifted_share = 0.0
        self._baseline_share: float | None = None
        # Whether the last update found a shift, and the one before it.
        self._has_shifted = self._had_shifted = False

    @property
    def loads(self) -> tuple[float, ...]:
        """Return the estimated choices of each expert, concatenated by layer set."""
        return tuple(load for estimate in self._estimates for load in estimate)

    @property
    def is_settled(self) -> bool:
        """Return whether the estimate reflects a single popularity.

        The ranks report at different times, so the counts of the update that detects a
        shift mix the popularity before and after it; the counts of the next update
        start after the shift.
        """
        return self.has_estimates and (not self._has_shifted or self._had_shifted)

    @property
    def has_estimates(self) -> bool:
        """Return whether every layer set has an estimate."""
        return all(map(any, self._estimates))

    @property
    def shifted_share(self) -> float:
        """Return the fraction of choices that had moved at the last update.

        The value is the largest of all layer sets.
        """
        return self._shifted_share

    def observe(
        self, rank: RankIndex, started_ms: int, counters: Sequence[int]
    ) -> None:
        """Add the choices of one rank since its last report of cumulative counters."""
        self.add(self._counters.record(rank, started_ms, counters))

    def add(self, choices: Sequence[float]) -> None:
        """Add choices of each expert, by layer set; ignore a list of the wrong size."""
        if len(choices) != self._sets * self._experts:
            return
        for index, count in enumerate(choices):
            set_index, expert = divmod(index, self._experts)
            self._new_counts[set_index][expert] += count

    def update(self) -> bool:
        """Update the estimate with the new counts; return whether they show a shift."""
        now = self._clock.now()
        keep = 0.5 ** ((now - self._updated_at) / _HALF_LIFE_S)
        self._updated_at = now
        has_shifted = False
        self._shifted_share = 0.0
        threshold = self._threshold()
        for set_index, new_counts in enumerate(self._new_counts):
            if sum(new_counts) < _MIN_CHOICES:
                continue
            estimate = self._estimates[set_index]
            moved_share = _moved_share(new_counts, estimate)
            self._shifted_share = max(self._shifted_share, moved_share)
            excess = max(0.0, moved_share - _noise(new_counts))
            if excess > threshold:
                has_shifted = True
                self._estimates[set_index] = new_counts
            else:
                if any(estimate):
                    self._update_baseline(excess)
                self._estimates[set_index] = [
                    keep * old + new
                    for old, new in zip(estimate, new_counts, strict=True)
                ]
            self._new_counts[set_index] = [0.0] * self._experts
        self._had_shifted, self._has_shifted = self._has_shifted, has_shifted
        return has_shifted

    def _threshold(self) -> float:
        if self._baseline_share is None:
            return _MAX_SHIFT_THRESHOLD
        threshold = max(_MIN_SHIFT_THRESHOLD, _THRESHOLD_FACTOR * self._baseline_share)
        return min(_MAX_SHIFT_THRESHOLD, threshold)

    def _update_baseline(self, share: float) -> None:
        baseline = share if self._baseline_share is None else self._baseline_share
        self._baseline_share = baseline + _BASELINE_WEIGHT / self._sets * (
            share - baseline
        )


def _moved_share(new_counts: Sequence[float], estimate: Sequence[float]) -> float:
    """Return the total variation distance between new counts and the estimate."""
    total_count, total_estimate = sum(new_counts), sum(estimate)
    if not total_estimate:
        return 0.0
    return 0.5 * sum(
        abs(new / total_count - old / total_estimate)
        for new, old in zip(new_counts, estimate, strict=True)
    )


def _noise(new_counts: Sequence[float]) -> float:
    """Return the expected distance of a sample from its distribution."""
    return 0.5 * sqrt(2 * len(new_counts) / (pi * sum(new_counts)))
