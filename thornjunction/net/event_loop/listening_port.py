"""A listening port that pauses accepting, with backoff, while the system cannot accept a connection.

Twisted's port retries at once for as long as a client waits.  This uses an entire CPU core, and the admission
gate closes although no requests arrive.  When descriptors run out, Twisted also accepts waiting clients and
closes them unread.  Here they stay in the system's accept queue until they can be accepted.
"""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Callable
from typing import Any

from twisted.internet import protocol, tcp
from twisted.internet.posixbase import PosixReactorBase
from twisted.python.failure import Failure

from thornjunction.log_events import LogEvent
from thornjunction.log_thinning import should_log
from thornjunction.logs import get_logger
from thornjunction.net.event_loop.backoff import exponential_backoff
from thornjunction.net.event_loop.ports import DelayedCall, Reactor

# Milliseconds for which accepting pauses after the first failure; doubled with each consecutive failure.
INITIAL_PAUSE_MS = 5.0
MAX_PAUSE_MS = 100.0

# Errors that ``accept`` returns when no client waits.
EMPTY_QUEUE_ERRORS = frozenset({errno.EAGAIN, errno.EWOULDBLOCK})

# Errors of ``accept`` that concern a single client: the next one may be accepted.
SINGLE_CLIENT_ERRORS = frozenset({errno.ECONNABORTED, errno.EPERM, errno.EINTR})

log = get_logger(__name__)


class AcceptingSocket(socket.socket):
    """A listening socket that reports a failed ``accept`` and then acts as if no client waits."""

    on_failure: Callable[[OSError], None]
    on_success: Callable[[], None]

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept a connection; report a local failure (as of descriptors) and raise ``BlockingIOError``."""
        try:
            accepted = super().accept()
        except OSError as failure:
            if failure.errno in EMPTY_QUEUE_ERRORS or failure.errno in SINGLE_CLIENT_ERRORS:
                raise
            self.on_failure(failure)
            raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN)) from failure
        self.on_success()
        return accepted


# Twisted's classes have no type annotations.
TwistedPort: Any = tcp.Port


class PausingPort(TwistedPort):  # type: ignore[misc]
    """Twisted's port on an ``AcceptingSocket``, which is not read while accepting is paused."""

    _consecutive_failures = 0
    _pause_end: DelayedCall | None = None

    def createInternetSocket(self) -> socket.socket:  # noqa: N802
        """Return the socket to listen on (called by Twisted)."""
        return self._accepting_socket(super().createInternetSocket())

    def adopt(self, descriptor: int) -> None:
        """Use a duplicate of a socket that is already listening."""
        listening = socket.fromfd(descriptor, self.addressFamily, self.socketType)
        self._preexistingSocket = self._accepting_socket(listening)

    def loseConnection(self, *arguments: Any) -> Any:  # noqa: N802
        """Stop listening (called by Twisted)."""
        self._cancel_pause()
        return super().loseConnection(*arguments)

    stopListening = loseConnection  # noqa: N815 - Twisted's second name for it

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Close the socket (called by Twisted)."""
        self._cancel_pause()
        super().connectionLost(reason)

    def _accepting_socket(self, bound_socket: socket.socket) -> AcceptingSocket:
        accepting = AcceptingSocket(
            bound_socket.family, bound_socket.type, bound_socket.proto, fileno=bound_socket.detach()
        )
        accepting.setblocking(False)
        accepting.on_failure = self._on_accept_failed
        accepting.on_success = self._on_accepted
        return accepting

    def _on_accepted(self) -> None:
        self._consecutive_failures = 0

    def _on_accept_failed(self, failure: OSError) -> None:
        self._consecutive_failures += 1
        if should_log(self._consecutive_failures):
            error_name = errno.errorcode.get(failure.errno or 0, "unknown")
            log.warning(LogEvent.ACCEPT_FAILED, error=error_name, failures=self._consecutive_failures)
        if not self.disconnecting:
            self.stopReading()
            pause_ms = exponential_backoff(INITIAL_PAUSE_MS, self._consecutive_failures - 1, MAX_PAUSE_MS)
            self._pause_end = self.reactor.callLater(pause_ms / 1000.0, self._resume)

    def _resume(self) -> None:
        self._pause_end = None
        self.startReading()

    def _cancel_pause(self) -> None:
        if self._pause_end is not None and self._pause_end.active():
            self._pause_end.cancel()
        self._pause_end = None


class PausingPortReactor:
    """Makes an endpoint listen by a ``PausingPort``, unless the reactor has no real sockets."""

    def __init__(self, reactor: Reactor) -> None:
        self.reactor = reactor

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any:  # noqa: N802
        """Listen on a TCP port and return the port object (called by Twisted's endpoint)."""
        if not isinstance(self.reactor, PosixReactorBase):
            return self.reactor.listenTCP(port, factory, backlog=backlog, interface=interface)
        listening = PausingPort(port, factory, backlog, interface, self.reactor)
        listening.startListening()
        return listening


def listen_on_descriptor(reactor: Reactor, descriptor: int, factory: protocol.Factory) -> PausingPort:
    """Accept connections on a listening socket, which may be shared with other processes.

    Raises ``OSError`` if the descriptor is not a listening socket.
    """
    with socket.fromfd(descriptor, socket.AF_INET, socket.SOCK_STREAM) as duplicate:
        interface = duplicate.getsockname()[0]
    port = PausingPort(None, factory, None, interface, reactor)
    port.adopt(descriptor)
    port.startListening()
    return port
