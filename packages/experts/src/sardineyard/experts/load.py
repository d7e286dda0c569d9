"""Load of each expert, with decay."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import Incarnation, UpstreamId


class LoadTracker:
    """Estimate the share of tokens that each expert gets.

    Runners report counters that only grow, so a report that is lost or repeated
    changes nothing; a new incarnation of a runner starts from zero. Decay never
    takes the estimate below a least number of tokens, because too few tokens make
    it so noisy that rebalancing follows the noise.
    """

    def __init__(
        self, clock: Clock, experts: int, half_life_s: float, least_tokens: float
    ) -> None:
        self._clock = clock
        self._half_life_s = half_life_s
        self._least_tokens = least_tokens
        self._loads = [0.0] * experts
        self._seen: dict[UpstreamId, tuple[Incarnation, Sequence[float]]] = {}
        self._decayed_at = clock.now()

    @property
    def loads(self) -> tuple[float, ...]:
        """Return the decayed number of tokens of each expert."""
        return tuple(self._loads)

    def observe(
        self, upstream: UpstreamId, incarnation: Incarnation, counters: Sequence[float]
    ) -> None:
        """Take the counters of one runner into account."""
        self._decay()
        known = self._seen.get(upstream)
        self._seen[upstream] = (incarnation, tuple(counters))
        if known is None or known[0] != incarnation:
            return
        for expert, (now, before) in enumerate(zip(counters, known[1], strict=True)):
            self._loads[expert] += max(0.0, now - before)

    def _decay(self) -> None:
        now = self._clock.now()
        factor = 0.5 ** ((now - self._decayed_at) / self._half_life_s)
        self._decayed_at = now
        total = sum(self._loads)
        if total * factor < self._least_tokens:
            factor = min(1.0, self._least_tokens / total) if total else 1.0
        self._loads = [load * factor for load in self._loads]
