"""Estimates of output, service time and expected wait."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardineyard.admission.model import Work
    from sardineyard.core.ids import PriorityName

# Weight of the newest sample: about the last twenty requests count.
_SMOOTHING = 0.1
# Seconds over which the use of capacity by a priority is averaged.
_USE_WINDOW_S = 5.0


@dataclass(slots=True)
class _Observed:
    output_tokens: float = 0.0
    seconds_per_token: float = 0.0
    first_token_s: float = 0.0
    samples: int = 0
    # Slot seconds started within about the last window.
    use: float = 0.0
    use_at: float = 0.0


class Estimates:
    """Learn from finished work what the next request will need."""

    def __init__(self, priorities: Iterable[PriorityName]) -> None:
        self._observed = {name: _Observed() for name in priorities}

    def adopt(self, other: Estimates) -> None:
        """Take over what was learned under an earlier document."""
        for name in self._observed.keys() & other._observed.keys():
            self._observed[name] = other._observed[name]

    def output_tokens(self, work: Work) -> float:
        """Return the expected output of a request in tokens."""
        seen = self._observed[work.priority]
        if not seen.samples:
            return float(work.max_output_tokens)
        return min(float(work.max_output_tokens), seen.output_tokens)

    def cost(self, work: Work) -> float:
        """Return the expected input and output of a request in tokens."""
        return max(1.0, work.input_tokens + self.output_tokens(work))

    def service_s(self, work: Work) -> float:
        """Return the expected seconds in a slot; zero when nothing is known."""
        return self._observed[work.priority].seconds_per_token * max(
            1.0, self.output_tokens(work)
        )

    def mean_service_s(self, priority: PriorityName) -> float:
        """Return the mean seconds in a slot of a priority's requests."""
        seen = self._observed[priority]
        return seen.seconds_per_token * max(1.0, seen.output_tokens)

    def used_slots(self, priority: PriorityName, now: float) -> float:
        """Return the mean number of slots that a priority has used lately."""
        seen = self._observed[priority]
        return seen.use * self._decay(seen, now) / _USE_WINDOW_S

    def started(self, work: Work, now: float) -> None:
        """Count the use of a slot."""
        seen = self._observed[work.priority]
        seen.use = seen.use * self._decay(seen, now) + self.service_s(work)
        seen.use_at = now

    def first_token_s(self, priority: PriorityName) -> float:
        """Return the mean seconds from the start to the first token."""
        return self._observed[priority].first_token_s

    def finished(
        self, work: Work, output_tokens: int, seconds: float, first_token_s: float
    ) -> None:
        """Learn from the real output and times of a request."""
        seen = self._observed[work.priority]
        share = max(_SMOOTHING, 1 / (seen.samples + 1))
        per_token = seconds / max(1, output_tokens)
        seen.samples += 1
        seen.output_tokens += share * (output_tokens - seen.output_tokens)
        seen.seconds_per_token += share * (per_token - seen.seconds_per_token)
        seen.first_token_s += share * (first_token_s - seen.first_token_s)

    @staticmethod
    def _decay(seen: _Observed, now: float) -> float:
        return math.exp(-max(0.0, now - seen.use_at) / _USE_WINDOW_S)
