"""Least squares through a few measured points."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Line:
    """y = at_zero + slope * x; ``error`` is the slope's standard error, from the residuals."""

    slope: float
    at_zero: float
    error: float

    def at(self, x: float) -> float:
        return self.at_zero + self.slope * x

    @property
    def rises(self) -> bool:
        """Whether the slope is above twice its error: more than the scatter of the points."""
        return self.slope > 2.0 * self.error


def fit(xs: Sequence[float], ys: Sequence[float]) -> Line:
    """ValueError under three points, or where all have one x."""
    count = len(xs)
    if count < 3 or count != len(ys):
        raise ValueError("a fit with an error needs three points or more")
    x_mean, y_mean = sum(xs) / count, sum(ys) / count
    spread = sum((x - x_mean) ** 2 for x in xs)
    if not spread:
        raise ValueError("all points have one x")
    slope = sum((x - x_mean) * (y - y_mean) for x, y in zip(xs, ys, strict=True)) / spread
    at_zero = y_mean - slope * x_mean
    residual = sum((y - at_zero - slope * x) ** 2 for x, y in zip(xs, ys, strict=True))
    return Line(slope, at_zero, math.sqrt(residual / (count - 2) / spread))


def quantile(values: Sequence[float], share: float) -> float:
    """The smallest value that so much of them is not above; NaN of none."""
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[min(max(math.ceil(share * len(ordered)) - 1, 0), len(ordered) - 1)]
