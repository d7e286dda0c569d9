"""Detection of stragglers and the capacity that each rank is given."""

from __future__ import annotations

from collections import deque
from statistics import median
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

# A straggler is named above 1.3 times the median and cleared below 1.15, so that a
# rank near the limit does not change state, and with it the placement, repeatedly.
STRAGGLER_RATIO = 1.3
RECOVERED_RATIO = 1.15
# A rank is never given less than a tenth of a normal load, or it would take so few
# tokens that its recovery could not be measured.
_LEAST_CAPACITY = 0.1


class StragglerDetector:
    """Compare the time that each rank needs for one token with the median.

    Time per token is used rather than the step time itself, because a straggler
    that has been given less load would otherwise look healthy and get it back.
    """

    def __init__(self, ranks: int, window: int = 5) -> None:
        self._ratios: list[deque[float]] = [deque(maxlen=window) for _ in range(ranks)]
        self._window = window
        self._stragglers: set[int] = set()

    @property
    def stragglers(self) -> frozenset[int]:
        """Return the indexes of the ranks that are stragglers now."""
        return frozenset(self._stragglers)

    def observe(self, times: Sequence[float], tokens: Sequence[float]) -> None:
        """Take the busy seconds and the tokens of every rank over one interval."""
        costs = {
            rank: busy / count
            for rank, (busy, count) in enumerate(zip(times, tokens, strict=True))
            if count > 0 and busy > 0
        }
        if not costs:
            return
        middle = median(costs.values())
        for rank, cost in costs.items():
            self._ratios[rank].append(cost / middle)
            self._judge(rank)

    def capacities(self, lost: Collection[int] = ()) -> tuple[float, ...]:
        """Return the relative speed of each rank; zero for lost ranks."""
        return tuple(
            0.0 if rank in lost else self._speed(rank)
            for rank in range(len(self._ratios))
        )

    def _speed(self, rank: int) -> float:
        if rank not in self._stragglers:
            return 1.0
        return max(_LEAST_CAPACITY, round(1.0 / median(self._ratios[rank]), 1))

    def _judge(self, rank: int) -> None:
        ratios = self._ratios[rank]
        if len(ratios) == self._window and min(ratios) > STRAGGLER_RATIO:
            self._stragglers.add(rank)
        elif median(ratios) < RECOVERED_RATIO:
            self._stragglers.discard(rank)
