"""Load of each expert, estimated from cumulative counters with exponential decay."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import Incarnation, UpstreamId


Source = TypeVar("Source")
SourceIncarnation = TypeVar("SourceIncarnation")


class CounterDeltas(Generic[Source, SourceIncarnation]):
    """Converts cumulative counters of many sources into increments.

    Counters never decrease within one incarnation of a source, so a lost or duplicate
    report does not change the total; a new incarnation starts from zero.
    """

    def __init__(self) -> None:
        self._last_reports: dict[
            Source, tuple[SourceIncarnation, tuple[float, ...]]
        ] = {}

    def record(
        self,
        source: Source,
        incarnation: SourceIncarnation,
        counters: Sequence[float],
    ) -> list[float]:
        """Return the increments since the last report; empty for the first report."""
        last_report = self._last_reports.get(source)
        self._last_reports[source] = (incarnation, tuple(counters))
        if (
            last_report is None
            or last_report[0] != incarnation
            or len(last_report[1]) != len(counters)
        ):
            return []
        return [
            max(0, now - before)
            for now, before in zip(counters, last_report[1], strict=True)
        ]


class LoadTracker:
    """Estimate of the tokens of each expert, with exponential decay.

    Decay never reduces the total below a minimum number of tokens: with too few tokens
    the estimate is so noisy that rebalancing would follow the noise.
    """

    def __init__(
        self, clock: Clock, experts: int, half_life_s: float, min_tokens: float
    ) -> None:
        self._clock = clock
        self._half_life_s = half_life_s
        self._min_tokens = min_tokens
        self._loads = [0.0] * experts
        self._counters: CounterDeltas[UpstreamId, Incarnation] = CounterDeltas()
        self._decayed_at = clock.now()

    @property
    def loads(self) -> tuple[float, ...]:
        """Return the decayed token count of each expert."""
        return tuple(self._loads)

    def observe(
        self, upstream: UpstreamId, incarnation: Incarnation, counters: Sequence[float]
    ) -> None:
        """Add the tokens that one runner has counted since its last report."""
        self._decay()
        increments = self._counters.record(upstream, incarnation, counters)
        for expert, tokens in enumerate(increments):
            self._loads[expert] += tokens

    def _decay(self) -> None:
        now = self._clock.now()
        factor = 0.5 ** ((now - self._decayed_at) / self._half_life_s)
        self._decayed_at = now
        total = sum(self._loads)
        if total * factor < self._min_tokens:
            factor = min(1.0, self._min_tokens / total) if total else 1.0
        self._loads = [load * factor for load in self._loads]
