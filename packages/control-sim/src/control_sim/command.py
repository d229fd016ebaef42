"""`python -m control_sim`: many seeds; a failing one is shrunk and its timeline printed."""

from __future__ import annotations

import argparse
import time
from collections.abc import Iterable, Iterator, Sequence
from multiprocessing import Pool

from fleet_sim import Outcome, run, shrink
from fleet_sim.command import OutcomeTotals as Total

from control_sim.plans import plan
from control_sim.topology import subject


def outcome_of(seed: int) -> Outcome:
    """One seed's run, without its log."""
    outcome = run(subject(), plan(seed))
    outcome.trace.clear()
    return outcome


def outcomes(seeds: Iterable[int], jobs: int = 1) -> Iterator[Outcome]:
    """In the order of the seeds."""
    if jobs == 1:
        yield from map(outcome_of, seeds)
        return
    with Pool(jobs) as pool:
        yield from pool.imap(outcome_of, seeds, chunksize=10)


def story(outcome: Outcome) -> str:
    """A failure, made as small as it goes."""
    return shrink(subject(), outcome).story()


def main(arguments: Sequence[str] | None = None) -> int:
    """Exit status 1 if a seed fails."""
    parser = argparse.ArgumentParser(prog="python -m control_sim", description=__doc__)
    parser.add_argument("--seeds", type=int, default=500, help="how many seeds")
    parser.add_argument("--first", type=int, default=0, help="the first of them")
    parser.add_argument("--seed", type=int, help="this one alone, with its timeline")
    parser.add_argument("--jobs", type=int, default=1, help="processes that share the seeds")
    parser.add_argument("--keep-going", action="store_true", help="count all failures, shrink the first")
    args = parser.parse_args(arguments)
    if args.seed is not None:
        outcome = run(subject(), plan(args.seed), trace=True)
        print(outcome.story(0))
        return 1 if outcome.violation else 0
    begun, total, failed = time.perf_counter(), Total(), None
    for outcome in outcomes(range(args.first, args.first + args.seeds), args.jobs):
        total.add(outcome)
        if outcome.violation:
            print(f"seed {outcome.plan.seed}: {outcome.violation}", flush=True)
            failed = failed or outcome
            if not args.keep_going:
                break
    print(total.text(time.perf_counter() - begun))
    if failed is not None:
        print(story(failed))
    return 1 if failed else 0
