"""An outgoing TCP connection that calls ``connect`` once.

Twisted's client calls ``connect`` a second time to learn whether the first call succeeded, and fails on EINTR
although the system continues to connect.  This client checks for the peer's address instead.
"""

from __future__ import annotations

import errno
import os
import socket
from typing import Any

from twisted.internet import error, tcp
from twisted.internet.posixbase import PosixReactorBase

from thornjunction.net.event_loop.ports import Reactor

# Errors of ``connect`` after which the system continues to connect.
IN_PROGRESS_ERRORS = frozenset({errno.EINPROGRESS, errno.EINTR})

# Seconds until Twisted gives up a connect if the caller sets no other timeout.
DEFAULT_TIMEOUT_S = 30.0

# Twisted's classes and functions have no type annotations.
TwistedClient: Any = tcp.Client
TwistedConnector: Any = tcp.Connector
connect_error: Any = error.getConnectError


class SingleConnectClient(TwistedClient):  # type: ignore[misc]
    """Twisted's client, which calls ``connect`` once and waits for its result."""

    _has_started = False

    def doConnect(self) -> None:  # noqa: N802
        """Start to connect, or check for the result (called by Twisted on each event until there is one)."""
        self.doRead = self.doConnect
        self.doWrite = self.doConnect
        if not hasattr(self, "connector"):  # cancelled before it started
            return
        if self._has_started:
            self._check_result()
        else:
            self._has_started = True
            self._start()

    def _start(self) -> None:
        error_number = self.socket.connect_ex(self.realAddress)
        if error_number in IN_PROGRESS_ERRORS:
            self.startReading()
            self.startWriting()
        else:
            self._finish(error_number)

    def _check_result(self) -> None:
        error_number = self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if not error_number:
            try:
                self.socket.getpeername()
            except OSError as failure:
                if failure.errno == errno.ENOTCONN:  # an event arrived before there is a result
                    return
                error_number = failure.errno or errno.EIO
        self._finish(error_number)

    def _finish(self, error_number: int) -> None:
        if error_number:
            self.failIfNotConnected(connect_error((error_number, os.strerror(error_number))))
            return
        del self.doWrite
        del self.doRead
        self.stopReading()
        self.stopWriting()
        self._connectDone()


class SingleConnectConnector(TwistedConnector):  # type: ignore[misc]
    """Twisted's connector, which uses ``SingleConnectClient``."""

    def _makeTransport(self) -> SingleConnectClient:  # noqa: N802
        return SingleConnectClient(self.host, self.port, self.bindAddress, self, self.reactor)


class SingleConnectReactor:
    """Makes an endpoint connect by a ``SingleConnectClient``, unless the reactor has no real sockets."""

    def __init__(self, reactor: Reactor) -> None:
        self.reactor = reactor

    def connectTCP(self, host: str, port: int, factory: Any, **options: Any) -> Any:  # noqa: N802
        """Connect to an address and return the connector (called by Twisted's endpoint)."""
        if not isinstance(self.reactor, PosixReactorBase):
            return self.reactor.connectTCP(host, port, factory, **options)
        timeout_s = options.get("timeout", DEFAULT_TIMEOUT_S)
        connector = SingleConnectConnector(host, port, factory, timeout_s, None, self.reactor)
        connector.connect()
        return connector
