"""A loopback port at which connects get no response while it does not accept connections."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from twisted.internet import protocol

from fakes.config import LOOPBACK_HOST
from fakes.event_loop import reactor
from thornjunction.net.event_loop.ports import ListeningPort
from thornjunction.net.event_loop.transport import BuildFactory


class UnresponsiveListener:
    """A listening socket whose accept queue is full with one connection.

    The system ignores further connects, which their clients repeat after a second.  ``start_accepting``
    accepts all later connections, and the one in the queue.
    """

    def __init__(self, build: Callable[[], protocol.Protocol]) -> None:
        self._build = build
        self._port: Any = None
        self._listening = socket.create_server((LOOPBACK_HOST, 0), backlog=0)
        self._listening.setblocking(False)
        self.address: tuple[str, int] = self._listening.getsockname()
        self._queue_filler = socket.create_connection(self.address)

    def start_accepting(self) -> None:
        """Accept the connection in the queue and all later ones."""
        self._queue_filler.close()
        factory = BuildFactory(self._build)
        self._port = reactor.adoptStreamPort(self._listening.fileno(), socket.AF_INET, factory)

    def stop_accepting(self) -> None:
        """Accept no further connections, and fill the queue again; accepted connections stay open."""
        if self._port is not None:
            self._port.stopReading()
        self._queue_filler = socket.create_connection(self.address)

    def stopListening(self) -> Any:  # noqa: N802
        """Close the port; returns Twisted's Deferred if it has accepted connections, else None."""
        self._queue_filler.close()
        self._listening.close()
        port: ListeningPort | None = self._port
        return port.stopListening() if port is not None else None
