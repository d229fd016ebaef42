"""One server of the endpoint list, with its connections and the streams that wait for one."""

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
        connections: those that have not ended, in the order in which they came up.
        waiting: streams that wait for a connection, by id.
        connect_attempt: the connect under way.
        unreported_failure_ms: when a connect last failed while no stream waited for it.
    """

    def __init__(self, host: Host) -> None:
        self.host = host
        self.connections: list[UpstreamConnection] = []
        self.waiting: dict[str, Stream] = {}
        self.connect_attempt: ConnectAttempt | None = None
        self.unreported_failure_ms = -math.inf

    def least_loaded(self, stream_id: str) -> UpstreamConnection | None:
        """Return the connection with the fewest streams that takes one of this id.

        A malformed response ends all streams of its connection, so they are spread.
        """
        best: UpstreamConnection | None = None
        for connection in self.connections:
            if best is not None and len(connection.streams) >= len(best.streams):
                continue
            if connection.can_take(stream_id):
                best = connection
        return best

    def responsive_connections(self) -> list[UpstreamConnection]:
        """Return the connections that take new streams once they have capacity."""
        return [connection for connection in self.connections if connection.state is ConnectionState.OPEN]

    def take_waiting(self) -> list[Stream]:
        """Remove and return the streams that wait for a connection."""
        waiting = self.waiting
        self.waiting = {}
        return list(waiting.values())

    def withdraw(self, stream: Stream) -> bool:
        """Remove a stream that waits for a connection; False if it does not wait."""
        if self.waiting.get(stream.stream_id) is not stream:
            return False
        del self.waiting[stream.stream_id]
        return True

    def cancel(self, stream: Stream) -> None:
        """Cancel a stream that is in flight on one of the connections."""
        for connection in self.connections:
            if connection.streams.get(stream.stream_id) is stream:
                connection.cancel_stream(stream)
                return

    def retire_connections(self) -> None:
        """Give the connections no new streams; each closes after its streams in flight."""
        for connection in list(self.connections):
            connection.stop_new_streams()
