"""From a failing plan to a smaller one that fails by the same check."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

from .faults import Fault, Schedule
from .run import Outcome, Plan, Subject, run

SHORTEST_MS = 50.0  # faults aren't halved below this
MOST_RUNS = 300


def shrink(subject: Subject, failed: Outcome, most_runs: int = MOST_RUNS) -> Outcome:
    """Drop faults, then shorten them, as long as the same check fails; the result is traced.

    Greedy and one at a time: no single drop or halving of the result fails by that check,
    unless `most_runs` ended the search.
    """
    if failed.violation is None:
        raise ValueError("nothing to shrink: the run holds")
    check, best, runs = failed.violation.check, failed.plan, 0
    while runs < most_runs:
        for schedule in _smaller(best.schedule):
            runs += 1
            tried = replace(best, schedule=schedule)
            if _fails(subject, tried, check):
                best = tried
                break
            if runs >= most_runs:
                break
        else:
            break
    return run(subject, best, trace=True)


def _fails(subject: Subject, plan: Plan, check: str) -> bool:
    violation = run(subject, plan).violation
    return violation is not None and violation.check == check


def _smaller(schedule: Schedule) -> Iterator[Schedule]:
    """Schedules one step smaller, the boldest first."""
    half = len(schedule) // 2
    if half > 1:
        yield schedule[:half]
        yield schedule[half:]
    for index in range(len(schedule)):
        yield schedule[:index] + schedule[index + 1 :]
    for index, fault in enumerate(schedule):
        for shorter in _shorter(fault):
            yield (*schedule[:index], shorter, *schedule[index + 1 :])


def _shorter(fault: Fault) -> Iterator[Fault]:
    if fault.lasts_ms > 2 * SHORTEST_MS:
        yield replace(fault, lasts_ms=round(fault.lasts_ms / 2, 1))
    if fault.lasts_ms > 4 * SHORTEST_MS:
        yield replace(fault, lasts_ms=round(fault.lasts_ms * 0.8, 1))
