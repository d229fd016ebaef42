"""``python -m control_sim``: run many seeds; reduce a failing one to few faults and print its timeline."""

from __future__ import annotations

import argparse
import time
from collections.abc import Iterable, Iterator, Sequence
from multiprocessing import Pool

from fleet_sim import Outcome, run, shrink
from fleet_sim.command import OutcomeTotals

from control_sim.fault_plans import draw_plan
from control_sim.topology import build_subject

# Seeds that are run without the option ``--seeds``.
DEFAULT_SEEDS = 500

# Seeds that a worker process receives at once.
SEEDS_PER_CHUNK = 10


def run_seed(seed: int) -> Outcome:
    """Run one seed; return its outcome, whose trace is cleared to save memory."""
    outcome = run(build_subject(), draw_plan(seed))
    outcome.trace.clear()
    return outcome


def run_seeds(seeds: Iterable[int], jobs: int = 1) -> Iterator[Outcome]:
    """Yield the outcomes in the order of the seeds, which ``jobs`` processes run."""
    if jobs == 1:
        yield from map(run_seed, seeds)
        return
    with Pool(jobs) as pool:
        yield from pool.imap(run_seed, seeds, chunksize=SEEDS_PER_CHUNK)


def shrunk_timeline(outcome: Outcome) -> str:
    """Return the timeline of a failure, with the fault plan reduced to the faults that cause it."""
    return shrink(build_subject(), outcome).report_text()


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command line; return exit code 1 if a seed fails, else 0."""
    options = _parse(arguments)
    if options.seed is not None:
        outcome = run(build_subject(), draw_plan(options.seed), trace=True)
        print(outcome.report_text(0))
        return 1 if outcome.violation else 0
    return _run_many(options)


def _parse(arguments: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m control_sim", description=__doc__)
    parser.add_argument("--seeds", type=int, default=DEFAULT_SEEDS, help="number of seeds to run")
    parser.add_argument("--first", type=int, default=0, help="the first seed")
    parser.add_argument("--seed", type=int, help="run only this seed and print its timeline")
    parser.add_argument("--jobs", type=int, default=1, help="number of worker processes")
    parser.add_argument(
        "--keep-going",
        action="store_true",
        help="run all seeds after a failure; shrink only the first failure",
    )
    return parser.parse_args(arguments)


def _run_many(options: argparse.Namespace) -> int:
    started = time.perf_counter()
    total = OutcomeTotals()
    first_failure = None
    for outcome in run_seeds(range(options.first, options.first + options.seeds), options.jobs):
        total.add(outcome)
        if outcome.violation is None:
            continue
        print(f"seed {outcome.plan.seed}: {outcome.violation}", flush=True)
        first_failure = first_failure or outcome
        if not options.keep_going:
            break
    print(total.text(time.perf_counter() - started))
    if first_failure is None:
        return 0
    print(shrunk_timeline(first_failure))
    return 1
