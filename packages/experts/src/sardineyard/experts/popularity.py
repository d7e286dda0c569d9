"""Popularity of experts, from counts that ranks report at different moments."""

from __future__ import annotations

from math import pi, sqrt
from typing import TYPE_CHECKING

from sardineyard.experts.load import CounterDifferences

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import RankIndex

# Half-life of the estimate while popularity stays the same.
_HALF_LIFE_S = 1.0
# Choices of one set below which new counts are noise; they are kept until there are
# more.
_LEAST_CHOICES = 500
# Part of the choices that has to move to other experts, beyond what samples of that
# size differ by, before the counts from before are dropped: this multiple of what
# moved in the last updates without a shift, between a least and a most. Shifts moved
# 0.29 of the choices in a group of 16 ranks and 64 experts, where counts of 0.1 s
# differ by up to 0.15 anyway, and 0.15 with 72 ranks and 144 experts, where they
# differ by 0.04 (measured).
_UNUSUAL = 3.0
_LEAST_SHIFTED_SHARE = 0.08
_MOST_SHIFTED_SHARE = 0.16
# Weight of the newest update in what usually moves.
_USUAL_WEIGHT = 0.1


class PopularityTracker:
    """Estimate how often each expert is chosen now.

    Counts that differ clearly from the estimate replace it: an average over a shift
    would be level for neither popularity.
    """

    def __init__(self, clock: Clock, sets: int, experts: int) -> None:
        self._clock = clock
        self._sets = sets
        self._experts = experts
        self._estimates = [[0.0] * experts for _ in range(sets)]
        self._fresh = [[0.0] * experts for _ in range(sets)]
        self._counters: CounterDifferences[RankIndex, int] = CounterDifferences()
        self._updated_at = clock.now()
        self._shifted = 0.0
        self._usual_share: float | None = None
        # Whether the last update, and the one before it, found a shift.
        self._has_shifted = self._had_shifted = False

    @property
    def loads(self) -> tuple[float, ...]:
        """Return the estimated choices of each expert, set by set."""
        return tuple(load for estimate in self._estimates for load in estimate)

    @property
    def is_settled(self) -> bool:
        """Return whether the estimate shows one popularity alone.

        The ranks report at different moments, so the counts of the update that finds
        a shift mix two of them; those of the next one were begun after it.
        """
        return self.is_known and (not self._has_shifted or self._had_shifted)

    @property
    def is_known(self) -> bool:
        """Return whether every set has an estimate."""
        return all(map(any, self._estimates))

    @property
    def shifted_share(self) -> float:
        """Return the greatest part of a set's choices that the last update moved."""
        return self._shifted

    def observe(
        self, rank: RankIndex, started_ms: int, counters: Sequence[int]
    ) -> None:
        """Take in the counters of one rank, which only grow in one incarnation."""
        self.add(self._counters.take(rank, started_ms, counters))

    def add(self, choices: Sequence[float]) -> None:
        """Take in choices of each expert, set by set, if their number fits."""
        if len(choices) != self._sets * self._experts:
            return
        for index, count in enumerate(choices):
            part, expert = divmod(index, self._experts)
            self._fresh[part][expert] += count

    def update(self) -> bool:
        """Fold the new counts in; return whether popularity has shifted meanwhile."""
        now = self._clock.now()
        keep = 0.5 ** ((now - self._updated_at) / _HALF_LIFE_S)
        self._updated_at = now
        has_shifted = False
        self._shifted = 0.0
        threshold = self._threshold()
        for part, fresh in enumerate(self._fresh):
            if sum(fresh) < _LEAST_CHOICES:
                continue
            estimate = self._estimates[part]
            moved = _moved_share(fresh, estimate)
            self._shifted = max(self._shifted, moved)
            beyond_noise = max(0.0, moved - _noise(fresh))
            if beyond_noise > threshold:
                has_shifted = True
                self._estimates[part] = fresh
            else:
                if any(estimate):
                    self._learn_usual(beyond_noise)
                self._estimates[part] = [
                    keep * old + new for old, new in zip(estimate, fresh, strict=True)
                ]
            self._fresh[part] = [0.0] * self._experts
        self._had_shifted, self._has_shifted = self._has_shifted, has_shifted
        return has_shifted

    def _threshold(self) -> float:
        if self._usual_share is None:
            return _MOST_SHIFTED_SHARE
        unusual = max(_LEAST_SHIFTED_SHARE, _UNUSUAL * self._usual_share)
        return min(_MOST_SHIFTED_SHARE, unusual)

    def _learn_usual(self, share: float) -> None:
        usual = share if self._usual_share is None else self._usual_share
        self._usual_share = usual + _USUAL_WEIGHT / self._sets * (share - usual)


def _moved_share(fresh: Sequence[float], estimate: Sequence[float]) -> float:
    """Return the part of the choices that differs (total variation distance)."""
    chosen, known = sum(fresh), sum(estimate)
    if not known:
        return 0.0
    return 0.5 * sum(
        abs(new / chosen - old / known)
        for new, old in zip(fresh, estimate, strict=True)
    )


def _noise(fresh: Sequence[float]) -> float:
    """Return the distance to expect between a sample and what it is drawn from."""
    return 0.5 * sqrt(2 * len(fresh) / (pi * sum(fresh)))
