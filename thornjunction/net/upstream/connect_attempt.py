"""One effort to connect to a server: tried again where a failure says nothing of the server."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet import protocol
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from thornjunction.logs import get_logger
from thornjunction.memory.deadlines import Deadline, Deadlines
from thornjunction.net.event_loop.backoff import exponential_backoff, should_log
from thornjunction.net.event_loop.transport import connect_by_deadline
from thornjunction.net.upstream.connect_errors import ConnectFailure, connect_failure

AGAIN_MS, MOST_AGAIN_MS = 5.0, 100.0  # before the next try; as that grows

log = get_logger(__name__)


@dataclass(frozen=True, slots=True)
class ConnectTarget:
    """Where to, and how long one try may take."""

    name: str
    address: tuple[str, int]
    build: Callable[[], protocol.Protocol]
    dial_ms: float


class ConnectAttempt:
    """Ends by ``up`` or ``down``, once, unless it is cancelled first.

    A way that is not found is looked for again within the time of one dial, as the system itself does for a
    lost packet; then the dial has timed out.  After a failure of this machine's own the time begins anew, for
    as long as ``wanted`` says that somebody waits: the server must not be blamed for it."""

    def __init__(
        self,
        reactor: Any,
        deadlines: Deadlines,
        clock: Callable[[], float],
        target: ConnectTarget,
        wanted: Callable[[], bool],
    ) -> None:
        self.reactor, self.deadlines, self.clock = reactor, deadlines, clock
        self.target, self.wanted = target, wanted
        self.up: Callable[[Any], None] = lambda _: None
        self.down: Callable[[ConnectFailure], None] = lambda _: None
        self.since = clock()  # since when it may be blamed on the server
        self._failures = 0
        self._connecting: Deferred[Any] | None = None
        self._pause: Deadline | None = None
        self._ended = False

    def start(self) -> None:
        """Try, now."""
        until = self.since + self.target.dial_ms
        address, build = self.target.address, self.target.build
        self._pause = None
        self._connecting = connect_by_deadline(self.reactor, address, build, self.deadlines, until)
        self._connecting.addCallbacks(self._connected, self._failed)

    def cancel(self) -> None:
        """Give it up; neither ``up`` nor ``down`` is called any more."""
        self._ended = True
        self.deadlines.cancel(self._pause)
        if self._connecting is not None:
            self._connecting.cancel()

    def _connected(self, link: Any) -> None:
        self._connecting = None
        if not self._ended:
            self._ended = True
            self.up(link)

    def _failed(self, reason: Failure) -> None:
        self._connecting = None
        if self._ended:
            return
        failure, now = connect_failure(reason), self.clock()
        if failure in (ConnectFailure.REFUSED, ConnectFailure.TIMED_OUT):
            return self._end(failure)
        if failure is ConnectFailure.LOCAL:
            self.since = now
        self._try_again(failure, reason, now)

    def _try_again(self, failure: ConnectFailure, reason: Failure, now: float) -> None:
        self._failures += 1
        if should_log(self._failures):
            number = getattr(reason.value, "osError", None)
            log.warning("dial_failed", server=self.target.name, why=failure.value, errno=number)
        when = now + exponential_backoff(AGAIN_MS, self._failures - 1, MOST_AGAIN_MS)
        if failure is ConnectFailure.LOCAL:
            again = self._after_local_failure
        else:
            when, again = min(when, self.since + self.target.dial_ms), self._after_no_way
        self._pause = self.deadlines.add(when, again)

    def _after_local_failure(self) -> None:
        if not self.wanted():
            return self._end(ConnectFailure.LOCAL)
        self.since = self.clock()
        self.start()

    def _after_no_way(self) -> None:
        if self.clock() >= self.since + self.target.dial_ms:
            return self._end(ConnectFailure.TIMED_OUT)
        self.start()

    def _end(self, failure: ConnectFailure) -> None:
        self._ended = True
        self.down(failure)
