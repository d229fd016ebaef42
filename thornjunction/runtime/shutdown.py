"""The end of the process after SIGTERM: when it stops to accept, refuses, hurries and exits.

All is done by the time that the platform leaves it before SIGKILL.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from twisted.internet import tcp

from thornjunction.core.engine import Engine
from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.downstream.connection_table import DownstreamTable
from thornjunction.net.event_loop.disconnect_reasons import DisconnectReason
from thornjunction.runtime.drain import REFUSE_AFTER_MS, Drain

ACCEPT_WINDOW_MS = 800.0
"""After SIGTERM: new connections come for 400 ms, and requests on open ones for 200 ms more."""

MAX_DEADLINE_MS = 3_000.0
"""The platform counts no client's deadline beyond this."""

KILL_DELAY_MS = 700.0
"""From the longest deadline to SIGKILL."""

EXIT_MARGIN_MS = 80.0
"""Before SIGKILL for the last connections; and before that once more for the last responses."""

OPEN_REQUESTS_GRACE_MS = 500.0
"""After SIGKILL is due, with requests still open.

A process that exits has lost them for certain; one that waits to be killed may still answer.
"""

CHECK_INTERVAL_MS = 20.0
"""Between checks whether all is answered."""

BACKLOG = 1024
"""Connections that the system may hold for this process."""


class Shutdown:
    """Off until it is started; then it calls ``stop`` once, when all is answered or the time is over."""

    def __init__(
        self,
        clients: DownstreamTable,
        drain: Drain,
        engine: Engine,
        deadlines: Deadlines,
        clock: Callable[[], float],
        stop: Callable[[], None],
    ) -> None:
        self._clients = clients
        self._drain = drain
        self._engine = engine
        self._deadlines = deadlines
        self._clock = clock
        self._stop = stop
        self._ports: Sequence[Any] = ()
        self._accept_new = True
        self._stop_at_ms = 0.0

    def start(self, longest_wait_ms: float, ports: Sequence[Any], accept_new: bool) -> None:
        """Begin the shutdown.

        Args:
            longest_wait_ms: the longest that any client waits.
            ports: the listening ports, closed after the accept window.
            accept_new: whether new connections are this process's; else a successor accepts them.
        """
        now_ms = self._clock()
        self._ports = ports
        self._accept_new = accept_new
        self._stop_at_ms = now_ms + min(longest_wait_ms, MAX_DEADLINE_MS) + KILL_DELAY_MS - EXIT_MARGIN_MS
        self._engine.shutdown_at_ms = self._stop_at_ms - EXIT_MARGIN_MS
        remaining_ms = self._engine.shutdown_at_ms - now_ms
        accept_ms = min(ACCEPT_WINDOW_MS, remaining_ms) if accept_new else 0.0
        # What is open keeps its own time to the end; only then is it hurried.  Refusals begin halfway at the
        # latest, else short deadlines would let a connection with always something open come to none.
        refuse_after_ms = min(REFUSE_AFTER_MS, (accept_ms + remaining_ms) / 2)
        self._drain.start(accept_ms, refuse_after_ms, remaining_ms)
        self._deadlines.add(now_ms + accept_ms, self._close_ports)

    def _close_ports(self) -> None:
        for port in self._ports:
            if self._accept_new and isinstance(port, tcp.Port):
                accept_pending(port)
            port.stopListening()
        self._check_done()

    def _check_done(self) -> None:
        """Stop where nothing is left to do or the time is over; else check again soon."""
        now_ms = self._clock()
        open_requests = len(self._engine.requests)
        if self._is_time_over(now_ms, open_requests) or not (open_requests or self._clients.connection_count):
            self._stop()
            return
        if now_ms >= self._engine.shutdown_at_ms:
            self._end_idle_connections()
        self._deadlines.add(now_ms + CHECK_INTERVAL_MS, self._check_done)

    def _is_time_over(self, now_ms: float, open_requests: int) -> bool:
        if not open_requests:
            return now_ms >= self._stop_at_ms
        return now_ms >= self._stop_at_ms + EXIT_MARGIN_MS + OPEN_REQUESTS_GRACE_MS

    def _end_idle_connections(self) -> None:
        for connection in self._clients:
            connection.handle_pending_input()
            if not connection.has_open_request():
                connection.close_lingering(DisconnectReason.DRAINED)


def accept_pending(port: Any) -> None:
    """Accept what the system holds for a port: closing the port would reset it, with its requests."""
    last_session = -1
    for _ in range(BACKLOG):
        if port.sessionno == last_session:
            return
        last_session = port.sessionno
        port.doRead()
