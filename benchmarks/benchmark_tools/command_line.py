"""Command lines of the benchmarks: lists of numbers, selection of parts, and a time limit on a run."""

from __future__ import annotations

import signal
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from types import FrameType
from typing import NoReturn, TypeVar

import click

# Time after which a benchmark ends with an error, unless its caller sets another limit.
DEFAULT_TIME_LIMIT_S = 3600.0

OptionsT = TypeVar("OptionsT")


class NumberList(click.ParamType):
    """Whole numbers separated by commas."""

    name = "N,N"

    def convert(
        self, value: str | tuple[int, ...], param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[int, ...]:
        """Parse the text of an option; text that is not a list of whole numbers is a usage error."""
        if isinstance(value, tuple):
            return value
        try:
            return tuple(int(word) for word in value.split(","))
        except ValueError:
            self.fail(f"{value!r} is not a list of whole numbers", param, ctx)


class TimeLimitExceeded(SystemExit):
    """The run exceeded its time limit.  Event loops do not catch a SystemExit, so it ends the process."""

    def __init__(self, limit_s: float) -> None:
        super().__init__(f"the run took longer than {limit_s:.0f} s")


@contextmanager
def time_limit(limit_s: float = DEFAULT_TIME_LIMIT_S) -> Iterator[None]:
    """End the process with an error after ``limit_s`` seconds; ``finally`` blocks still run."""

    def raise_time_limit_exceeded(number: int, frame: FrameType | None) -> NoReturn:  # noqa: ARG001
        raise TimeLimitExceeded(limit_s)

    previous = signal.signal(signal.SIGALRM, raise_time_limit_exceeded)
    signal.setitimer(signal.ITIMER_REAL, limit_s)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0.0)
        signal.signal(signal.SIGALRM, previous)


def run_parts(
    parts: Mapping[str, Callable[[OptionsT], None]], selected: Sequence[str], options: OptionsT
) -> None:
    """Run the selected parts of a benchmark, or all if none is selected, within the default time limit."""
    with time_limit():
        for name in selected or parts:
            parts[name](options)
