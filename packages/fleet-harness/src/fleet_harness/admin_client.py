"""One call at a router's operators' door."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol

DIAL_S = 5


class _Caller(Protocol):
    """Sends one line, and keeps the reply until the door closes."""

    def __init__(self, line: str) -> None:
        self.line, self.reply, self.whole = line, b"", Deferred[str]()

    def connectionMade(self) -> None:  # noqa: N802
        transport: Any = self.transport
        transport.write(self.line.encode() + b"\n")

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.reply += data

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.whole.callback(self.reply.decode("utf-8", "replace"))


async def ask(reactor: Any, door: tuple[str, int], line: str) -> str:
    """The whole reply; ConnectError where nobody listens."""
    endpoint: Any = TCP4ClientEndpoint(reactor, door[0], door[1], timeout=DIAL_S)
    caller = await endpoint.connect(Factory.forProtocol(lambda: _Caller(line)))
    return str(await caller.whole)
