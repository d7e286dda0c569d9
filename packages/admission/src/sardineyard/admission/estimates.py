"""Estimates of output length, service time and slot use, by priority."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardineyard.admission.model import Work
    from sardineyard.core.ids import PriorityName

# Weight of a new sample in the moving averages, which span about 20 requests.
_SMOOTHING = 0.1
# Time constant of the moving average of slot use.
_USE_WINDOW_S = 5.0


@dataclass(slots=True)
class _PriorityStats:
    output_tokens: float = 0.0
    seconds_per_token: float = 0.0
    first_token_s: float = 0.0
    samples: int = 0
    # Exponentially decayed sum of the expected slot seconds of started requests.
    used_slot_s: float = 0.0
    usage_updated_at: float = 0.0


class Estimates:
    """Estimates the needs of a request from finished requests of its priority."""

    def __init__(self, priorities: Iterable[PriorityName]) -> None:
        self._stats = {name: _PriorityStats() for name in priorities}

    def adopt(self, other: Estimates) -> None:
        """Take over the averages from before a change of the document."""
        for name in self._stats.keys() & other._stats.keys():
            self._stats[name] = other._stats[name]

    def output_tokens(self, work: Work) -> float:
        """Return the expected number of output tokens of a request."""
        stats = self._stats[work.priority]
        if not stats.samples:
            return float(work.max_output_tokens)
        return min(float(work.max_output_tokens), stats.output_tokens)

    def cost(self, work: Work) -> float:
        """Return the expected number of input and output tokens of a request."""
        return max(1.0, work.input_tokens + self.output_tokens(work))

    def service_s(self, work: Work) -> float:
        """Return the expected service time in seconds; zero without samples."""
        return self._stats[work.priority].seconds_per_token * max(
            1.0, self.output_tokens(work)
        )

    def mean_service_s(self, priority: PriorityName) -> float:
        """Return the mean service time of a priority in seconds."""
        stats = self._stats[priority]
        return stats.seconds_per_token * max(1.0, stats.output_tokens)

    def used_slots(self, priority: PriorityName, now: float) -> float:
        """Return the recent mean number of slots that a priority has used."""
        stats = self._stats[priority]
        return stats.used_slot_s * self._decay(stats, now) / _USE_WINDOW_S

    def started(self, work: Work, now: float) -> None:
        """Add the expected service time of started work to the slot use."""
        stats = self._stats[work.priority]
        stats.used_slot_s = stats.used_slot_s * self._decay(
            stats, now
        ) + self.service_s(work)
        stats.usage_updated_at = now

    def first_token_s(self, priority: PriorityName) -> float:
        """Return the mean seconds from start to first token."""
        return self._stats[priority].first_token_s

    def finished(
        self, work: Work, output_tokens: int, seconds: float, first_token_s: float
    ) -> None:
        """Update the averages with the actual output and times of a request."""
        stats = self._stats[work.priority]
        sample_weight = max(_SMOOTHING, 1 / (stats.samples + 1))
        per_token = seconds / max(1, output_tokens)
        stats.samples += 1
        stats.output_tokens += sample_weight * (output_tokens - stats.output_tokens)
        stats.seconds_per_token += sample_weight * (per_token - stats.seconds_per_token)
        stats.first_token_s += sample_weight * (first_token_s - stats.first_token_s)

    @staticmethod
    def _decay(stats: _PriorityStats, now: float) -> float:
        return math.exp(-max(0.0, now - stats.usage_updated_at) / _USE_WINDOW_S)
