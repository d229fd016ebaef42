"""A loopback port at which connects hang until it accepts connections, and hang again once it stops."""

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
    """A listening socket whose queue is filled by one connection that is not accepted.

    The system ignores further connects, which their clients repeat after a second.  Once the port accepts
    connections, it accepts all that come, and the one in the queue.
    """

    def __init__(self, build: Callable[[], protocol.Protocol]) -> None:
        self._build = build
        self._port: Any = None
        self._listening = socket.create_server((LOOPBACK_HOST, 0), backlog=0)
        self._listening.setblocking(False)
        self.address: tuple[str, int] = self._listening.getsockname()
        self._queue_filler = socket.create_connection(self.address)

    def start_accepting(self) -> None:
        """Accept all connections."""
        self._queue_filler.close()
        factory = BuildFactory(self._build)
        self._port = reactor.adoptStreamPort(self._listening.fileno(), socket.AF_INET, factory)

    def stop_accepting(self) -> None:
        """Accept no further connections; those that were accepted stay."""
        if self._port is not None:
            self._port.stopReading()
        self._queue_filler = socket.create_connection(self.address)

    def stopListening(self) -> Any:  # noqa: N802
        """Close the port; a Deferred, as Twisted's ports return it, where it has accepted connections."""
        self._queue_filler.close()
        self._listening.close()
        port: ListeningPort | None = self._port
        return port.stopListening() if port is not None else None
