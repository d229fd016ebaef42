"""A worker process: ``python -m fleet_scale.worker PARENT_PID``.

Settings and commands are lines on standard input, replies are lines on standard output.  The process ends
with its parent, or when standard input is closed.
"""

from __future__ import annotations

import sys
from typing import Any

from fleet_harness.parent_death import die_with_parent
from twisted.internet import stdio

from fleet_scale.worker.command_receiver import CommandReceiver
from fleet_scale.worker.roles import build_role
from thornjunction import logs
from thornjunction.net.event_loop.reactor import install


def main(parent_pid: int) -> None:
    """Execute commands until the parent ends or closes standard input."""
    die_with_parent(parent_pid)
    logs.log_to_stream(sys.stderr)
    reactor = install()

    def stop() -> None:
        if reactor.running:
            reactor.stop()

    open_standard_streams: Any = stdio.StandardIO
    open_standard_streams(CommandReceiver(lambda settings: build_role(settings, reactor), stop))
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main(int(sys.argv[1]))
