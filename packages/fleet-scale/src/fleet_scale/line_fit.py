"""Least squares through a few measured points, and quantiles."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

# Points that a fit with a standard error needs.
MIN_POINTS = 3


@dataclass(frozen=True, slots=True)
class LineFit:
    """The line ``y = at_zero + slope * x``; ``error`` is the slope's standard error, from the residuals."""

    slope: float
    at_zero: float
    error: float

    def at(self, x: float) -> float:
        """The line's value at ``x``."""
        return self.at_zero + self.slope * x

    @property
    def rises(self) -> bool:
        """Whether the slope exceeds twice its error, which scatter of the points does not explain."""
        return self.slope > 2.0 * self.error


class TooFewPointsError(ValueError):
    """There are too few points for a fit with an error."""

    def __init__(self) -> None:
        super().__init__(f"a fit with an error needs {MIN_POINTS} points or more")


class EqualPointsError(ValueError):
    """All points have the same ``x``."""

    def __init__(self) -> None:
        super().__init__("all points have one x")


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> LineFit:
    """Fit a line.  Raises TooFewPointsError or EqualPointsError."""
    count = len(xs)
    if count < MIN_POINTS or count != len(ys):
        raise TooFewPointsError
    x_mean = sum(xs) / count
    y_mean = sum(ys) / count
    x_variation = sum((x - x_mean) ** 2 for x in xs)
    if not x_variation:
        raise EqualPointsError
    slope = sum((x - x_mean) * (y - y_mean) for x, y in zip(xs, ys, strict=True)) / x_variation
    at_zero = y_mean - slope * x_mean
    residual = sum((y - at_zero - slope * x) ** 2 for x, y in zip(xs, ys, strict=True))
    return LineFit(slope, at_zero, math.sqrt(residual / (count - 2) / x_variation))


def quantile(values: Sequence[float], share: float) -> float:
    """Return the smallest value that at least ``share`` of the values do not exceed; NaN without values."""
    if not values:
        return math.nan
    ordered = sorted(values)
    rank = math.ceil(share * len(ordered))
    return ordered[min(max(rank - 1, 0), len(ordered) - 1)]
