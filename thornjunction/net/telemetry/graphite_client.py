"""The connection to Graphite; metrics that can't be sent at once are dropped."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from twisted.internet import protocol
from twisted.internet.interfaces import IPushProducer
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]

from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.event_loop.disconnect_reasons import (
    ConnectionKind,
    DisconnectReason,
    disconnect_reason,
    log_disconnect,
)
from thornjunction.net.event_loop.ports import Reactor, Transport
from thornjunction.net.event_loop.transport import connect_by_deadline

CONNECT_TIMEOUT_MS = 1000.0


class ConnectionState(Enum):
    """State of the connection to Graphite."""

    DISCONNECTED = "disconnected"
    """There is no connection; the exporter tries to connect at the next interval."""
    CONNECTING = "connecting"
    """A connect is in progress."""
    CONNECTED = "connected"
    """Metrics can be sent."""


@implementer(IPushProducer)
class GraphiteConnection(protocol.Protocol):
    """One connection; while bytes of earlier metrics wait to be sent, further metrics are dropped."""

    transport: Transport  # type: ignore[assignment]

    def __init__(self, on_lost: Callable[[], None]) -> None:
        self._on_lost = on_lost
        self._is_paused = False

    def connectionMade(self) -> None:  # noqa: N802
        """Register to be notified when bytes wait to be sent (called by Twisted)."""
        self.transport.registerProducer(self, True)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802
        """Log the end of the connection and report it (called by Twisted)."""
        log_disconnect(ConnectionKind.GRAPHITE, None, disconnect_reason(reason))
        self._on_lost()

    def send(self, data: bytes) -> None:
        """Send encoded metrics, or drop them while earlier bytes wait to be sent."""
        if not self._is_paused:
            self.transport.write(data)

    def pauseProducing(self) -> None:  # noqa: N802
        """Drop metrics from now on (called by Twisted)."""
        self._is_paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Send metrics again (called by Twisted)."""
        self._is_paused = False

    def stopProducing(self) -> None:  # noqa: N802
        """Send nothing more (called by Twisted)."""
        self._is_paused = True


class GraphiteClient:
    """Keeps one connection to Graphite; while there is none, each call of ``connect`` tries once."""

    def __init__(
        self, reactor: Reactor, deadlines: Deadlines, clock: Callable[[], float], address: tuple[str, int]
    ) -> None:
        self.state = ConnectionState.DISCONNECTED
        self._reactor = reactor
        self._deadlines = deadlines
        self._clock = clock
        self._address = address
        self._connection: GraphiteConnection | None = None

    def connect(self) -> None:
        """Connect, unless there is a connection or a connect is in progress."""
        if self.state is not ConnectionState.DISCONNECTED:
            return
        self.state = ConnectionState.CONNECTING
        until_ms = self._clock() + CONNECT_TIMEOUT_MS
        connecting = connect_by_deadline(
            self._reactor, self._address, self._build_connection, self._deadlines, until_ms
        )
        connecting.addCallbacks(self._on_connected, self._on_connect_failed)

    def send(self, data: bytes) -> None:
        """Send encoded metrics, or drop them if there is no connection."""
        if self._connection is not None:
            self._connection.send(data)

    def _build_connection(self) -> GraphiteConnection:
        return GraphiteConnection(self._on_lost)

    def _on_connected(self, connection: GraphiteConnection) -> None:
        self.state = ConnectionState.CONNECTED
        self._connection = connection

    def _on_connect_failed(self, _: Failure) -> None:
        self.state = ConnectionState.DISCONNECTED
        log_disconnect(ConnectionKind.GRAPHITE, None, DisconnectReason.CONNECT_FAILED)

    def _on_lost(self) -> None:
        self.state = ConnectionState.DISCONNECTED
        self._connection = None
