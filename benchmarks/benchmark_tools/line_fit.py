"""Least-squares lines through measured points, with their errors."""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence
from dataclasses import dataclass

# Different sizes that a fit needs.
MIN_SIZES = 4


class TooFewSizesError(ValueError):
    """The points have too few different sizes for a fit."""

    def __init__(self, point_count: int) -> None:
        super().__init__(f"a slope needs {MIN_SIZES} sizes or more, not {point_count} points")


@dataclass(frozen=True, slots=True)
class Line:
    """The line ``y = start + slope * x`` with the standard errors of both.

    ``r_squared`` is the share of the variation that the line explains.
    """

    start: float
    slope: float
    start_error: float
    slope_error: float
    r_squared: float

    def at(self, x: float) -> float:
        """The line's value at ``x``."""
        return self.start + self.slope * x

    def text(self, unit: str, per: str, digits: int = 2) -> str:
        """The line as the pages show it: ``7.1 ± 0.2 us + 0.92 ± 0.01 us a server (R² 0.999)``."""
        start = f"{self.start:.{digits}f} ± {self.start_error:.{digits}f} {unit}"
        slope = f"{self.slope:.{digits}f} ± {self.slope_error:.{digits}f} {unit} {per}"
        return f"{start} + {slope} (R² {self.r_squared:.3f})"


def fit_line(points: Sequence[tuple[float, float]]) -> Line:
    """Fit a line by ordinary least squares.  Raises TooFewSizesError."""
    if len({x for x, _ in points}) < MIN_SIZES:
        raise TooFewSizesError(len(points))
    count = len(points)
    xs = [x for x, _ in points]
    ys = [y for _, y in points]
    x_mean = statistics.fmean(xs)
    y_mean = statistics.fmean(ys)
    x_variation = sum((x - x_mean) ** 2 for x in xs)
    y_variation = sum((y - y_mean) ** 2 for y in ys)
    slope, start = statistics.linear_regression(xs, ys)
    residual = sum((y - start - slope * x) ** 2 for x, y in points)
    residual_variance = residual / (count - 2)
    return Line(
        start=start,
        slope=slope,
        start_error=math.sqrt(residual_variance * (1 / count + x_mean**2 / x_variation)),
        slope_error=math.sqrt(residual_variance / x_variation),
        r_squared=1 - residual / y_variation if y_variation else 1.0,
    )
