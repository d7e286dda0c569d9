"""Share of one process in the repeats that all processes may make together."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import ServiceName

# Part of the allowance that is used, as processes count windows at other moments and
# may not know of each other for some seconds.
_USED_PART = 0.6
_SLICE_S = 0.5


@dataclass(frozen=True, slots=True)
class BudgetRules:
    """Hold the bound on repeats that the operators set for the whole fleet."""

    # Repeats for each request, and further ones for each window.
    ratio: float
    extra: float
    window_s: float


class RepeatBudget:
    """Bound the repeats of this process for each service in a sliding window."""

    def __init__(self, clock: Clock, rules: BudgetRules) -> None:
        self._clock = clock
        self._rules = rules
        self._processes = 1
        self._slices: dict[ServiceName, deque[list[float]]] = {}

    def share_among(self, processes: int) -> None:
        """Set the number of processes that make repeats."""
        self._processes = max(1, processes)

    def requested(self, service: ServiceName) -> None:
        """Count a request of a caller."""
        self._slice(service)[1] += 1

    def left(self, service: ServiceName) -> float:
        """Return the repeats that may be made now."""
        slices = self._current(service)
        requests = sum(part[1] for part in slices)
        repeats = sum(part[2] for part in slices)
        extra = self._rules.extra / self._processes
        return _USED_PART * (self._rules.ratio * requests + extra) - repeats

    def take(self, service: ServiceName) -> bool:
        """Use one repeat and return whether it is allowed."""
        if self.left(service) < 1:
            return False
        self._slice(service)[2] += 1
        return True

    def _slice(self, service: ServiceName) -> list[float]:
        slices = self._current(service)
        start = self._clock.now() // _SLICE_S * _SLICE_S
        if not slices or slices[-1][0] != start:
            slices.append([start, 0.0, 0.0])
        return slices[-1]

    def _current(self, service: ServiceName) -> deque[list[float]]:
        slices = self._slices.setdefault(service, deque())
        oldest = self._clock.now() - self._rules.window_s - _SLICE_S
        while slices and slices[0][0] <= oldest:
            slices.popleft()
        return slices
