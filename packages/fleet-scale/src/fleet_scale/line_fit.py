"""Least-squares line fits through measured points, and quantiles."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

# Fewest points for which the standard error of the slope is defined.
MIN_POINTS = 3


@dataclass(frozen=True, slots=True)
class LineFit:
    """The line ``y = intercept + slope * x``; ``slope_error`` is the standard error of the slope."""

    slope: float
    intercept: float
    slope_error: float

    def value_at(self, x: float) -> float:
        """Return the line's value at ``x``."""
        return self.intercept + self.slope * x

    @property
    def rises(self) -> bool:
        """Whether the slope exceeds twice its error, so that scatter is unlikely to explain it."""
        return self.slope > 2.0 * self.slope_error


class TooFewPointsError(ValueError):
    """There are too few points to compute the error of the slope, or not as many ``y`` as ``x``."""

    def __init__(self) -> None:
        super().__init__(f"a line fit needs {MIN_POINTS} points or more, each with x and y")


class EqualPointsError(ValueError):
    """All points have the same ``x``."""

    def __init__(self) -> None:
        super().__init__("all points have the same x")


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> LineFit:
    """Fit a line by least squares.  Raises TooFewPointsError or EqualPointsError."""
    count = len(xs)
    if count < MIN_POINTS or count != len(ys):
        raise TooFewPointsError
    x_mean = sum(xs) / count
    y_mean = sum(ys) / count
    x_variation = sum((x - x_mean) ** 2 for x in xs)
    if not x_variation:
        raise EqualPointsError
    slope = sum((x - x_mean) * (y - y_mean) for x, y in zip(xs, ys, strict=True)) / x_variation
    intercept = y_mean - slope * x_mean
    residual = sum((y - intercept - slope * x) ** 2 for x, y in zip(xs, ys, strict=True))
    return LineFit(slope, intercept, math.sqrt(residual / (count - 2) / x_variation))


def quantile(values: Sequence[float], fraction: float) -> float:
    """Return the smallest value that at least ``fraction`` of all values do not exceed; NaN for no values."""
    if not values:
        return math.nan
    ordered = sorted(values)
    rank = math.ceil(fraction * len(ordered))
    return ordered[min(max(rank - 1, 0), len(ordered) - 1)]
