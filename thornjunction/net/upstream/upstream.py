"""One server of the endpoint list, with its connections and the streams that wait for a connection."""

from __future__ import annotations

import math

from thornjunction.net.upstream.connect_attempt import ConnectAttempt
from thornjunction.net.upstream.connection import UpstreamConnection
from thornjunction.net.upstream.connection_state import ConnectionState
from thornjunction.net.upstream.streams import Stream
from thornjunction.net.wire.commands import Host


class Upstream:
    """One server of the endpoint list.

    Attributes:
        host: the server as the list describes it.
        connections: those that have not ended, in the order in which they were established.
        waiting: streams that wait for a connection, by id.
        connect_attempt: the connect in progress; None if there is none.
        unreported_failure_ms: when a connect last failed without a stream waiting for it.
    """

    def __init__(self, host: Host) -> None:
        self.host = host
        self.connections: list[UpstreamConnection] = []
        self.waiting: dict[str, Stream] = {}
        self.connect_attempt: ConnectAttempt | None = None
        self.unreported_failure_ms = -math.inf

    def least_loaded(self, stream_id: str) -> UpstreamConnection | None:
        """Return the connection with the fewest streams that takes a stream with this id, if any.

        Streams are spread because a malformed response ends all streams of its connection.
        """
        best: UpstreamConnection | None = None
        for connection in self.connections:
            if best is not None and len(connection.streams) >= len(best.streams):
                continue
            if connection.can_take(stream_id):
                best = connection
        return best

    def responsive_connections(self) -> list[UpstreamConnection]:
        """Return the connections that take new streams whenever they have capacity."""
        return [connection for connection in self.connections if connection.state is ConnectionState.OPEN]

    def take_waiting(self) -> list[Stream]:
        """Remove and return the streams that wait for a connection."""
        waiting = self.waiting
        self.waiting = {}
        return list(waiting.values())

    def withdraw(self, stream: Stream) -> bool:
        """Remove a stream that waits for a connection; return False if it is not waiting."""
        if self.waiting.get(stream.stream_id) is not stream:
            return False
        del self.waiting[stream.stream_id]
        return True

    def cancel(self, stream: Stream) -> None:
        """Cancel a stream if it is in flight on one of the connections."""
        for connection in self.connections:
            if connection.streams.get(stream.stream_id) is stream:
                connection.cancel_stream(stream)
                return

    def retire_connections(self) -> None:
        """Stop new streams on all connections; each closes once its streams in flight have ended."""
        for connection in list(self.connections):
            connection.stop_new_streams()
