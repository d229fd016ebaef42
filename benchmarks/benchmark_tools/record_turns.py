"""A script that runs the router or relay and, when it exits, prints the long iterations of its event loop.

``python record_turns.py TREE [OPERATORS_FILE]`` runs the program of a source tree. It prints a JSON
list with, for each iteration longer than ``MIN_TURN_S``, its start on the monotonic clock, its duration and
its CPU time, in seconds.
"""

from __future__ import annotations

import atexit
import json
import os
import sys
import time
from pathlib import Path
from typing import Any

# Shorter iterations of the event loop are not recorded.
MIN_TURN_S = 0.002
MAX_TURNS = 100_000


class RecordingPoller:
    """Wraps the poller of an epoll reactor: an iteration lasts from one poll's return to the next poll."""

    def __init__(self, poller: Any) -> None:
        self.turns: list[tuple[float, float, float]] = []
        self._poller = poller
        self._begin_s: float | None = None
        self._begin_cpu_s = 0.0

    def __getattr__(self, name: str) -> Any:
        return getattr(self._poller, name)

    def poll(self, *arguments: Any) -> Any:
        """Record the iteration that ends, poll, and begin the next one."""
        if self._begin_s is not None:
            self._record(self._begin_s, time.monotonic(), time.thread_time())
        events = self._poller.poll(*arguments)
        self._begin_s = time.monotonic()
        self._begin_cpu_s = time.thread_time()
        return events

    def _record(self, begin_s: float, end_s: float, end_cpu_s: float) -> None:
        if end_s - begin_s > MIN_TURN_S and len(self.turns) < MAX_TURNS:
            self.turns.append((begin_s, end_s - begin_s, end_cpu_s - self._begin_cpu_s))


def main(tree: str, operators_file: str | None = None) -> int:
    """Run the program of ``tree`` and return its exit code."""
    sys.path[0] = tree
    from thornjunction.net.event_loop.reactor import install

    reactor = install()
    poller = RecordingPoller(reactor._poller)
    reactor._poller = poller
    atexit.register(lambda: print(json.dumps(poller.turns), flush=True))
    from thornjunction.program import run_program

    if operators_file is None:
        return run_program(os.environ)
    return run_program(os.environ, Path(operators_file))


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
