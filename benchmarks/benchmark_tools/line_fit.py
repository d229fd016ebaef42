"""Least-squares lines through measured points, with standard errors."""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence
from dataclasses import dataclass

# A fit needs at least this many different sizes.
MIN_SIZES = 4


class TooFewSizesError(ValueError):
    """The points have fewer than ``MIN_SIZES`` different sizes."""

    def __init__(self, point_count: int) -> None:
        super().__init__(f"a line fit needs {MIN_SIZES} different sizes or more; got {point_count} points")


@dataclass(frozen=True, slots=True)
class Line:
    """The line ``y = intercept + slope * x`` with the standard errors of both coefficients.

    ``r_squared`` is the share of the variance that the line explains.
    """

    intercept: float
    slope: float
    intercept_error: float
    slope_error: float
    r_squared: float

    def at(self, x: float) -> float:
        """Return the line's value at ``x``."""
        return self.intercept + self.slope * x

    def text(self, unit: str, per: str, digits: int = 2) -> str:
        """Return the line in the form ``7.1 ± 0.2 us + 0.92 ± 0.01 us per server (R² 0.999)``."""
        intercept = f"{self.intercept:.{digits}f} ± {self.intercept_error:.{digits}f} {unit}"
        slope = f"{self.slope:.{digits}f} ± {self.slope_error:.{digits}f} {unit} {per}"
        return f"{intercept} + {slope} (R² {self.r_squared:.3f})"


def fit_line(points: Sequence[tuple[float, float]]) -> Line:
    """Fit a line to (x, y) points by ordinary least squares.  Raises TooFewSizesError."""
    if len({x for x, _ in points}) < MIN_SIZES:
        raise TooFewSizesError(len(points))
    count = len(points)
    xs = [x for x, _ in points]
    ys = [y for _, y in points]
    x_mean = statistics.fmean(xs)
    y_mean = statistics.fmean(ys)
    x_variation = sum((x - x_mean) ** 2 for x in xs)
    y_variation = sum((y - y_mean) ** 2 for y in ys)
    slope, intercept = statistics.linear_regression(xs, ys)
    residual = sum((y - intercept - slope * x) ** 2 for x, y in points)
    residual_variance = residual / (count - 2)
    return Line(
        intercept=intercept,
        slope=slope,
        intercept_error=math.sqrt(residual_variance * (1 / count + x_mean**2 / x_variation)),
        slope_error=math.sqrt(residual_variance / x_variation),
        r_squared=1 - residual / y_variation if y_variation else 1.0,
    )
