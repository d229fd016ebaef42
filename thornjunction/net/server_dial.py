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
from thornjunction.net.backoff import grown, worth_logging
from thornjunction.net.dial_errors import DialFailure, dial_failure
from thornjunction.net.transport import dial

AGAIN_MS, MOST_AGAIN_MS = 5.0, 100.0  # before the next try; as that grows

log = get_logger(__name__)


@dataclass(frozen=True, slots=True)
class DialTarget:
    """Where to, and how long one try may take."""

    name: str
    address: tuple[str, int]
    build: Callable[[], protocol.Protocol]
    dial_ms: float


class ServerDial:
    """Ends by ``up`` or ``down``, once, unless it is cancelled first.

    A way that is not found is looked for again within the time of one dial, as the system itself does for a
    lost packet; then the dial has timed out.  After a failure of this machine's own the time begins anew, for
    as long as ``wanted`` says that somebody waits: the server must not be blamed for it."""

    def __init__(
        self,
        reactor: Any,
        deadlines: Deadlines,
        clock: Callable[[], float],
        target: DialTarget,
        wanted: Callable[[], bool],
    ) -> None:
        self.reactor, self.deadlines, self.clock = reactor, deadlines, clock
        self.target, self.wanted = target, wanted
        self.up: Callable[[Any], None] = lambda _: None
        self.down: Callable[[DialFailure], None] = lambda _: None
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
        self._connecting = dial(self.reactor, address, build, self.deadlines, until)
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
        failure, now = dial_failure(reason), self.clock()
        if failure in (DialFailure.REFUSED, DialFailure.TIMED_OUT):
            return self._end(failure)
        if failure is DialFailure.LOCAL:
            self.since = now
        self._try_again(failure, reason, now)

    def _try_again(self, failure: DialFailure, reason: Failure, now: float) -> None:
        self._failures += 1
        if worth_logging(self._failures):
            number = getattr(reason.value, "osError", None)
            log.warning("dial_failed", server=self.target.name, why=failure.value, errno=number)
        when = now + grown(AGAIN_MS, self._failures - 1, MOST_AGAIN_MS)
        if failure is DialFailure.LOCAL:
            again = self._after_local_failure
        else:
            when, again = min(when, self.since + self.target.dial_ms), self._after_no_way
        self._pause = self.deadlines.add(when, again)

    def _after_local_failure(self) -> None:
        if not self.wanted():
            return self._end(DialFailure.LOCAL)
        self.since = self.clock()
        self.start()

    def _after_no_way(self) -> None:
        if self.clock() >= self.since + self.target.dial_ms:
            return self._end(DialFailure.TIMED_OUT)
        self.start()

    def _end(self, failure: DialFailure) -> None:
        self._ended = True
        self.down(failure)
