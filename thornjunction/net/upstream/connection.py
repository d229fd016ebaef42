"""One connection to a cache server, a parent or the origin, with its codec and its streams in flight.

To keep requests from reaching a server late, each write is passed to the system at once, and a connection
that has unsent bytes takes no new stream.
"""

from __future__ import annotations

import math
from typing import Protocol

from twisted.internet import protocol
from twisted.internet.interfaces import IPullProducer
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]

from thornjunction.memory.deadlines import Deadline
from thornjunction.net.event_loop.disconnect_reasons import (
    ConnectionKind,
    DisconnectReason,
    disconnect_reason,
    log_disconnect,
)
from thornjunction.net.event_loop.ports import Transport
from thornjunction.net.upstream.connection_state import ConnectionState
from thornjunction.net.upstream.connection_table import ConnectionTable
from thornjunction.net.upstream.connection_timers import PartialResponseTimer, StalledWriteTimer
from thornjunction.net.upstream.context import PoolContext
from thornjunction.net.upstream.outcomes import OutcomeReporter
from thornjunction.net.upstream.stream_ids import MAX_CANCELLED_IDS, StreamIdRegister
from thornjunction.net.upstream.streams import Stream
from thornjunction.net.wire import ProtocolError
from thornjunction.net.wire.resp import MAX_BULK, ArrayReader
from thornjunction.net.wire.upstream import ResponseCode, UpstreamResponse, decode_response, encode_cancel

# Share of the platform's idle timeout after which this side closes an idle connection.  It closes before the
# server, which might otherwise close while a request is sent.
IDLE_TIMEOUT_SHARE = 0.8

# How long the server may take to close its side after this side: a round trip on the slowest path.
MAX_LINGER_MS = 500.0

# How long the bytes of a cancelled stream may stay unsent.  By the platform's rule no attempt may begin
# 100 ms after its client has left.
MAX_STALLED_WRITE_MS = 80.0

# Consecutive responses that match no stream in flight: one duplicate for each stream of a full connection.
MAX_UNEXPECTED_RESPONSES = 32


class ConnectionOwner(Protocol):
    """Receives notifications about a connection."""

    def capacity_available(self, connection: UpstreamConnection) -> None:
        """Handle that the connection may take more streams."""

    def connection_lost(self, connection: UpstreamConnection) -> None:
        """Handle the end of the connection; the server may have executed its streams in flight."""


