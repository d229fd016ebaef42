"""The end of the process after SIGTERM: when it stops to accept, refuses, hurries and goes, by the time that
the platform leaves it before SIGKILL."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from twisted.internet import tcp

from thornjunction.core.engine import Engine
from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.client_link import ClientTable
from thornjunction.runtime.drain import REFUSE_MS, Drain

ACCEPT_MS = 800.0  # after SIGTERM: new connections come for 400 ms, requests on open ones for 200 ms more
KILL_MS, LONGEST_MS = 700.0, 3_000.0  # SIGKILL: so long after the longest deadline, which counts so much
EARLY_MS = 80.0  # before it: the last connections; and again, the last answers
LATE_MS = (
    500.0  # after it, with requests still open: who exits has lost them, a process that is killed has not
)
LOOK_MS = 20.0  # between looks whether all is answered
BACKLOG = 1024  # connections that the system may hold for us


class Shutdown:
    """Off until it is started; then it calls ``stop``, once."""

    def __init__(
        self,
        clients: ClientTable,
        drain: Drain,
        engine: Engine,
        deadlines: Deadlines,
        clock: Callable[[], float],
        stop: Callable[[], None],
    ) -> None:
        self.clients, self.drain, self.engine = clients, drain, engine
        self.deadlines, self.clock, self.stop = deadlines, clock, stop
        self.ports: Sequence[Any] = ()
        self.accept, self._last = True, 0.0

    def start(self, longest_ms: float, ports: Sequence[Any], accept: bool) -> None:
        """``longest_ms``: the longest that any client waits; ``accept``: whether new connections are ours."""
        now, self.ports, self.accept = self.clock(), ports, accept
        self._last = now + min(longest_ms, LONGEST_MS) + KILL_MS - EARLY_MS
        self.engine.shutdown_at_ms = self._last - EARLY_MS
        left_ms = self.engine.shutdown_at_ms - now
        wait_ms = min(ACCEPT_MS, left_ms) if accept else 0.0
        # What is open keeps its own time to the end; only then is it hurried.  Refusals begin halfway at the
        # latest, else short deadlines would let a connection with always something open come to none.
        self.drain.start(wait_ms, min(REFUSE_MS, (wait_ms + left_ms) / 2), left_ms)
        self.deadlines.add(now + wait_ms, self._close_ports)

    def _close_ports(self) -> None:
        for port in self.ports:
            if self.accept and isinstance(port, tcp.Port):
                accept_all(port)
            port.stopListening()
        self._look()

    def _look(self) -> None:
        now, open_now = self.clock(), len(self.engine.requests)
        over = now >= self._last if not open_now else now >= self._last + EARLY_MS + LATE_MS
        if over or not (open_now or self.clients.connected):
            return self.stop()
        if now >= self.engine.shutdown_at_ms:
            for link in self.clients:
                link.read_now()
                if not link.is_open():
                    link.finish("drained")
        self.deadlines.add(now + LOOK_MS, self._look)


def accept_all(port: Any) -> None:
    """What the system holds for a port was taken: closing the port would reset it, with its requests."""
    taken = -1
    for _ in range(BACKLOG):
        if port.sessionno == taken:
            return
        taken = port.sessionno
        port.doRead()
