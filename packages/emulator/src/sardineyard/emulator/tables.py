"""Tables and plots of played days."""

from __future__ import annotations

from statistics import fmean
from typing import TYPE_CHECKING

from sardineyard.emulator.callers import Outcome

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sardineyard.emulator.play import Played

_WINDOW_S = 2.0
_BAR = 20


def table_of(played: Played) -> Iterator[str]:
    """Yield the lines of a day: service and skew over time, then the whole."""
    yield "second  asked  in time  late  lost  streams  pass ms  skew  in time"
    last = max((request.asked_at for request in played.requests), default=0.0)
    window = 0.0
    while window <= last:
        yield _line(played, window)
        window += _WINDOW_S
    counts = _counts(played, 0.0, last + _WINDOW_S)
    asked = max(1, sum(counts.values()))
    yield (
        f"worth {played.worth:.3f}, in time {counts[Outcome.IN_TIME] / asked:.3f}, "
        f"lost {counts[Outcome.LOST] / asked:.3f}, copies {played.copies}"
    )


def _line(played: Played, begin: float) -> str:
    end = begin + _WINDOW_S
    counts = _counts(played, begin, end)
    asked = sum(counts.values())
    samples = [sample for sample in played.samples if begin <= sample.at < end]
    in_time = counts[Outcome.IN_TIME] / asked if asked else 1.0
    numbers = (
        f"{begin:6.0f} {asked:6d} {counts[Outcome.IN_TIME]:8d}"
        f" {counts[Outcome.LATE]:5d} {counts[Outcome.LOST]:5d}"
    )
    if not samples:
        return numbers
    return (
        f"{numbers} {fmean(s.streams for s in samples):8.1f}"
        f" {1000 * fmean(s.pass_s for s in samples):8.1f}"
        f" {fmean(s.skew for s in samples):5.2f}  {'#' * round(_BAR * in_time)}"
    )


def _counts(played: Played, begin: float, end: float) -> dict[Outcome, int]:
    counts = dict.fromkeys(Outcome, 0)
    for request in played.requests:
        if begin <= request.asked_at < end and request.outcome is not None:
            counts[request.outcome] += 1
    return counts
