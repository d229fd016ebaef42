"""``python -m fleet_harness`` starts routers that know each other until SIGTERM; ``... play FILE..`` plays
scenarios and exits with 1 where one was not seen through."""

from __future__ import annotations

import argparse
import signal
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.error import ReactorNotRunning

from fleet_harness.demo import Demo
from fleet_harness.scenario_batch import Troupe
from thornjunction.net.reactor import install

reactor = install()


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m fleet_harness", description=__doc__)
    parser.add_argument("--routers", type=int, default=3, choices=range(3, 10), help="of the fleet, 3 to 9")
    play = parser.add_subparsers(dest="command").add_parser("play", help="play scenario files")
    play.add_argument("--jobs", type=int, default=4, help="scenarios at once")
    play.add_argument("files", nargs="+", type=Path)
    told = parser.parse_args()
    if told.command == "play":
        troupe = Troupe(reactor, told.jobs)
        return _run(troupe, lambda: troupe.play(told.files).addCallback(lambda _: _end())) or (
            troupe.missed > 0
        )
    demo = Demo(reactor, [f"router-{number + 1}" for number in range(told.routers)])
    return _run(demo, lambda: Deferred.fromCoroutine(demo.play()))


def _end() -> None:
    """Stop the reactor, unless it is stopping."""
    with suppress(ReactorNotRunning):
        reactor.stop()


def _end_at_the_first_signal() -> None:
    """Those that follow change nothing: ending the processes takes a moment."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(_end))


def _run(acted: Troupe | Demo, begin: Any) -> int:
    """Until it ends, or a signal does; whatever happens, the processes it started end before this one."""
    faults: list[Any] = []

    def fault(failure: Any) -> None:
        faults.append(failure)
        print(failure.getTraceback(), file=sys.stderr)
        _end()

    reactor.callWhenRunning(_end_at_the_first_signal)
    reactor.callWhenRunning(lambda: begin().addErrback(fault))
    reactor.addSystemEventTrigger("before", "shutdown", acted.stop)
    reactor.run()
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(int(main()))
