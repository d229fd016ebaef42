"""Assigns streams to connections of their servers, and queues them while no connection has capacity."""

from __future__ import annotations

import math
from collections.abc import Mapping

from thornjunction import interface as api
from thornjunction.net.upstream.connect_errors import ConnectFailure
from thornjunction.net.upstream.connection import UpstreamConnection
from thornjunction.net.upstream.connection_table import ConnectionTable
from thornjunction.net.upstream.connector import Connector
from thornjunction.net.upstream.context import PoolContext
from thornjunction.net.upstream.outcomes import OutcomeReporter
from thornjunction.net.upstream.streams import Stream
from thornjunction.net.upstream.upstream import Upstream
from thornjunction.net.wire.upstream import encode_health_check, encode_request

# Maximum number of connections to one server if another is opened while the loaded ones have capacity.
MAX_CONNECTIONS_IF_LOADED = 4

# Maximum number of connections to one server if another is opened because none has capacity.  Each takes 32
# streams, and at the peak a router has over 128 streams to a large server.
MAX_CONNECTIONS_IF_EXHAUSTED = 8

# Number of streams on the least loaded connection above which another connection is opened.
MAX_LIGHT_LOAD_STREAMS = 2

# An attempt is not started if less than this is left of its timeout.
MIN_REMAINING_MS = 5.0

# Maximum number of streams that wait for a connection to one server.
MAX_WAITING_STREAMS = 256


