"""Command line: ``python -m fleet_harness`` runs a demo fleet, ``... play FILE..`` runs scenarios.

The demo runs until SIGTERM.  ``play`` exits with 1 if an expectation of any scenario was not met.
"""

from __future__ import annotations

import argparse
import signal
import sys
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, Protocol

from twisted.internet.defer import Deferred
from twisted.internet.error import ReactorNotRunning
from twisted.python.failure import Failure

from fleet_harness.demo import Demo
from fleet_harness.scenario_batch import ScenarioBatch
from thornjunction.net.event_loop.reactor import install

# Routers of the smallest demo; with fewer, one failure loses the majority.
MIN_ROUTERS = 3

# Routers of the largest demo.
MAX_ROUTERS = 9

# Scenarios that run at the same time without the option ``--jobs``.
DEFAULT_JOBS = 4

reactor = install()


class Stoppable(Protocol):
    """A run that starts processes and can end them."""

    def stop(self) -> Deferred[Any]:
        """End all processes; fires once they have ended."""
        ...


def main() -> int:
    """Run the command line; return the exit code."""
    arguments = _parse_arguments()
    if arguments.command == "play":
        return _run_scenarios(arguments.files, arguments.jobs)
    demo = Demo(reactor, [f"router-{number + 1}" for number in range(arguments.routers)])
    return _run_reactor(demo, lambda: Deferred.fromCoroutine(demo.run()))


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m fleet_harness", description=__doc__)
    parser.add_argument(
        "--routers",
        type=int,
        default=MIN_ROUTERS,
        choices=range(MIN_ROUTERS, MAX_ROUTERS + 1),
        help=f"routers of the fleet, {MIN_ROUTERS} to {MAX_ROUTERS}",
    )
    play = parser.add_subparsers(dest="command").add_parser("play", help="run scenario files")
    play.add_argument("--jobs", type=int, default=DEFAULT_JOBS, help="scenarios that run at the same time")
    play.add_argument("files", nargs="+", type=Path)
    return parser.parse_args()


def _run_scenarios(files: list[Path], jobs: int) -> int:
    batch = ScenarioBatch(reactor, jobs)

    def begin() -> Deferred[Any]:
        return batch.run(files).addCallback(lambda _: _stop_reactor())

    exit_code = _run_reactor(batch, begin)
    if exit_code == 0 and batch.failed > 0:
        return 1
    return exit_code


def _stop_reactor() -> None:
    """Stop the reactor, unless it is already stopping."""
    with suppress(ReactorNotRunning):
        reactor.stop()


def _stop_on_signals() -> None:
    """Stop the reactor at the first signal; later signals are ignored while the processes end."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(_stop_reactor))


def _run_reactor(target: Stoppable, begin: Callable[[], Deferred[Any]]) -> int:
    """Run the reactor until the target's work or a signal stops it; return the exit code.

    In every case the processes that the target started end before this one does.
    """
    failures: list[Failure] = []

    def record_failure(failure: Failure) -> None:
        failures.append(failure)
        print(failure.getTraceback(), file=sys.stderr)
        _stop_reactor()

    reactor.callWhenRunning(_stop_on_signals)
    reactor.callWhenRunning(lambda: begin().addErrback(record_failure))
    reactor.addSystemEventTrigger("before", "shutdown", target.stop)
    reactor.run()
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