@implementer(IPullProducer)
class UpstreamConnection(protocol.Protocol):
    """One connection to a server; as a producer it is notified when its transport has sent all bytes.

    Attributes:
        server: name of the server.
        slot: its number in the connection table.
        state: whether it takes new streams or is closing.
        streams: streams in flight, by id.
        last_response_ms: when the last complete response arrived, or when the connection was created.
        has_unsent_bytes: whether the system has not accepted all written bytes yet.
        unexpected_responses: number of consecutive responses that match no stream in flight.
    """

    transport: Transport  # type: ignore[assignment]

    def __init__(
        self,
        server: str,
        context: PoolContext,
        table: ConnectionTable[UpstreamConnection],
        outcomes: OutcomeReporter,
        owner: ConnectionOwner,
    ) -> None:
        self.server = server
        self.slot: int | None = None
        self.state = ConnectionState.OPEN
        self.streams: dict[str, Stream] = {}
        self.last_response_ms = context.clock()
        self.has_unsent_bytes = False
        self.unexpected_responses = 0
        self._context = context
        self._table = table
        self._outcomes = outcomes
        self._owner = owner
        self._reader = ArrayReader()
        self._stream_ids = StreamIdRegister()
        self._close_reason = ""
        self._answered_streams = 0
        self._discarded_bytes = 0
        self._close_deadline: Deadline | None = None  # for the idle timeout, then for the lingering close
        self._stalled_write_timer = StalledWriteTimer(context, self.abort)
        self._partial_response_timer = PartialResponseTimer(context, self.abort)

    @property
    def is_closing(self) -> bool:
        """Whether this side has closed the connection, or the connection has ended."""
        return self.state is ConnectionState.CLOSING

    @property
    def has_partial_response(self) -> bool:
        """Whether a response is partly received."""
        return self._partial_response_timer.is_running

    def connectionMade(self) -> None:  # noqa: N802
        """Set the options of the transport (called by Twisted)."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, False)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handle the responses that are now complete (called by Twisted)."""
        if self.is_closing:
            self._discard(data)
            return
        try:
            for items in self._reader.feed(data):
                self._complete_response()
                self._handle_response(decode_response(items))
                if self.is_closing:
                    return
        except ProtocolError as error:
            self.abort(str(error))
            return
        if self._reader.buffered_bytes:
            self._partial_response_timer.bound(self._reader.buffered_bytes)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802
        """Stop the timers, log the end of the connection and notify its owner (called by Twisted)."""
        self._context.deadlines.cancel(self._close_deadline)
        self._stalled_write_timer.stop()
        self._partial_response_timer.stop()
        self._begin_closing(disconnect_reason(reason))
        log_disconnect(
            ConnectionKind.SERVER,
            self.slot,
            self._close_reason,
            server=self.server,
            served=self._answered_streams,
            open_streams=len(self.streams),
        )
        self._owner.connection_lost(self)

    def has_capacity(self) -> bool:
        """Whether the connection takes another stream."""
        return (
            self.state is ConnectionState.OPEN
            and not self.has_unsent_bytes
            and len(self.streams) < self._context.limits.max_streams
            and len(self._stream_ids.cancelled) < MAX_CANCELLED_IDS
        )

    def can_take(self, stream_id: str) -> bool:
        """Whether the connection takes a stream with this id."""
        if not self.has_capacity() or stream_id in self.streams:
            return False
        return self._stream_ids.is_available(stream_id, self._context.clock)

    def send(self, stream: Stream, data: bytes) -> None:
        """Write the request of a stream and add it to the streams in flight."""
        self._context.deadlines.cancel(self._close_deadline)
        self._close_deadline = None
        self._table.mark_in_use(self)
        self.streams[stream.stream_id] = stream
        self._write(data)
        if self.has_unsent_bytes and stream.start_by_ms < math.inf:
            self._stalled_write_timer.abort_by(stream.start_by_ms)

    def _write(self, data: bytes) -> None:
        """Pass bytes to the system at once; the reactor's next iteration sees a write error again."""
        self.transport.write(data)
        self.transport.doWrite()
        self.has_unsent_bytes = bool(self.transport.dataBuffer)

    def resumeProducing(self) -> None:  # noqa: N802
        """Offer capacity again, after the system has accepted all written bytes (called by Twisted)."""
        if self.has_unsent_bytes:
            self.has_unsent_bytes = False
            self._stalled_write_timer.stop()
            self._owner.capacity_available(self)

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing when the transport ends, as ``connectionLost`` follows (called by Twisted)."""

    def limit_stalled_write(self) -> None:
        """Abort the connection unless its unsent bytes are sent soon, as a late request must not begin."""
        if self.has_unsent_bytes:
            self._stalled_write_timer.abort_by(self._context.clock() + MAX_STALLED_WRITE_MS)

    def cancel_stream(self, stream: Stream) -> None:
        """Cancel a stream in flight; if the server was silent for long, take no new streams."""
        del self.streams[stream.stream_id]
        now_ms = self._context.clock()
        if not self.is_closing:
            self._stream_ids.add_cancelled(stream.stream_id)
            self._write(encode_cancel(stream.stream_id))
            self.limit_stalled_write()
        # Guards against a machine that has failed, whose connections stay open without any responses.
        silent_ms = now_ms - max(stream.accepted_ms, self.last_response_ms)
        if silent_ms >= self._context.limits.connect_timeout_ms and self.state is ConnectionState.OPEN:
            self.state = ConnectionState.UNRESPONSIVE
        self.end_or_become_idle()

    def stop_new_streams(self) -> None:
        """Take no new streams, and close once the streams in flight have ended."""
        if not self.is_closing:
            self.state = ConnectionState.RETIRING
        self.limit_stalled_write()
        self.end_or_become_idle()

    def end_or_become_idle(self) -> None:
        """If no stream is in flight, close a connection that takes no new ones; mark any other as idle."""
        if self.streams or self.is_closing:
            return
        if self.state is ConnectionState.UNRESPONSIVE:
            self.abort(DisconnectReason.SILENT)
            return
        if self.state is ConnectionState.RETIRING:
            self.shut_down(DisconnectReason.ENDPOINT_LIST_CHANGED)
            return
        context = self._context
        if len(self._stream_ids.cancelled) > context.limits.max_streams:  # bounds the ids in memory
            self.shut_down(DisconnectReason.STREAM_IDS_EXHAUSTED)
            return
        context.deadlines.cancel(self._close_deadline)
        due_ms = context.clock() + IDLE_TIMEOUT_SHARE * context.limits.idle_timeout_ms
        self._close_deadline = context.deadlines.add(due_ms, lambda: self.shut_down(DisconnectReason.IDLE))
        self._table.mark_idle(self)

    def shut_down(self, reason: str) -> None:
        """Close a connection without streams in flight, this side first.

        Bytes that the server sends in the meantime are discarded; unread, they would reset the connection.
        """
        if self.has_unsent_bytes:
            self.abort(reason)
            return
        self._begin_closing(reason)
        self._table.mark_closing(self)
        self._context.deadlines.cancel(self._close_deadline)
        self._close_deadline = self._context.deadlines.add(
            self._context.clock() + MAX_LINGER_MS, lambda: self.abort(reason)
        )
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()

    def abort(self, reason: str) -> None:
        """Reset the connection, for a ``DisconnectReason`` or the code of a protocol violation."""
        self._begin_closing(reason)
        self._table.mark_in_use(self)  # a connection that was reset must not be evicted as well
        self.transport.abortConnection()

    def _begin_closing(self, reason: str) -> None:
        """Enter the final state; the first reason given is kept."""
        self._close_reason = self._close_reason or reason
        self.state = ConnectionState.CLOSING

    def _discard(self, data: bytes) -> None:
        """Discard bytes received after this side closed; abort if they exceed the largest response."""
        self._discarded_bytes += len(data)
        if self._discarded_bytes > MAX_BULK:
            self.abort(self._close_reason)

    def _complete_response(self) -> None:
        """Note that the server responds, which only a complete response shows."""
        self.last_response_ms = self._context.clock()
        if self.state is ConnectionState.UNRESPONSIVE:
            self.state = ConnectionState.OPEN
        self._partial_response_timer.stop()

    def _handle_response(self, response: UpstreamResponse) -> None:
        stream = self.streams.pop(response.request_id, None)
        if stream is None:
            self._handle_unexpected_response(response.request_id)
            return
        self._answered_streams += 1
        self.unexpected_responses = 0
        if response.code is not ResponseCode.DONE:  # after other codes a retry may use the same id
            self._stream_ids.withhold(response.request_id, self._context.clock())
        self.end_or_become_idle()
        self._owner.capacity_available(self)
        self._outcomes.report_response(stream, response)

    def _handle_unexpected_response(self, stream_id: str) -> None:
        """Abort a connection that gets too many responses that are late, duplicate or match no request."""
        if self._stream_ids.take_late_response(stream_id):
            return
        self.unexpected_responses += 1
        if self.unexpected_responses > MAX_UNEXPECTED_RESPONSES:
            self.abort(DisconnectReason.UNEXPECTED_RESPONSE)
