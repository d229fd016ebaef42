"""A loopback port at which connects hang until it is opened, and where they hang again once it is shut."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from twisted.internet import protocol, reactor

from thornjunction.net.event_loop.transport import BuildFactory


class UnresponsiveListener:
    """Its queue holds one connection that nobody takes: the system passes over who knocks, who knocks again
    after a second.  Opened, it takes all that come, and the one in the queue."""

    def __init__(self, build: Callable[[], protocol.Protocol]) -> None:
        self.build, self.port = build, None
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.listener.setblocking(False)
        self.address: tuple[str, int] = self.listener.getsockname()
        self.filler = socket.create_connection(self.address)

    def open(self) -> None:
        adopt: Any = reactor
        self.filler.close()
        self.port = adopt.adoptStreamPort(self.listener.fileno(), socket.AF_INET, BuildFactory(self.build))

    def shut(self) -> None:
        """Take no more; the connections that were taken stay."""
        if self.port is not None:
            self.port.stopReading()
        self.filler = socket.create_connection(self.address)

    def stopListening(self) -> Any:  # noqa: N802
        self.filler.close()
        self.listener.close()
        return self.port.stopListening() if self.port is not None else None
