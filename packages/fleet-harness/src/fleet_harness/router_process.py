"""One router's process, which is signalled by its own id and whose log is read as events."""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from twisted.internet import protocol
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from fleet_harness.parent_death import wrapped_command

# Upper bound on the bytes of an incomplete log line; a longer one is split.
MAX_LINE_BYTES = 100_000

# The event name of a line that is not a log entry, such as a line of a traceback.
TEXT_EVENT = "text"

# The event name of the process's exit; its field ``code`` is the exit code or ``signal N``.
EXIT_EVENT = "exit"

# Environment variables that would override the router's files, and are not passed on.
INHERITED_SETTINGS = ("PROXY_NAME", "PROXY_LISTEN", "PROXY_ADMIN_ADDR", "PROXY_SOCKET_FD")

# Receives a router's name, an event and its fields.
LogHandler = Callable[[str, str, Mapping[str, Any]], None]


class RouterProcess(protocol.ProcessProtocol):
    """A router's process; ``on_log`` receives each of its log entries, and ``EXIT_EVENT`` at its exit."""

    def __init__(self, name: str, on_log: LogHandler) -> None:
        self.name = name
        self.on_log = on_log
        self.pid: int | None = None
        self.ended: Deferred[None] = Deferred()
        self._partial_line = b""

    def start(self, reactor: Any, config: Path, operators_file: Path) -> None:
        """Start the process, with the folder of its configuration as its working directory."""
        command = wrapped_command(
            [sys.executable, "-m", "thornjunction", "run", "--extras", str(operators_file)]
        )
        python_path = os.pathsep.join(path or os.getcwd() for path in sys.path)
        environment = {key: value for key, value in os.environ.items() if key not in INHERITED_SETTINGS}
        environment["PROXY_CONFIG"] = str(config)
        environment["PYTHONPATH"] = python_path
        descriptors: Any = {0: "w", 1: "r", 2: "r"}
        transport: Any = reactor.spawnProcess(
            self, command[0], command, environment, str(config.parent), childFDs=descriptors
        )
        self.pid = transport.pid

    def send_signal(self, number: int) -> None:
        """Signal this process while it runs; its id is not reused before ``processEnded`` clears it."""
        if self.pid is not None:
            os.kill(self.pid, number)

    def errReceived(self, data: bytes) -> None:  # noqa: N802
        """Read log lines from the standard error stream (called by Twisted)."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        if len(self._partial_line) > MAX_LINE_BYTES:
            lines.append(self._partial_line)
            self._partial_line = b""
        for line in lines:
            self._read_line(line)

    def processEnded(self, reason: Failure) -> None:  # noqa: N802
        """Report the exit of the process (called by Twisted)."""
        self.pid = None
        status: Any = reason.value
        code = f"signal {status.signal}" if status.signal else str(status.exitCode)
        self.ended.callback(None)
        self.on_log(self.name, EXIT_EVENT, {"code": code})

    def _read_line(self, line: bytes) -> None:
        try:
            fields = json.loads(line)
            event = str(fields.pop("event"))
        except (ValueError, KeyError, AttributeError):
            event = TEXT_EVENT
            fields = {"line": line.decode("utf-8", "replace")}
        self.on_log(self.name, event, fields)
