"""A client of a router's admin endpoint, which uses a new connection for each call."""

from __future__ import annotations

from typing import Any

from sansio_core import Address
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol

# Seconds that a connect on loopback may take; enough for a busy machine.
CONNECT_TIMEOUT_S = 5


class _AdminCall(Protocol):
    """Sends one line and collects the reply until the router closes the connection."""

    def __init__(self, line: str) -> None:
        self.reply: Deferred[str] = Deferred()
        self._line = line
        self._received = b""

    def connectionMade(self) -> None:  # noqa: N802
        transport: Any = self.transport
        transport.write(self._line.encode() + b"\n")

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._received += data

    def connectionLost(self, reason: Any = None) -> None:  # noqa: ARG002, N802
        self.reply.callback(self._received.decode("utf-8", "replace"))


async def call_admin(reactor: Any, address: Address, line: str) -> str:
    """Send a line and return the complete reply; raises ConnectError if the router does not listen."""
    host, port = address
    endpoint: Any = TCP4ClientEndpoint(reactor, host, port, timeout=CONNECT_TIMEOUT_S)
    call = await endpoint.connect(Factory.forProtocol(lambda: _AdminCall(line)))
    return str(await call.reply)
