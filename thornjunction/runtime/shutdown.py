"""Shutdown after SIGTERM: the process stops accepting, refuses new requests, answers open ones, and exits.

All of this happens within the time that the platform grants between SIGTERM and SIGKILL.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from twisted.internet import tcp

from thornjunction.core.engine import Engine
from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.downstream.connection_table import DownstreamTable
from thornjunction.net.event_loop.disconnect_reasons import DisconnectReason
from thornjunction.net.event_loop.ports import ListeningPort
from thornjunction.runtime.drain import REFUSE_AFTER_MS, Drain

# How long connections and requests are accepted after SIGTERM.
# By the platform's contract new connections arrive for 400 ms, and requests on open ones for another 200 ms.
ACCEPT_WINDOW_MS = 800.0

# Longest client deadline that the platform takes into account for the time of SIGKILL.
MAX_DEADLINE_MS = 3_000.0

# Time between the longest client deadline and SIGKILL.
KILL_DELAY_MS = 700.0

# How long before SIGKILL the process exits.
# All open requests are answered earlier by the same margin, so that clients can read the last responses.
EXIT_MARGIN_MS = 80.0

# How long the process goes on after the expected time of SIGKILL while requests are open or responses unsent.
# Exiting would certainly lose these requests; until it is killed, the process may still answer them.
OPEN_REQUESTS_GRACE_MS = 500.0

# Time between checks whether all requests have been answered.
CHECK_INTERVAL_MS = 20.0

# Most connections that are accepted from the listen backlog of one port.
MAX_PENDING_CONNECTIONS = 1024


class Shutdown:
    """Shuts down the serving of clients, from ``start`` until the process may stop.

    Args:
        clients: the client connections.
        drain: closes the client connections.
        engine: owns the open requests.
        deadlines: the queue of deadlines.
        clock: the core's clock, in ms.
        stop: is called once, when all requests are answered or the time has run out.
    """

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
        self._ports: Sequence[ListeningPort] = ()
        self._accept_connections = True
        self._stop_at_ms = 0.0

    def start(self, longest_wait_ms: float, ports: Sequence[ListeningPort], accept_connections: bool) -> None:
        """Begin the shutdown.

        Args:
            longest_wait_ms: the longest time that any client waits for a response.
            ports: the listening ports, which are closed after the accept window.
            accept_connections: whether this process accepts the new connections; if not, a successor does.
        """
        now_ms = self._clock()
        self._ports = ports
        self._accept_connections = accept_connections
        self._stop_at_ms = now_ms + min(longest_wait_ms, MAX_DEADLINE_MS) + KILL_DELAY_MS - EXIT_MARGIN_MS
        self._engine.shutdown_at_ms = self._stop_at_ms - EXIT_MARGIN_MS
        remaining_ms = self._engine.shutdown_at_ms - now_ms
        accept_ms = min(ACCEPT_WINDOW_MS, remaining_ms) if accept_connections else 0.0
        # Open requests keep their deadlines until the end, and only then are answered at once.  Refusals
        # begin halfway at the latest: with short deadlines, a connection that always has an open request
        # would otherwise receive no refusal.
        refuse_after_ms = min(REFUSE_AFTER_MS, (accept_ms + remaining_ms) / 2)
        self._drain.start(accept_ms, refuse_after_ms, remaining_ms)
        self._deadlines.add(now_ms + accept_ms, self._close_ports)

    def _close_ports(self) -> None:
        for port in self._ports:
            if self._accept_connections and isinstance(port, tcp.Port):
                accept_pending(port)
            port.stopListening()
        self._check_done()

    def _check_done(self) -> None:
        """Stop if all requests are answered or the time has run out; otherwise schedule another check."""
        now_ms = self._clock()
        if self._is_past_exit_time(now_ms) or not (self._engine.requests or self._clients.connection_count):
            self._stop()
            return
        if now_ms >= self._engine.shutdown_at_ms:
            self._close_idle_connections()
        self._deadlines.add(now_ms + CHECK_INTERVAL_MS, self._check_done)

    def _is_past_exit_time(self, now_ms: float) -> bool:
        if now_ms < self._stop_at_ms:
            return False
        if now_ms >= self._stop_at_ms + EXIT_MARGIN_MS + OPEN_REQUESTS_GRACE_MS:
            return True
        return not (self._engine.requests or self._clients.has_unsent_responses())

    def _close_idle_connections(self) -> None:
        for connection in self._clients:
            connection.handle_pending_input()
            if not connection.has_open_request():
                connection.close_lingering(DisconnectReason.DRAINED)


def accept_pending(port: tcp.Port) -> None:
    """Accept the connections in the listen backlog of a port: closing the port would reset them."""
    previous_session = -1
    for _ in range(MAX_PENDING_CONNECTIONS):
        if port.sessionno == previous_session:
            return
        previous_session = port.sessionno
        port.doRead()  # type: ignore[no-untyped-call]
