"""One router's process: started, signalled by its own id, its log read as events."""

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

MAX_LINE = 100_000  # bytes of one log line; more is cut into lines

Hear = Callable[[str, str, Mapping[str, Any]], None]  # router, event, fields


class Node(protocol.ProcessProtocol):
    """A router by name; ``hear`` gets each line of its log, and ``exit`` with its code or signal."""

    def __init__(self, name: str, hear: Hear) -> None:
        self.name, self.hear = name, hear
        self.pid: int | None = None
        self.ended: Deferred[None] = Deferred()
        self._rest = b""

    def start(self, reactor: Any, config: Path, extras: Path) -> None:
        command = [sys.executable, "-m", "thornjunction", "run", "--extras", str(extras)]
        paths = os.pathsep.join(path or os.getcwd() for path in sys.path)
        env = dict(os.environ) | {"PROXY_CONFIG": str(config), "PYTHONPATH": paths}
        for given in ("PROXY_NAME", "PROXY_LISTEN", "PROXY_ADMIN_ADDR", "PROXY_SOCKET_FD"):
            env.pop(given, None)
        fds: Any = {0: "w", 1: "r", 2: "r"}
        transport: Any = reactor.spawnProcess(
            self, command[0], command, env, str(config.parent), childFDs=fds
        )
        self.pid = transport.pid

    def errReceived(self, data: bytes) -> None:  # noqa: N802
        *lines, self._rest = (self._rest + data).split(b"\n")
        if len(self._rest) > MAX_LINE:
            lines, self._rest = [*lines, self._rest], b""
        for line in lines:
            self._read(line)

    def _read(self, line: bytes) -> None:
        try:
            told = json.loads(line)
            event = str(told.pop("event"))
        except (ValueError, KeyError, AttributeError):
            event, told = "text", {"line": line.decode("utf-8", "replace")}
        self.hear(self.name, event, told)

    def processEnded(self, reason: Failure) -> None:  # noqa: N802
        value: Any = reason.value
        self.pid = None
        code = f"signal {value.signal}" if value.signal else str(value.exitCode)
        self.ended.callback(None)
        self.hear(self.name, "exit", {"code": code})

    def signal(self, number: int) -> None:
        """To this process alone, while it lives: its id can't be another's before it was waited for."""
        if self.pid is not None:
            os.kill(self.pid, number)
