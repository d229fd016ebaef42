"""Opens connections to servers within the bounds of the connection table."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Protocol

from thornjunction.net.event_loop.disconnect_reasons import ConnectionKind, DisconnectReason, log_disconnect
from thornjunction.net.upstream.connect_attempt import ConnectAttempt, ConnectTarget
from thornjunction.net.upstream.connect_errors import ConnectFailure
from thornjunction.net.upstream.connection import UpstreamConnection
from thornjunction.net.upstream.connection_table import ConnectionTable
from thornjunction.net.upstream.context import PoolContext
from thornjunction.net.upstream.streams import Stream
from thornjunction.net.upstream.upstream import Upstream

# Maximum number of connections to one server, including unresponsive ones.
MAX_CONNECTIONS_PER_SERVER = 10


class ConnectListener(Protocol):
    """Receives the result of each connect."""

    def connected(self, upstream: Upstream, connection: UpstreamConnection) -> None:
        """Handle a new connection to a server."""

    def connect_failed(self, upstream: Upstream, failure: ConnectFailure, started_ms: float) -> None:
        """Handle a failed connect; the server has had time to respond since ``started_ms``."""


class Connector:
    """Opens connections, one at a time to each server.

    Args:
        context: shared objects of the pool's parts.
        table: the table that bounds the connections.
        build: creates the connection to the server of a given name.
        listener: receives the result of each connect.
    """

    def __init__(
        self,
        context: PoolContext,
        table: ConnectionTable[UpstreamConnection],
        build: Callable[[str], UpstreamConnection],
        listener: ConnectListener,
    ) -> None:
        self._context = context
        self._table = table
        self._build = build
        self._listener = listener

    def may_connect(self, upstream: Upstream, max_connections: int) -> bool:
        """Whether another connection may be opened, with fewer than ``max_connections`` responsive ones."""
        return (
            len(upstream.responsive_connections()) < max_connections
            and len(upstream.connections) < MAX_CONNECTIONS_PER_SERVER
            and self._table.can_reserve()
        )

    def connect(self, upstream: Upstream) -> None:
        """Open a connection unless a connect is in progress; ``may_connect`` must be true."""
        if upstream.connect_attempt is not None:
            return
        assert upstream.host.address is not None
        self._table.reserve()
        server = upstream.host.name
        target = ConnectTarget(
            server,
            upstream.host.address,
            lambda: self._build(server),
            self._context.limits.connect_timeout_ms,
        )
        upstream.connect_attempt = ConnectAttempt(
            self._context,
            target,
            lambda: bool(upstream.waiting),
            lambda connection: self._handle_connection(upstream, connection),
            lambda failure, started_ms: self._handle_failure(upstream, failure, started_ms),
        )
        upstream.connect_attempt.start()

    def cancel(self, upstream: Upstream) -> list[Stream]:
        """Cancel the connect in progress, if any, and return the streams that waited for a connection."""
        connect_attempt = upstream.connect_attempt
        upstream.connect_attempt = None
        if connect_attempt is not None:
            connect_attempt.cancel()
            self._table.release()
        return upstream.take_waiting()

    def _handle_connection(self, upstream: Upstream, connection: UpstreamConnection) -> None:
        upstream.connect_attempt = None
        self._table.add(connection)
        upstream.connections.append(connection)
        upstream.unreported_failure_ms = -math.inf
        self._listener.connected(upstream, connection)

    def _handle_failure(self, upstream: Upstream, failure: ConnectFailure, started_ms: float) -> None:
        upstream.connect_attempt = None
        self._table.release()
        server = upstream.host.name
        log_disconnect(ConnectionKind.SERVER, None, DisconnectReason.CONNECT_FAILED, server=server)
        self._listener.connect_failed(upstream, failure, started_ms)
