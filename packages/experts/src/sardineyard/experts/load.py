"""Load of each expert, with decay."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import Incarnation, UpstreamId


Source = TypeVar("Source")
SourceIncarnation = TypeVar("SourceIncarnation")


class CounterDifferences(Generic[Source, SourceIncarnation]):
    """Turn counters of many sources into what they grew by.

    Counters only grow in one incarnation of a source, so a report that is lost or
    repeated changes nothing; a new incarnation starts from zero.
    """

    def __init__(self) -> None:
        self._seen: dict[Source, tuple[SourceIncarnation, tuple[float, ...]]] = {}

    def take(
        self,
        source: Source,
        incarnation: SourceIncarnation,
        counters: Sequence[float],
    ) -> list[float]:
        """Return the growth since the last report; empty for a first one."""
        known = self._seen.get(source)
        self._seen[source] = (incarnation, tuple(counters))
        if known is None or known[0] != incarnation or len(known[1]) != len(counters):
            return []
        return [
            max(0, now - before) for now, before in zip(counters, known[1], strict=True)
        ]


class LoadTracker:
    """Estimate the share of tokens that each expert gets.

    Decay never takes the estimate below a least number of tokens, because too few
    tokens make it so noisy that rebalancing follows the noise.
    """

    def __init__(
        self, clock: Clock, experts: int, half_life_s: float, least_tokens: float
    ) -> None:
        self._clock = clock
        self._half_life_s = half_life_s
        self._least_tokens = least_tokens
        self._loads = [0.0] * experts
        self._counters: CounterDifferences[UpstreamId, Incarnation] = (
            CounterDifferences()
        )
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
        new = self._counters.take(upstream, incarnation, counters)
        for expert, tokens in enumerate(new):
            self._loads[expert] += tokens

    def _decay(self) -> None:
        now = self._clock.now()
        factor = 0.5 ** ((now - self._decayed_at) / self._half_life_s)
        self._decayed_at = now
        total = sum(self._loads)
        if total * factor < self._least_tokens:
            factor = min(1.0, self._least_tokens / total) if total else 1.0
        self._loads = [load * factor for load in self._loads]
