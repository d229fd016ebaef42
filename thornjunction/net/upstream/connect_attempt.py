"""A connect to a server, repeated with backoff where a failure says nothing about the server."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from thornjunction.log_events import LogEvent
from thornjunction.log_thinning import should_log
from thornjunction.logs import get_logger
from thornjunction.memory.deadlines import Deadline
from thornjunction.net.event_loop.backoff import exponential_backoff
from thornjunction.net.event_loop.transport import connect_by_deadline
from thornjunction.net.upstream.connect_errors import ConnectFailure, connect_failure
from thornjunction.net.upstream.connection import UpstreamConnection
from thornjunction.net.upstream.context import PoolContext

# Before the first repetition; each further pause is twice as long.
INITIAL_BACKOFF_MS = 5.0

# The longest pause between repetitions.
MAX_BACKOFF_MS = 100.0

log = get_logger(__name__)


@dataclass(frozen=True, slots=True)
class ConnectTarget:
    """What to connect to.

    Attributes:
        server: name of the server.
        address: its host and port.
        build: creates the protocol of the connection.
        timeout_ms: how long one connect may take.
    """

    server: str
    address: tuple[str, int]
    build: Callable[[], UpstreamConnection]
    timeout_ms: float


class ConnectAttempt:
    """Ends by one call of ``on_connected`` or ``on_failed``, unless it is cancelled first.

    A server without a route is tried again within the connect timeout, as the system itself does for a lost
    packet; then the connect has timed out.  After a failure of this machine the timeout begins anew, for as
    long as ``is_wanted`` holds: the server must not be blamed for it.

    Args:
        context: surroundings of the pool's parts.
        target: what to connect to.
        is_wanted: whether a stream waits for the connection.
        on_connected: receives the connection.
        on_failed: receives the kind of failure and the time since when the server may be blamed for it.
    """

    def __init__(
        self,
        context: PoolContext,
        target: ConnectTarget,
        is_wanted: Callable[[], bool],
        on_connected: Callable[[UpstreamConnection], None],
        on_failed: Callable[[ConnectFailure, float], None],
    ) -> None:
        self._context = context
        self._target = target
        self._is_wanted = is_wanted
        self._on_connected = on_connected
        self._on_failed = on_failed
        self._started_ms = context.clock()
        self._failures = 0
        self._connecting: Deferred[UpstreamConnection] | None = None
        self._backoff: Deadline | None = None
        self._has_ended = False

    def start(self) -> None:
        """Connect now."""
        self._backoff = None
        self._connecting = connect_by_deadline(
            self._context.reactor,
            self._target.address,
            self._target.build,
            self._context.deadlines,
            self._due_ms(),
        )
        self._connecting.addCallbacks(self._handle_connection, self._handle_failure)

    def cancel(self) -> None:
        """Stop connecting; neither callback is called any more."""
        self._has_ended = True
        self._context.deadlines.cancel(self._backoff)
        if self._connecting is not None:
            self._connecting.cancel()

    def _due_ms(self) -> float:
        return self._started_ms + self._target.timeout_ms

    def _handle_connection(self, connection: UpstreamConnection) -> None:
        self._connecting = None
        if not self._has_ended:
            self._has_ended = True
            self._on_connected(connection)

    def _handle_failure(self, reason: Failure) -> None:
        self._connecting = None
        if self._has_ended:
            return
        failure = connect_failure(reason)
        now_ms = self._context.clock()
        if failure in (ConnectFailure.REFUSED, ConnectFailure.TIMED_OUT):
            self._fail(failure)
            return
        if failure is ConnectFailure.LOCAL:
            self._started_ms = now_ms
        self._schedule_retry(failure, reason, now_ms)

    def _schedule_retry(self, failure: ConnectFailure, reason: Failure, now_ms: float) -> None:
        self._failures += 1
        if should_log(self._failures):
            number = getattr(reason.value, "osError", None)
            server = self._target.server
            log.warning(LogEvent.CONNECT_FAILED, server=server, cause=failure.value, errno=number)
        retry_at_ms = now_ms + exponential_backoff(INITIAL_BACKOFF_MS, self._failures - 1, MAX_BACKOFF_MS)
        deadlines = self._context.deadlines
        if failure is ConnectFailure.LOCAL:
            self._backoff = deadlines.add(retry_at_ms, self._retry_after_local_failure)
        else:
            self._backoff = deadlines.add(min(retry_at_ms, self._due_ms()), self._retry_unreachable)

    def _retry_after_local_failure(self) -> None:
        if not self._is_wanted():
            self._fail(ConnectFailure.LOCAL)
            return
        self._started_ms = self._context.clock()
        self.start()

    def _retry_unreachable(self) -> None:
        if self._context.clock() >= self._due_ms():
            self._fail(ConnectFailure.TIMED_OUT)
            return
        self.start()

    def _fail(self, failure: ConnectFailure) -> None:
        self._has_ended = True
        self._on_failed(failure, self._started_ms)
