"""Retry budget: this process's share of the retries that the fleet may make."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import ServiceName

# Fraction of the allowance that is used: the windows of processes are not aligned, and
# processes may not know of each other for some seconds.
_ALLOWANCE_FRACTION = 0.6
# Length of the slices of which the sliding window consists, in seconds.
_SLICE_S = 0.5


@dataclass(frozen=True, slots=True)
class BudgetRules:
    """Limits that the operators set on the retries of the whole fleet."""

    # Retries allowed per request, and extra ones per window and service.
    ratio: float
    extra: float
    window_s: float


class ServiceRetryBudget:
    """Limits the retries of this process per service, in a sliding window."""

    def __init__(self, clock: Clock, rules: BudgetRules) -> None:
        self._clock = clock
        self._rules = rules
        self._processes = 1
        # Start time, requests and retries of each slice.
        self._slices: dict[ServiceName, deque[list[float]]] = {}

    def set_process_count(self, processes: int) -> None:
        """Set the number of processes among which the extra retries are divided."""
        self._processes = max(1, processes)

    def count_request(self, service: ServiceName) -> None:
        """Count a request from a caller."""
        self._slice(service)[1] += 1

    def remaining(self, service: ServiceName) -> float:
        """Return the number of retries that are left in the current window."""
        slices = self._current(service)
        requests = sum(counts[1] for counts in slices)
        retries = sum(counts[2] for counts in slices)
        extra = self._rules.extra / self._processes
        return _ALLOWANCE_FRACTION * (self._rules.ratio * requests + extra) - retries

    def try_spend(self, service: ServiceName) -> bool:
        """Use up one retry if any is left, and return whether it is allowed."""
        if self.remaining(service) < 1:
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
