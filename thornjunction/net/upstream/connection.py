"""One connection to a cache server, a parent or the origin: its codec and its streams in flight.

Guards against bytes that reach a server late: each write goes to the system at once, and a connection that
holds some back takes no new stream until they have gone.
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

# Of the platform's idle timeout: this side closes first, so that no request crosses the peer's close.
IDLE_TIMEOUT_SHARE = 0.8

# For the server to close its side after ours: a round trip on the slowest path.
MAX_LINGER_MS = 500.0

# For the bytes of a cancelled stream to go out: what begins 100 ms later breaks the platform's rule.
MAX_STALLED_WRITE_MS = 80.0

# Responses in a row to no stream in flight: a connection's streams, each answered twice.
MAX_UNEXPECTED_RESPONSES = 32


class ConnectionOwner(Protocol):
    """Is notified of what happens on a connection."""

    def capacity_available(self, connection: UpstreamConnection) -> None:
        """The connection may take more streams."""

    def connection_lost(self, connection: UpstreamConnection) -> None:
        """The connection ended; what its streams in flight asked for may have run."""


@implementer(IPullProducer)
class UpstreamConnection(protocol.Protocol):
    """One connection to a server; as a producer it is notified when its transport has sent all bytes.

    Attributes:
        server: name of the server.
        slot: its number in the connection table.
        state: whether it takes new streams, and what becomes of it.
        streams: streams in flight, by id.
        last_response_ms: when the last complete response came, or when the connection was created.
        has_unsent_bytes: whether the system did not take all bytes as they were written.
        unexpected_responses: responses in a row to no stream in flight.
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
        self._close_deadline: Deadline | None = None  # of the idle timeout, then of lingering
        self._stalled_write_timer = StalledWriteTimer(context, self.abort)
        self._partial_response_timer = PartialResponseTimer(context, self.abort)

    @property
    def is_closing(self) -> bool:
        """Whether this side has closed the connection or it has ended."""
        return self.state is ConnectionState.CLOSING

    @property
    def has_partial_response(self) -> bool:
        """Whether a part of a response has come."""
        return self._partial_response_timer.is_running

    def connectionMade(self) -> None:  # noqa: N802
        """Prepare the transport."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, False)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handle the responses that are complete by now."""
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
        """Release what the connection holds, log its end and notify its owner."""
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
        """Whether the connection takes a stream of this id."""
        if not self.has_capacity() or stream_id in self.streams:
            return False
        return self._stream_ids.is_available(stream_id, self._context.clock)

    def send(self, stream: Stream, data: bytes) -> None:
        """Write the request of a stream, which is in flight from now on."""
        self._context.deadlines.cancel(self._close_deadline)
        self._close_deadline = None
        self._table.mark_in_use(self)
        self.streams[stream.stream_id] = stream
        self._write(data)
        if self.has_unsent_bytes and stream.start_by_ms < math.inf:
            self._stalled_write_timer.abort_by(stream.start_by_ms)

    def _write(self, data: bytes) -> None:
        """Hand bytes to the system at once, and not at the reactor's next turn.

        An error of the system is not lost: it comes again at the reactor's next turn.
        """
        self.transport.write(data)
        self.transport.doWrite()
        self.has_unsent_bytes = bool(self.transport.dataBuffer)

    def resumeProducing(self) -> None:  # noqa: N802
        """All bytes written were handed to the system."""
        if self.has_unsent_bytes:
            self.has_unsent_bytes = False
            self._stalled_write_timer.stop()
            self._owner.capacity_available(self)

    def stopProducing(self) -> None:  # noqa: N802
        """The transport ends; ``connectionLost`` follows."""

    def limit_stalled_write(self) -> None:
        """Abort the connection unless its unsent bytes go out soon: they must not begin a request later."""
        if self.has_unsent_bytes:
            self._stalled_write_timer.abort_by(self._context.clock() + MAX_STALLED_WRITE_MS)

    def cancel_stream(self, stream: Stream) -> None:
        """Cancel a stream in flight; after a long silence the connection takes no new streams."""
        del self.streams[stream.stream_id]
        now_ms = self._context.clock()
        if not self.is_closing:
            self._stream_ids.add_cancelled(stream.stream_id)
            self._write(encode_cancel(stream.stream_id))
            self.limit_stalled_write()
        # Guards against a machine that vanished: its connections stay open and silent.
        silent_ms = now_ms - max(stream.accepted_ms, self.last_response_ms)
        if silent_ms >= self._context.limits.connect_timeout_ms and self.state is ConnectionState.OPEN:
            self.state = ConnectionState.UNRESPONSIVE
        self.end_or_become_idle()

    def stop_new_streams(self) -> None:
        """Take no new streams and close after the streams in flight."""
        if not self.is_closing:
            self.state = ConnectionState.RETIRING
        self.limit_stalled_write()
        self.end_or_become_idle()

    def end_or_become_idle(self) -> None:
        """Where no stream is in flight, close a connection that takes no more, and let others become idle."""
        if self.streams or self.is_closing:
            return
        if self.state is ConnectionState.UNRESPONSIVE:
            self.abort(DisconnectReason.SILENT)
            return
        if self.state is ConnectionState.RETIRING:
            self.shut_down(DisconnectReason.ENDPOINT_LIST_CHANGED)
            return
        context = self._context
        if len(self._stream_ids.cancelled) > context.limits.max_streams:  # bounds the ids that are kept
            self.shut_down(DisconnectReason.STREAM_IDS_EXHAUSTED)
            return
        context.deadlines.cancel(self._close_deadline)
        due_ms = context.clock() + IDLE_TIMEOUT_SHARE * context.limits.idle_timeout_ms
        self._close_deadline = context.deadlines.add(due_ms, lambda: self.shut_down(DisconnectReason.IDLE))
        self._table.mark_idle(self)

    def shut_down(self, reason: str) -> None:
        """Close a connection without streams in flight, our side first.

        Bytes that cross the close are read and discarded: unread, they would reset it at the server.
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
        self._table.mark_in_use(self)  # a connection that is reset already must not be evicted
        self.transport.abortConnection()

    def _begin_closing(self, reason: str) -> None:
        """Enter the final state; the first reason counts."""
        self._close_reason = self._close_reason or reason
        self.state = ConnectionState.CLOSING

    def _discard(self, data: bytes) -> None:
        """Discard bytes behind our close; more of them than the largest response end the connection."""
        self._discarded_bytes += len(data)
        if self._discarded_bytes > MAX_BULK:
            self.abort(self._close_reason)

    def _complete_response(self) -> None:
        """Only a complete response shows that the server responds."""
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
        if response.code is not ResponseCode.DONE:  # a retry with the same id may follow other codes
            self._stream_ids.withhold(response.request_id, self._context.clock())
        self.end_or_become_idle()
        self._owner.capacity_available(self)
        self._outcomes.report_response(stream, response)

    def _handle_unexpected_response(self, stream_id: str) -> None:
        """Guards against endless responses that are late, duplicates, or to nothing that was ever sent."""
        if self._stream_ids.take_late_response(stream_id):
            return
        self.unexpected_responses += 1
        if self.unexpected_responses > MAX_UNEXPECTED_RESPONSES:
            self.abort(DisconnectReason.UNEXPECTED_RESPONSE)
