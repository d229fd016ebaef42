"""`python -m fleet_sim`: many seeds of one subject; a failing one is shrunk and its timeline printed."""

from __future__ import annotations

import argparse
import math
import time
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Sequence
from multiprocessing import Pool
from pkgutil import resolve_name

from .faults import KINDS, Weather
from .run import Outcome, Subject, drawn_plan, node_names, run
from .shrink import shrink

SUBJECT = "fleet_sim.membership:subject"
Make = Callable[[tuple[str, ...]], Subject]


def percentile(values: Sequence[float], share: float) -> float:
    """The nearest rank; nan for no values."""
    ranked = sorted(values)
    return ranked[max(0, math.ceil(share * len(ranked)) - 1)] if ranked else math.nan


def run_seeds(make: Make, seeds: Iterable[int], nodes: int, weather: Weather) -> Iterator[Outcome]:
    """One outcome a seed, in their order."""
    subject = make(node_names(nodes))
    for seed in seeds:
        yield run(subject, drawn_plan(seed, nodes, weather))


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m fleet_sim", description=__doc__)
    parser.add_argument("--seeds", type=int, default=2_000, help="how many seeds")
    parser.add_argument("--first", type=int, default=0, help="the first of them")
    parser.add_argument("--seed", type=int, help="this one alone, with its timeline")
    parser.add_argument("--nodes", type=int, default=5)
    parser.add_argument("--faults", type=int, default=Weather().most_faults, help="faults a seed, at most")
    parser.add_argument("--kinds", default=",".join(KINDS), help="which faults are drawn")
    parser.add_argument("--jobs", type=int, default=1, help="processes that share the seeds")
    parser.add_argument(
        "--keep-going", action="store_true", help="shrink the first failure, count the others"
    )
    parser.add_argument("--subject", default=SUBJECT, help="module:function that makes the subject")
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Exit status 1 if a seed fails."""
    args = _parser().parse_args(arguments)
    weather = Weather(most_faults=args.faults, kinds=tuple(args.kinds.split(",")))
    subject = resolve_name(args.subject)(node_names(args.nodes))
    if args.seed is not None:
        outcome = run(subject, drawn_plan(args.seed, args.nodes, weather), trace=True)
        print(outcome.story(0))
        return _report_failure(subject, outcome) if outcome.violation else 0
    begun = time.perf_counter()
    failed, total = _all(args, weather)
    took = time.perf_counter() - begun
    print(total.text(took))
    for outcome in failed[:1]:
        _report_failure(subject, outcome)
    return 1 if failed else 0


class Total:
    """Sums over outcomes."""

    def __init__(self) -> None:
        self.checks: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()
        self.seeds = self.steps = 0
        self.simulated_ms = 0.0
        self.settled: list[float] = []

    def add(self, outcome: Outcome) -> None:
        self.seeds += 1
        self.steps += outcome.steps
        self.simulated_ms += outcome.simulated_ms
        self.counts += outcome.counts
        if outcome.violation:
            self.checks[outcome.violation.check] += 1
        else:
            self.settled.append(outcome.settled_ms)

    def text(self, took: float) -> str:
        ranks = "/".join(f"{percentile(self.settled, share):.0f}" for share in (0.5, 0.99, 1.0))
        return (
            f"{self.seeds} seeds, {self.checks.total()} failed {dict(sorted(self.checks.items()))}, "
            f"{self.steps} steps, {self.simulated_ms / 1_000:.0f} s simulated in {took:.1f} s, "
            f"settled after healing p50/p99/max {ranks} ms, counts {dict(sorted(self.counts.items()))}"
        )


def _all(args: argparse.Namespace, weather: Weather) -> tuple[list[Outcome], Total]:
    failed: list[Outcome] = []
    total = Total()
    for outcome in _outcomes(args, weather):
        total.add(outcome)
        if outcome.violation:
            print(f"seed {outcome.plan.seed}: {outcome.violation}", flush=True)
            failed.append(outcome)
            if not args.keep_going:
                break
    return failed, total


def _outcomes(args: argparse.Namespace, weather: Weather) -> Iterator[Outcome]:
    seeds = range(args.first, args.first + args.seeds)
    if args.jobs == 1:
        yield from run_seeds(resolve_name(args.subject), seeds, args.nodes, weather)
        return
    with Pool(args.jobs) as pool:
        yield from pool.imap(_Share(args.subject, args.nodes, weather), seeds, chunksize=20)


class _Share:
    """A seed of a worker; the log stays there."""

    def __init__(self, subject: str, nodes: int, weather: Weather) -> None:
        self._of = (subject, nodes, weather)

    def __call__(self, seed: int) -> Outcome:
        subject, nodes, weather = self._of
        (outcome,) = run_seeds(resolve_name(subject), [seed], nodes, weather)
        outcome.log.clear()
        return outcome


def _report_failure(subject: Subject, outcome: Outcome) -> int:
    print(f"\nshrinking seed {outcome.plan.seed} from {len(outcome.plan.schedule)} faults")
    print(shrink(subject, outcome).story())
    return 1
