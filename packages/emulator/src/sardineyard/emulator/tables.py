"""Text tables of the results of emulated days."""

from __future__ import annotations

from statistics import fmean
from typing import TYPE_CHECKING

from sardineyard.emulator.callers import Outcome

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sardineyard.emulator.play import DayResult

_WINDOW_S = 2.0
_BAR_WIDTH = 20


def table_lines(result: DayResult) -> Iterator[str]:
    """Yield one line for each time window of a day, then the totals."""
    yield "second  asked  in time  late  lost  streams  pass ms  skew  in time"
    last_arrival = max((request.arrived_at for request in result.requests), default=0.0)
    window_begin = 0.0
    while window_begin <= last_arrival:
        yield _window_line(result, window_begin)
        window_begin += _WINDOW_S
    counts = _count_outcomes(result, 0.0, last_arrival + _WINDOW_S)
    total = max(1, sum(counts.values()))
    yield (
        f"worth {result.worth:.3f}, in time {counts[Outcome.IN_TIME] / total:.3f}, "
        f"lost {counts[Outcome.LOST] / total:.3f}, copies {result.copies}, "
        f"rejections {result.rejections}, unwanted {result.unwanted}"
    )


def _window_line(result: DayResult, begin: float) -> str:
    end = begin + _WINDOW_S
    counts = _count_outcomes(result, begin, end)
    total = sum(counts.values())
    samples = [sample for sample in result.samples if begin <= sample.began_at < end]
    in_time = counts[Outcome.IN_TIME] / total if total else 1.0
    columns = (
        f"{begin:6.0f} {total:6d} {counts[Outcome.IN_TIME]:8d}"
        f" {counts[Outcome.LATE]:5d} {counts[Outcome.LOST]:5d}"
    )
    if not samples:
        return columns
    return (
        f"{columns} {fmean(s.streams for s in samples):8.1f}"
        f" {1000 * fmean(s.pass_s for s in samples):8.1f}"
        f" {fmean(s.skew for s in samples):5.2f}  {'#' * round(_BAR_WIDTH * in_time)}"
    )


def _count_outcomes(result: DayResult, begin: float, end: float) -> dict[Outcome, int]:
    counts = dict.fromkeys(Outcome, 0)
    for request in result.requests:
        if begin <= request.arrived_at < end and request.outcome is not None:
            counts[request.outcome] += 1
    return counts
