"""Least-squares lines through measured points."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Line:
    """Hold a fitted line and its error."""

    slope: float
    start: float
    # Root of the mean squared distance of the points, and its share of their span.
    error: float
    relative: float

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.start + self.slope * size


def fit(sizes: list[float], values: list[float]) -> Line:
    """Return the line with the least squared distance to the points."""
    count = len(sizes)
    mean_x, mean_y = sum(sizes) / count, sum(values) / count
    spread = sum((x - mean_x) ** 2 for x in sizes)
    pairs = list(zip(sizes, values, strict=True))
    slope = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / spread
    start = mean_y - slope * mean_x
    error = (sum((y - start - slope * x) ** 2 for x, y in pairs) / count) ** 0.5
    span = max(values) - min(values)
    return Line(slope, start, error, error / span if span else 0.0)
