"""An outgoing TCP connection that asks the system to connect once.

Twisted's client calls ``connect`` a second time to learn whether the first has succeeded, and gives up on
EINTR, though the system goes on with the connection.  This one asks for the peer's address instead."""

from __future__ import annotations

import errno
import os
import socket
from typing import Any

from twisted.internet import error, tcp
from twisted.internet.posixbase import PosixReactorBase

UNDER_WAY = {errno.EINPROGRESS, errno.EINTR}


TwistedClient: Any = tcp.Client  # Twisted's classes have no types of their own
TwistedConnector: Any = tcp.Connector
connect_error: Any = error.getConnectError


class SingleConnectClient(TwistedClient):  # type: ignore[misc]
    """Connects by one call, and waits for its result."""

    _begun = False

    def doConnect(self) -> None:  # noqa: N802
        """Begin, or look at what became of it; also Twisted's ``doRead`` and ``doWrite`` until it is up."""
        self.doWrite = self.doRead = self.doConnect
        if not hasattr(self, "connector"):  # it was cancelled before it began
            return
        if self._begun:
            self._look()
        else:
            self._begun = True
            self._begin()

    def _begin(self) -> None:
        number = self.socket.connect_ex(self.realAddress)
        if number in UNDER_WAY:
            self.startReading()
            self.startWriting()
        else:
            self._end(number)

    def _look(self) -> None:
        number = self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if not number:
            try:
                self.socket.getpeername()
            except OSError as lacking:
                if lacking.errno == errno.ENOTCONN:  # it was woken early
                    return
                number = lacking.errno or errno.EIO
        self._end(number)

    def _end(self, number: int) -> None:
        if number:
            self.failIfNotConnected(connect_error((number, os.strerror(number))))
            return
        del self.doWrite, self.doRead
        self.stopReading()
        self.stopWriting()
        self._connectDone()


class Connector(TwistedConnector):  # type: ignore[misc]
    """Twisted's connector with this client."""

    def _makeTransport(self) -> SingleConnectClient:  # noqa: N802
        return SingleConnectClient(self.host, self.port, self.bindAddress, self, self.reactor)


class SingleConnectReactor:
    """What an endpoint asks its reactor for.  A reactor without sockets, as of a test, connects by itself."""

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor

    def connectTCP(self, host: str, port: int, factory: Any, **more: Any) -> Any:  # noqa: N802
        if not isinstance(self.reactor, PosixReactorBase):
            return self.reactor.connectTCP(host, port, factory, **more)
        connector = Connector(host, port, factory, more.get("timeout", 30.0), None, self.reactor)
        connector.connect()
        return connector
