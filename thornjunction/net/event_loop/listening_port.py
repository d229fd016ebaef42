"""A listening socket that rests while the system has no room for another connection.

Twisted's port asks again at once, for as long as a client waits: that takes the whole core, and the admission
of requests shuts though nothing was asked.  Out of descriptors, it also accepts who waits and closes them
unread.  Here they stay in the system's queue until there is room."""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Callable
from typing import Any

from twisted.internet import tcp
from twisted.internet.posixbase import PosixReactorBase
from twisted.python.failure import Failure

from thornjunction.log_events import LogEvent
from thornjunction.logs import get_logger
from thornjunction.net.event_loop.backoff import exponential_backoff, should_log

REST_MS, MOST_REST_MS = 5.0, 100.0  # before accepting again; as that grows with failures in a row
NONE_WAITS = {errno.EAGAIN, errno.EWOULDBLOCK}
OF_ONE_CLIENT = {
    errno.ECONNABORTED,
    errno.EPERM,
    errno.EINTR,
}  # who is behind it may be accepted

log = get_logger(__name__)


class AcceptingSocket(socket.socket):
    """Reports a failed accept, and looks empty then."""

    on_failure: Callable[[OSError], None]
    on_success: Callable[[], None]

    def accept(self) -> tuple[socket.socket, Any]:
        try:
            accepted = super().accept()
        except OSError as failed:
            if failed.errno in NONE_WAITS or failed.errno in OF_ONE_CLIENT:
                raise
            self.on_failure(failed)
            raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN)) from failed
        self.on_success()
        return accepted


TwistedPort: Any = tcp.Port  # Twisted's classes have no types of their own


class RestingPort(TwistedPort):  # type: ignore[misc]
    """Twisted's port on such a socket."""

    _failures = 0  # in a row
    _rest: Any = None

    def createInternetSocket(self) -> socket.socket:  # noqa: N802
        """Of one that listens by itself."""
        return self._accepting(super().createInternetSocket())

    def adopt(self, listening: int) -> None:
        """Take over a copy of a socket that listens already."""
        self._preexistingSocket = self._accepting(
            socket.fromfd(listening, self.addressFamily, self.socketType)
        )

    def _accepting(self, plain: socket.socket) -> AcceptingSocket:
        made = AcceptingSocket(plain.family, plain.type, plain.proto, fileno=plain.detach())
        made.setblocking(False)
        made.on_failure, made.on_success = self._failed, self._succeeded
        return made

    def _succeeded(self) -> None:
        self._failures = 0

    def _failed(self, failure: OSError) -> None:
        self._failures += 1
        if should_log(self._failures):
            name = errno.errorcode.get(failure.errno or 0, "unknown")
            log.warning(LogEvent.ACCEPT_FAILED, error=name, failures=self._failures)
        if not self.disconnecting:
            self.stopReading()
            wait_ms = exponential_backoff(REST_MS, self._failures - 1, MOST_REST_MS)
            self._rest = self.reactor.callLater(wait_ms / 1000.0, self._accept_again)

    def _accept_again(self) -> None:
        self._rest = None
        self.startReading()

    def loseConnection(self, *given: Any) -> Any:  # noqa: N802
        self._end_rest()
        return super().loseConnection(*given)

    stopListening = loseConnection  # noqa: N815 - Twisted's second name for it

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        self._end_rest()
        super().connectionLost(reason)

    def _end_rest(self) -> None:
        if self._rest is not None and self._rest.active():
            self._rest.cancel()
        self._rest = None


class RestingReactor:
    """What an endpoint asks its reactor for.  A reactor without sockets, as of a test, listens by itself."""

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any:  # noqa: N802
        if not isinstance(self.reactor, PosixReactorBase):
            return self.reactor.listenTCP(port, factory, backlog=backlog, interface=interface)
        listening = RestingPort(port, factory, backlog, interface, self.reactor)
        listening.startListening()
        return listening


def adopt(reactor: Any, descriptor: int, factory: Any) -> Any:
    """Accept on a socket that listens already and is perhaps shared; OSError where it is none."""
    name = socket.fromfd(descriptor, socket.AF_INET, socket.SOCK_STREAM)
    with name:
        interface = name.getsockname()[0]
    port = RestingPort(None, factory, None, interface, reactor)
    port.adopt(descriptor)
    port.startListening()
    return port
