"""Least-squares fit of a line to measured points."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FittedLine:
    """Fitted line with its error."""

    slope: float
    intercept: float
    # Root mean square of the residuals, also as a fraction of the span of the values.
    rms_error: float
    relative_error: float

    def value_at(self, size: float) -> float:
        """Return the value of the line at the given size."""
        return self.intercept + self.slope * size


def fit(sizes: list[float], values: list[float]) -> FittedLine:
    """Return the least-squares line through the points."""
    count = len(sizes)
    mean_x, mean_y = sum(sizes) / count, sum(values) / count
    sum_xx = sum((x - mean_x) ** 2 for x in sizes)
    points = list(zip(sizes, values, strict=True))
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_xx
    intercept = mean_y - slope * mean_x
    rms_error = (
        sum((y - intercept - slope * x) ** 2 for x, y in points) / count
    ) ** 0.5
    span = max(values) - min(values)
    return FittedLine(slope, intercept, rms_error, rms_error / span if span else 0.0)
