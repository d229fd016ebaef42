"""A connect to a server, retried with backoff after failures that are not due to the server."""

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

# The wait before the first retry; each further wait is twice as long.
INITIAL_BACKOFF_MS = 5.0

# The longest wait before a retry.
MAX_BACKOFF_MS = 100.0

log = get_logger(__name__)


@dataclass(frozen=True, slots=True)
class ConnectTarget:
    """The server to connect to.

    Attributes:
        server: name of the server.
        address: its host and port.
        build: creates the protocol of the connection.
        timeout_ms: time limit of one connect.
    """

    server: str
    address: tuple[str, int]
    build: Callable[[], UpstreamConnection]
    timeout_ms: float


class ConnectAttempt:
    """Connects, and ends by one call of ``on_connected`` or ``on_failed`` unless it is cancelled first.

    If there is no route to the server, the connect is retried until the connect timeout, as the system does
    for a lost packet; then it has timed out.  After a local failure the timeout starts again, as long as
    ``is_needed`` returns true, because such a failure must not count against the server.

    Args:
        context: shared objects of the pool's parts.
        target: the server to connect to.
        is_needed: returns whether a stream waits for the connection.
        on_connected: receives the connection.
        on_failed: receives the kind of failure, and when the connect timeout last started.
    """

    def __init__(
        self,
        context: PoolContext,
        target: ConnectTarget,
        is_needed: Callable[[], bool],
        on_connected: Callable[[UpstreamConnection], None],
        on_failed: Callable[[ConnectFailure, float], None],
    ) -> None:
        self._context = context
        self._target = target
        self._is_needed = is_needed
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
        """Stop connecting; no callback is called after this."""
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
        if not self._is_needed():
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
