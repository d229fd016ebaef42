"""``python -m fleet_sim``: runs a subject with many seeds; shrinks a failure and prints its timeline."""

from __future__ import annotations

import argparse
import math
import time
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from multiprocessing import Pool
from pkgutil import resolve_name

from .fault_plans import FAULT_KINDS, FaultProfile
from .run import Outcome, Subject, draw_plan, node_names, run
from .shrink import shrink

# The subject to run unless the command line selects another one.
DEFAULT_SUBJECT = "fleet_sim.membership:subject"

# Number of seeds that are handed to a worker process at a time.
SEEDS_PER_TASK = 20

# Makes a subject for nodes with the given names.
SubjectFactory = Callable[[tuple[str, ...]], Subject]


def percentile(values: Sequence[float], share: float) -> float:
    """Return a percentile by the nearest-rank method; nan if there are no values."""
    if not values:
        return math.nan
    rank = math.ceil(share * len(values))
    return sorted(values)[max(0, rank - 1)]


@dataclass(frozen=True, slots=True)
class SeedRunner:
    """Runs a subject with seeds; holds only the subject's name, so that worker processes can receive it."""

    subject: str
    nodes: int
    profile: FaultProfile

    def make_subject(self) -> Subject:
        """Return a new subject."""
        make: SubjectFactory = resolve_name(self.subject)
        return make(node_names(self.nodes))

    def run(self, seed: int) -> Outcome:
        """Run one seed; the trace is cleared, since it is large to send to another process."""
        outcome = run(self.make_subject(), draw_plan(seed, self.nodes, self.profile))
        outcome.trace.clear()
        return outcome

    def run_traced(self, seed: int) -> Outcome:
        """Run one seed and keep its trace, including messages."""
        return run(self.make_subject(), draw_plan(seed, self.nodes, self.profile), trace=True)


class OutcomeTotals:
    """Totals over the outcomes of many seeds."""

    def __init__(self) -> None:
        self.failures: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()
        self.seeds = 0
        self.steps = 0
        self.simulated_ms = 0.0
        self.settled_ms: list[float] = []

    def add(self, outcome: Outcome) -> None:
        """Add one outcome."""
        self.seeds += 1
        self.steps += outcome.steps
        self.simulated_ms += outcome.simulated_ms
        self.counts += outcome.counts
        if outcome.violation:
            self.failures[outcome.violation.check] += 1
        else:
            self.settled_ms.append(outcome.settled_ms)

    def text(self, elapsed_s: float) -> str:
        """Return the totals in one line."""
        percentiles = "/".join(f"{percentile(self.settled_ms, share):.0f}" for share in (0.5, 0.99, 1.0))
        return (
            f"{self.seeds} seeds, {self.failures.total()} failed {dict(sorted(self.failures.items()))}, "
            f"{self.steps} steps, {self.simulated_ms / 1_000:.0f} s simulated in {elapsed_s:.1f} s, "
            f"settled after healing p50/p99/max {percentiles} ms, counts {dict(sorted(self.counts.items()))}"
        )


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command; return the exit status, which is 1 if a seed fails."""
    args = _parser().parse_args(arguments)
    kinds = tuple(args.kinds.split(","))
    profile = FaultProfile(max_faults=args.faults, max_duration_ms=args.longest_ms, kinds=kinds)
    runner = SeedRunner(args.subject, args.nodes, profile)
    if args.seed is not None:
        return _run_one(runner, args.seed)
    return _run_many(runner, args)


def _parser() -> argparse.ArgumentParser:
    defaults = FaultProfile()
    parser = argparse.ArgumentParser(prog="python -m fleet_sim", description=__doc__)
    parser.add_argument("--seeds", type=int, default=2_000, help="number of seeds")
    parser.add_argument("--first", type=int, default=0, help="first seed")
    parser.add_argument("--seed", type=int, help="run only this seed and print its timeline")
    parser.add_argument("--nodes", type=int, default=5)
    parser.add_argument(
        "--faults", type=int, default=defaults.max_faults, help="maximum number of faults per seed"
    )
    parser.add_argument(
        "--longest-ms", type=float, default=defaults.max_duration_ms, help="maximum duration of a fault in ms"
    )
    parser.add_argument(
        "--kinds", default=",".join(FAULT_KINDS), help="kinds of faults to draw, separated by commas"
    )
    parser.add_argument("--jobs", type=int, default=1, help="number of worker processes")
    parser.add_argument(
        "--keep-going", action="store_true", help="continue after a failure; only the first one is shrunk"
    )
    parser.add_argument("--subject", default=DEFAULT_SUBJECT, help="module:function that makes the subject")
    return parser


def _run_one(runner: SeedRunner, seed: int) -> int:
    outcome = runner.run_traced(seed)
    print(outcome.report_text(max_entries=0))
    if outcome.violation is None:
        return 0
    _print_shrunk(runner, outcome)
    return 1


def _run_many(runner: SeedRunner, args: argparse.Namespace) -> int:
    started_s = time.perf_counter()
    totals = OutcomeTotals()
    first_failure = None
    for outcome in _outcomes(runner, range(args.first, args.first + args.seeds), args.jobs):
        totals.add(outcome)
        if outcome.violation is None:
            continue
        print(f"seed {outcome.plan.seed}: {outcome.violation}", flush=True)
        first_failure = first_failure or outcome
        if not args.keep_going:
            break
    print(totals.text(time.perf_counter() - started_s))
    if first_failure is None:
        return 0
    _print_shrunk(runner, first_failure)
    return 1


def _outcomes(runner: SeedRunner, seeds: range, jobs: int) -> Iterator[Outcome]:
    """Yield the outcome of each seed, in the order of the seeds."""
    if jobs == 1:
        yield from map(runner.run, seeds)
        return
    with Pool(jobs) as pool:
        yield from pool.imap(runner.run, seeds, chunksize=SEEDS_PER_TASK)


def _print_shrunk(runner: SeedRunner, failed: Outcome) -> None:
    print(f"\nshrinking seed {failed.plan.seed} from {len(failed.plan.schedule)} faults")
    print(shrink(runner.make_subject(), failed).report_text())
