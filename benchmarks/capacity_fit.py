"""Slopes for the tables of docs/CAPACITY.md: a least-squares line through four points or more, with its
error, and the Markdown that they are written in."""

from __future__ import annotations

import argparse
import math
import statistics
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

LEAST_POINTS = 4


@dataclass(frozen=True, slots=True)
class Line:
    """y = ``start`` + ``slope`` x; the errors are standard errors of the fit, ``share`` is R squared."""

    start: float
    slope: float
    start_error: float
    slope_error: float
    share: float

    def at(self, x: float) -> float:
        return self.start + self.slope * x

    def text(self, unit: str, per: str, digits: int = 2) -> str:
        """As it stands on the page: ``7.1 ± 0.2 us + 0.92 ± 0.01 us a server (R² 0.999)``."""
        start = f"{self.start:.{digits}f} ± {self.start_error:.{digits}f} {unit}"
        slope = f"{self.slope:.{digits}f} ± {self.slope_error:.{digits}f} {unit} {per}"
        return f"{start} + {slope} (R² {self.share:.3f})"


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Ordinary least squares; ValueError with fewer than LEAST_POINTS different x."""
    if len({x for x, _ in points}) < LEAST_POINTS:
        raise ValueError(f"a slope needs {LEAST_POINTS} sizes or more, not {len(points)} points")
    count, (xs, ys) = len(points), zip(*points, strict=True)
    mean_x, mean_y = statistics.fmean(xs), statistics.fmean(ys)
    spread = sum((x - mean_x) ** 2 for x in xs)
    slope, start = statistics.linear_regression(xs, ys)
    left = sum((y - start - slope * x) ** 2 for x, y in points)
    all_y = sum((y - mean_y) ** 2 for y in ys)
    noise = left / (count - 2)
    errors = math.sqrt(noise * (1 / count + mean_x**2 / spread)), math.sqrt(noise / spread)
    return Line(start, slope, *errors, 1 - left / all_y if all_y else 1.0)


def row(*cells: object) -> str:
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def table(head: str, rows: Iterable[str]) -> str:
    """``head``: the columns' names, parted by ``|``."""
    columns = [part.strip() for part in head.split("|")]
    return "\n".join([row(*columns), "|" + "---|" * len(columns), *rows])


def sized_main(
    about: str | None,
    option: str,
    sizes: Sequence[int],
    parts: Mapping[str, Callable[[tuple[int, ...]], None]],
) -> None:
    """The command line of a script with parts, each for the same sizes: those named, or all."""
    parser = argparse.ArgumentParser(description=about)
    parser.add_argument(option, type=int, nargs="+", default=list(sizes), dest="sizes")
    parser.add_argument("parts", nargs="*")
    args = parser.parse_args()
    for name in args.parts or parts:
        parts[name](tuple(args.sizes))
