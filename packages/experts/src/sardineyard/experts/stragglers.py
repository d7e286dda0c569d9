"""Detection of stragglers, which are slow ranks, and the capacity of each rank."""

from __future__ import annotations

from collections import deque
from statistics import median
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

# Ratios to the median time per token above which a rank becomes a straggler and below
# which it recovers. The hysteresis prevents a rank near the limit from changing the
# placement repeatedly.
STRAGGLER_RATIO = 1.3
RECOVERED_RATIO = 1.15
# Minimum capacity of a live rank relative to a normal one: with less load it would
# process too few tokens to detect its recovery.
_MIN_CAPACITY = 0.1


class StragglerDetector:
    """Detects ranks whose time per token is well above the median.

    Time per token is used instead of the step time, because a straggler whose load was
    reduced would otherwise appear healthy and get its load back.
    """

    def __init__(self, ranks: int, window: int = 5) -> None:
        self._ratios: list[deque[float]] = [deque(maxlen=window) for _ in range(ranks)]
        self._window = window
        self._stragglers: set[int] = set()

    @property
    def stragglers(self) -> frozenset[int]:
        """Return the indices of the ranks that are currently stragglers."""
        return frozenset(self._stragglers)

    def observe(self, times: Sequence[float], tokens: Sequence[float]) -> None:
        """Add the busy time in seconds and the tokens of every rank in one interval."""
        costs = {
            rank: busy / count
            for rank, (busy, count) in enumerate(zip(times, tokens, strict=True))
            if count > 0 and busy > 0
        }
        if not costs:
            return
        median_cost = median(costs.values())
        for rank, cost in costs.items():
            self._ratios[rank].append(cost / median_cost)
            self._update_state(rank)

    def capacities(self, lost: Collection[int] = ()) -> tuple[float, ...]:
        """Return the relative capacity of each rank; zero for lost ranks."""
        return tuple(
            0.0 if rank in lost else self._capacity(rank)
            for rank in range(len(self._ratios))
        )

    def _capacity(self, rank: int) -> float:
        if rank not in self._stragglers:
            return 1.0
        return max(_MIN_CAPACITY, round(1.0 / median(self._ratios[rank]), 1))

    def _update_state(self, rank: int) -> None:
        ratios = self._ratios[rank]
        if len(ratios) == self._window and min(ratios) > STRAGGLER_RATIO:
            self._stragglers.add(rank)
        elif median(ratios) < RECOVERED_RATIO:
            self._stragglers.discard(rank)
