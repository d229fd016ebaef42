"""The end of the process after SIGTERM: it stops accepting, refuses, answers what is open, and exits.

All is done within the time that the platform leaves it before SIGKILL.
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
# By the platform's terms new connections come for 400 ms, and requests on open ones for 200 ms more.
ACCEPT_WINDOW_MS = 800.0

# Longest client deadline that the platform counts.
MAX_DEADLINE_MS = 3_000.0

# Time from the longest client deadline to SIGKILL.
KILL_DELAY_MS = 700.0

# Time before SIGKILL at which the process exits.
# Once more before that all requests are answered, so that the last responses can be read.
EXIT_MARGIN_MS = 80.0

# How long the process stays past the time of SIGKILL while requests are open.
# A process that exits loses them for certain; one that waits to be killed may still answer.
OPEN_REQUESTS_GRACE_MS = 500.0

# Time between checks whether all requests are answered.
CHECK_INTERVAL_MS = 20.0

# Connections that the system may hold for this process until they are accepted.
MAX_PENDING_CONNECTIONS = 1024


class Shutdown:
    """Ends the process's service once it is started.

    Args:
        clients: clients' connections.
        drain: closes them.
        engine: owns the open requests.
        deadlines: the queue of deadlines.
        clock: the core's clock, in ms.
        stop: is called once, when all requests are answered or the time is over.
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
        self._accept_new = True
        self._stop_at_ms = 0.0

    def start(self, longest_wait_ms: float, ports: Sequence[ListeningPort], accept_new: bool) -> None:
        """Begin the shutdown.

        Args:
            longest_wait_ms: the longest time that any client waits.
            ports: the listening ports, closed after the accept window.
            accept_new: whether this process accepts the new connections; else a successor does.
        """
        now_ms = self._clock()
        self._ports = ports
        self._accept_new = accept_new
        self._stop_at_ms = now_ms + min(longest_wait_ms, MAX_DEADLINE_MS) + KILL_DELAY_MS - EXIT_MARGIN_MS
        self._engine.shutdown_at_ms = self._stop_at_ms - EXIT_MARGIN_MS
        remaining_ms = self._engine.shutdown_at_ms - now_ms
        accept_ms = min(ACCEPT_WINDOW_MS, remaining_ms) if accept_new else 0.0
        # Open requests keep their own time to the end; only then are they answered at once.  Refusals begin
        # halfway at the latest: with short deadlines, a connection that always has an open request would
        # otherwise get none.
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
        """Stop if all is answered or the time is over; else check again soon."""
        now_ms = self._clock()
        open_requests = len(self._engine.requests)
        if self._is_past_exit_time(now_ms, open_requests) or not (
            open_requests or self._clients.connection_count
        ):
            self._stop()
            return
        if now_ms >= self._engine.shutdown_at_ms:
            self._end_idle_connections()
        self._deadlines.add(now_ms + CHECK_INTERVAL_MS, self._check_done)

    def _is_past_exit_time(self, now_ms: float, open_requests: int) -> bool:
        if not open_requests:
            return now_ms >= self._stop_at_ms
        return now_ms >= self._stop_at_ms + EXIT_MARGIN_MS + OPEN_REQUESTS_GRACE_MS

    def _end_idle_connections(self) -> None:
        for connection in self._clients:
            connection.handle_pending_input()
            if not connection.has_open_request():
                connection.close_lingering(DisconnectReason.DRAINED)


def accept_pending(port: tcp.Port) -> None:
    """Accept the connections that the system holds for a port: closing it would reset them."""
    last_session = -1
    for _ in range(MAX_PENDING_CONNECTIONS):
        if port.sessionno == last_session:
            return
        last_session = port.sessionno
        port.doRead()  # type: ignore[no-untyped-call]
