"""A process of a run: ``python -m fleet_scale.worker ROLE PARENT``.  Commands come as lines of JSON on
standard input, each is answered by one on standard output; the first line holds the role's settings.  The
process ends with its parent, and when standard input does."""

from __future__ import annotations

import gc
import json
import os
import resource
import sys
import time
from typing import Any

from twisted.internet import stdio
from twisted.protocols.basic import LineOnlyReceiver

from fleet_scale.tether import tether
from thornjunction import logs
from thornjunction.net.event_loop.reactor import install
from thornjunction.runtime.start import GC_THRESHOLDS

MOST_LINE = 8 << 20


class Role:
    """What one process is.  Each public method is a command, called with the command's fields."""

    def figures(self) -> dict[str, Any]:
        return {}


class Commands(LineOnlyReceiver):
    """The parent's side of this process."""

    delimiter, MAX_LENGTH = b"\n", MOST_LINE
    transport: Any

    def __init__(self, reactor: Any, role: str) -> None:
        self.reactor, self.name = reactor, role
        self.role: Role | None = None

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        told = json.loads(line)
        if self.role is None:
            from fleet_scale.roles import build

            self.role = build(self.name, self.reactor, told)
            gc.freeze()
            gc.set_threshold(*GC_THRESHOLDS)
            return self._say({"pid": os.getpid()} | self.role.figures())
        verb = str(told.pop("do"))
        if verb == "figures":
            return self._say(self.role.figures() | usage())
        if verb.startswith("_") or not hasattr(self.role, verb):
            return self._say({"fault": f"no command {verb}"})
        self._say(getattr(self.role, verb)(**told) or {})

    def _say(self, told: dict[str, Any]) -> None:
        line = json.dumps(told).encode()
        self.transport.write(line + b"\n")

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        if self.reactor.running:
            self.reactor.stop()


def usage() -> dict[str, Any]:
    """This process's cost: processor seconds since its start, MB resident, without what it shares with files
    on disk, and resident at its peak."""
    with open("/proc/self/statm", encoding="ascii") as told:
        resident, shared = (int(word) * resource.getpagesize() / 1e6 for word in told.read().split()[1:3])
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0
    return {"cpu_s": time.process_time(), "mb": resident, "own_mb": resident - shared, "peak_mb": peak_mb}


def main(role: str, parent: int) -> None:
    tether(parent)
    logs.to_stream(sys.stderr)
    running = install()
    opened: Any = stdio.StandardIO
    opened(Commands(running, role))
    running.run(installSignalHandlers=False)


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]))