class Dispatcher:
    """Writes each stream to the least loaded connection, or opens one for it.

    It is the owner of all connections, and the listener of the connector.

    Args:
        context: shared objects of the pool's parts.
        upstreams: the servers of the endpoint list, by name; the caller updates this mapping.
        connections: the table of all connections.
        outcomes: reports the outcomes of streams.

    Attributes:
        attempts_written: number of attempts written to servers since the start.
    """

    def __init__(
        self,
        context: PoolContext,
        upstreams: Mapping[str, Upstream],
        connections: ConnectionTable[UpstreamConnection],
        outcomes: OutcomeReporter,
    ) -> None:
        self._context = context
        self._upstreams = upstreams
        self._connections = connections
        self._outcomes = outcomes
        self._connector = Connector(context, connections, self._build_connection, self)
        self.attempts_written = 0

    def dispatch(self, stream: Stream) -> None:
        """Send a stream to its server now, or queue it until a connection has capacity."""
        upstream = self._upstreams.get(stream.server)
        if upstream is None or upstream.host.address is None:
            self._outcomes.report(stream, api.AttemptStatus.CONNECTION_REFUSED)
            return
        if upstream.host.state is api.ServerState.DRAINING or stream.start_by_ms < stream.accepted_ms:
            self._outcomes.report(stream, api.AttemptStatus.NOT_STARTED)
            return
        stream.target = upstream
        if stream.attempt is not None:
            self._outcomes.add_attempt(stream.attempt.number, stream)
        connection = upstream.least_loaded(stream.stream_id)
        if connection is None:
            self._wait_for_connection(upstream, stream)
            return
        self._write(connection, stream)
        is_loaded = len(connection.streams) > MAX_LIGHT_LOAD_STREAMS and not self._connections.is_full
        if is_loaded and self._connector.may_connect(upstream, MAX_CONNECTIONS_IF_LOADED):
            self._connector.connect(upstream)

    def cancel_waiting(self, upstream: Upstream) -> list[Stream]:
        """Cancel a server's connect in progress, and return the streams that waited for a connection."""
        return self._connector.cancel(upstream)

    def capacity_available(self, connection: UpstreamConnection) -> None:
        """Write waiting streams to this connection while it has capacity; end those that are overdue."""
        upstream = self._upstreams.get(connection.server)
        if upstream is None or not upstream.waiting or connection not in upstream.connections:
            return
        now_ms = self._context.clock()
        for stream_id, stream in list(upstream.waiting.items()):
            if not connection.has_capacity():
                return
            if upstream.waiting.get(stream_id) is not stream:
                continue  # it ended because of another stream's outcome
            if now_ms > stream.start_by_ms:  # the event loop lags behind its deadlines
                self._drop_overdue(upstream, stream)
            elif connection.can_take(stream_id):
                del upstream.waiting[stream_id]
                self._context.deadlines.cancel(stream.start_deadline)
                self._write(connection, stream)

    def connection_lost(self, connection: UpstreamConnection) -> None:
        """Report the streams in flight on a connection that ended, as the server may have executed them."""
        self._connections.remove(connection)
        upstream = self._upstreams.get(connection.server)
        if upstream is not None and connection in upstream.connections:
            upstream.connections.remove(connection)
        streams = connection.streams
        connection.streams = {}
        for stream in streams.values():
            self._outcomes.report(stream, api.AttemptStatus.CONNECTION_RESET)

    def connected(self, upstream: Upstream, connection: UpstreamConnection) -> None:
        """Write waiting streams to a new connection; connect again for the rest if allowed, else end them."""
        self.capacity_available(connection)
        connection.end_or_become_idle()
        if upstream.waiting and self._connector.may_connect(upstream, MAX_CONNECTIONS_IF_EXHAUSTED):
            self._connector.connect(upstream)
            return
        self._end_waiting(upstream, api.AttemptStatus.NOT_STARTED)

    def connect_failed(self, upstream: Upstream, failure: ConnectFailure, started_ms: float) -> None:
        """End the streams that waited for a connect that failed.

        If the server responded on another connection in the meantime, a timed-out connect does not show that
        it is down, and CONNECTION_REFUSED, which takes it out of rotation for a while, is not reported.
        """
        if failure is ConnectFailure.LOCAL:  # the connect ends so only if no stream waits for it
            return
        has_responded = any(
            connection.last_response_ms >= started_ms for connection in upstream.responsive_connections()
        )
        if has_responded and failure is not ConnectFailure.REFUSED:
            for connection in upstream.connections:
                self.capacity_available(connection)
            self._end_waiting(upstream, api.AttemptStatus.NOT_STARTED)
            return
        # Guards against a failed server that stays undetected because all waiting streams were withdrawn.
        upstream.unreported_failure_ms = -math.inf if upstream.waiting else self._context.clock()
        self._end_waiting(upstream, api.AttemptStatus.CONNECTION_REFUSED)

    def _build_connection(self, server: str) -> UpstreamConnection:
        return UpstreamConnection(server, self._context, self._connections, self._outcomes, self)

    def _write(self, connection: UpstreamConnection, stream: Stream) -> None:
        """Write a stream; an attempt is sent with the time left of its timeout, as it may have waited."""
        attempt = stream.attempt
        if attempt is None:
            connection.send(stream, encode_health_check(stream.stream_id))
            return
        remaining_ms = attempt.fetch.timeout_ms - (self._context.clock() - stream.accepted_ms)
        if remaining_ms < MIN_REMAINING_MS:
            self._outcomes.report(stream, api.AttemptStatus.NOT_STARTED)
            return
        self.attempts_written += 1
        connection.send(stream, encode_request(attempt, remaining_ms))

    def _wait_for_connection(self, upstream: Upstream, stream: Stream) -> None:
        if stream.accepted_ms - upstream.unreported_failure_ms <= self._context.limits.connect_timeout_ms:
            upstream.unreported_failure_ms = -math.inf
            self._outcomes.report(stream, api.AttemptStatus.CONNECTION_REFUSED)
            return
        if not self._may_wait(upstream, stream):
            # OVERLOADED would count against the server, although it was never sent the request.
            self._outcomes.report(stream, api.AttemptStatus.NOT_STARTED)
            return
        upstream.waiting[stream.stream_id] = stream
        if stream.start_by_ms < math.inf:
            stream.start_deadline = self._context.deadlines.add(
                stream.start_by_ms, lambda: self._drop_overdue(upstream, stream)
            )
        self._connector.connect(upstream)

    def _may_wait(self, upstream: Upstream, stream: Stream) -> bool:
        if stream.stream_id in upstream.waiting or len(upstream.waiting) >= MAX_WAITING_STREAMS:
            return False
        if upstream.connect_attempt is not None:
            return True
        return self._connector.may_connect(upstream, MAX_CONNECTIONS_IF_EXHAUSTED)

    def _drop_overdue(self, upstream: Upstream, stream: Stream) -> None:
        """End a stream that is still waiting for a connection after its ``start_by_ms``."""
        del upstream.waiting[stream.stream_id]
        self._outcomes.report(stream, api.AttemptStatus.NOT_STARTED)

    def _end_waiting(self, upstream: Upstream, status: api.AttemptStatus) -> None:
        for stream in upstream.take_waiting():
            self._outcomes.report(stream, status)
