"""Shrinking: finds a smaller plan that fails the same check as a given plan."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

from .fault_plans import Schedule
from .faults import Fault
from .run import Outcome, Plan, Subject, run

# Minimum duration to which a fault is shortened.
MIN_DURATION_MS = 50.0

# Default maximum number of runs of one search.
MAX_RUNS = 300


class NothingToShrinkError(ValueError):
    """The given run did not fail."""

    def __init__(self) -> None:
        super().__init__("nothing to shrink: the run did not fail")


def shrink(subject: Subject, failed: Outcome, max_runs: int = MAX_RUNS) -> Outcome:
    """Remove faults and then shorten them, as long as the same check fails; return a traced run.

    The search is greedy: no plan that is one step smaller than the result fails the check, unless
    ``max_runs`` ended the search.  Raises NothingToShrinkError.
    """
    if failed.violation is None:
        raise NothingToShrinkError
    check = failed.violation.check
    smallest = failed.plan
    remaining_runs = max_runs
    candidates = _smaller_plans(smallest)
    while remaining_runs > 0:
        candidate = next(candidates, None)
        if candidate is None:
            break
        remaining_runs -= 1
        if _fails(subject, candidate, check):
            smallest = candidate
            candidates = _smaller_plans(smallest)
    return run(subject, smallest, trace=True)


def _fails(subject: Subject, plan: Plan, check: str) -> bool:
    violation = run(subject, plan).violation
    return violation is not None and violation.check == check


def _smaller_plans(plan: Plan) -> Iterator[Plan]:
    """Yield plans that are one step smaller, those with the fewest faults first."""
    for schedule in _smaller_schedules(plan.schedule):
        yield replace(plan, schedule=schedule)


def _smaller_schedules(schedule: Schedule) -> Iterator[Schedule]:
    half = len(schedule) // 2
    if half > 1:
        yield schedule[:half]
        yield schedule[half:]
    for index in range(len(schedule)):
        yield schedule[:index] + schedule[index + 1 :]
    for index, fault in enumerate(schedule):
        for shorter in _shortened(fault):
            yield (*schedule[:index], shorter, *schedule[index + 1 :])


def _shortened(fault: Fault) -> Iterator[Fault]:
    if fault.duration_ms > 2 * MIN_DURATION_MS:
        yield replace(fault, duration_ms=round(fault.duration_ms / 2, 1))
    if fault.duration_ms > 4 * MIN_DURATION_MS:
        yield replace(fault, duration_ms=round(fault.duration_ms * 0.8, 1))
