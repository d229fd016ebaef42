"""A client connection as both fronts share it: its states, and when and how it ends."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet import protocol
from twisted.internet.interfaces import IPushProducer
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]

from thornjunction.memory.deadlines import Deadline, Deadlines
from thornjunction.net.downstream.buffered_bytes import STALL_TIMEOUT_MS, BufferedBytes
from thornjunction.net.downstream.connection_state import ConnectionState
from thornjunction.net.downstream.connection_table import DownstreamTable
from thornjunction.net.downstream.lingering_close import (
    LINGER_TIMEOUT_MS,
    SHORT_LINGER_TIMEOUT_MS,
    LingeringClose,
)
from thornjunction.net.downstream.pending_input import receive_pending
from thornjunction.net.downstream.request_times import CHECK_INTERVAL_MS, RequestTimes
from thornjunction.net.event_loop.disconnect_reasons import (
    ConnectionKind,
    DisconnectReason,
    disconnect_reason,
    log_disconnect,
)
from thornjunction.net.event_loop.ports import Transport


@implementer(IPushProducer)
class DownstreamConnection(protocol.Protocol):
    """One client connection; the subclass of a front reads its requests and writes their responses.

    Attributes:
        state: how far the connection is from its end.
        slot: its number in the table; None where it has no slot.
        end_reason: a ``DisconnectReason`` or the code of a protocol violation; empty until it has ended.
        response_count: responses that were written.
    """

    transport: Transport  # type: ignore[assignment]
    kind: ConnectionKind

    def __init__(self, table: DownstreamTable, deadlines: Deadlines, clock: Callable[[], float]) -> None:
        self.table = table
        self.deadlines = deadlines
        self.clock = clock
        self.state = ConnectionState.OPEN
        self.slot: int | None = None
        self.end_reason = ""
        self.response_count = 0
        self.times = RequestTimes()
        self.lingering_close = LingeringClose()
        self.buffered = BufferedBytes(table.budget)
        # Why it ends once no request is open; empty while it stays.
        self._planned_end_reason = ""
        self._ended_with_open_request = False
        self._time_check: Deadline | None = None
        self._stall_deadline: Deadline | None = None

    # Methods of a front

    def has_open_request(self) -> bool:
        """Whether a request of this connection is owed its response."""
        raise NotImplementedError

    def partial_request_bytes(self) -> int:
        """Bytes of requests that have come in part."""
        raise NotImplementedError

    def abandon_requests(self) -> None:
        """Nobody waits for the responses any more: abandon all requests in the core at once."""
        raise NotImplementedError

    def answer_open_requests(self) -> None:
        """Answer what is open now: rejected where the core does not have it yet, else failed."""
        raise NotImplementedError

    def drop_partial_request(self) -> None:
        """Forget the request that has come in part."""
        raise NotImplementedError

    # Begin and end, as Twisted reports them

    def connectionMade(self) -> None:  # noqa: N802
        """Take a slot of the table; without one, the first requests will be rejected."""
        self.times.start(self.clock())
        self.transport.setTcpNoDelay(True)  # first: what the system holds back is lost with a reset
        self.transport.registerProducer(self, True)
        self.slot = self.table.add(self)
        if self.slot is None:
            self.state = ConnectionState.OVER_CAPACITY
            self._planned_end_reason = DisconnectReason.TABLE_FULL
            self.table.move_to_lingering(self)
        self._check_times()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802
        """Release everything and write the connection's log line."""
        self.deadlines.cancel(self._time_check)
        self.deadlines.cancel(self._stall_deadline)
        self.lingering_close.cancel(self.deadlines)
        self.state = ConnectionState.CLOSED
        self.end_reason = self.end_reason or disconnect_reason(reason)
        self.table.remove(self)
        self.buffered.release(self._free_buffers)
        request_open = self._ended_with_open_request or self.has_open_request()
        log_disconnect(
            self.kind,
            self.slot,
            self.end_reason,
            answered=self.response_count,
            request_open=request_open,
        )
        self.abandon_requests()

    # Progress

    def note_progress(self, request_completed: bool = False) -> None:
        """After bytes arrived or a response went out: end the connection, or update its limits.

        Args:
            request_completed: whether a request has come completely.
        """
        if self.state.has_ended:
            return
        if request_completed:
            self.times.has_received_request = True
        if self._planned_end_reason and self._is_planned_end_due():
            self.close_lingering(self._planned_end_reason)
            return
        partial_request_bytes = self.partial_request_bytes()
        self.times.update(self.clock(), partial_request_bytes > 0, request_completed)
        self.table.update_idle(self, self.has_open_request())
        self.buffered.reserve(self._free_buffers, partial_request_bytes)

    def _is_planned_end_due(self) -> bool:
        """Whether all is answered; a connection over capacity gets the time for its first request."""
        has_read_all = self.times.has_received_request or self.state is ConnectionState.HALF_CLOSED
        return has_read_all and not self.has_open_request()

    def plan_end(self, reason: str) -> None:
        """End the connection once no request is open; the first reason counts."""
        self._planned_end_reason = self._planned_end_reason or reason
        if self.state is ConnectionState.OPEN:
            self.state = ConnectionState.CLOSING

    def half_close(self, reason: str) -> None:
        """Read no more requests; those that came before keep their responses, then the connection ends."""
        self._planned_end_reason = reason
        if not self.state.has_ended:
            self.state = ConnectionState.HALF_CLOSED
        self.drop_partial_request()

    def write(self, data: bytes) -> None:
        """Write a complete response."""
        self.response_count += 1
        self.transport.write(data)
        if self.buffered.is_write_paused:
            self.buffered.unsent_bytes += len(data)

    def discard(self, data: bytes) -> None:
        """Pass over bytes that are no request, or that arrive after the sending side was shut.

        Guards the core against a client that sends on without end.
        """
        if self.lingering_close.discard(data):
            return
        if self.state.has_ended:
            self.abort(self.end_reason)
            return
        self.lingering_close.discarded_bytes = 0
        self.answer_open_requests()
        self.close_lingering(self._planned_end_reason)

    def handle_pending_input(self) -> None:
        """Read and handle what has arrived, before it is decided whether the connection is idle.

        In a process that was held up, a request may have been unread for long.
        """
        data = self.receive_pending()
        if data:
            self.dataReceived(data)

    def receive_pending(self) -> bytes:
        """Read what has arrived since Twisted last read; notices the end of the connection too."""
        return receive_pending(self.transport, self._end)

    # Ends

    def abort(self, reason: str) -> None:
        """Cut the connection off, which resets it: the client loses a response on its way.

        Only for a client that costs too much, and one that had the time for an orderly end.
        """
        self._end(reason)
        self.transport.abortConnection()

    def close_lingering(self, reason: str, timeout_ms: float = LINGER_TIMEOUT_MS) -> None:
        """Shut the sending side once all responses are sent, and wait until the client closes its side.

        A request that crosses the close is read and discarded: unread, it would reset the connection.
        """
        if self.lingering_close.has_begun:
            return
        self._end(reason, ConnectionState.LINGERING)
        due_ms = self.clock() + timeout_ms
        self.lingering_close.begin(self.deadlines, due_ms, lambda: self.abort(reason))
        self.buffered.reserve(self._free_buffers, 0)
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        self.table.move_to_lingering(self)

    def close_if_idle(self) -> None:
        """End the connection if nothing is in progress on it.

        A new connection, whose first request may be on its way, keeps the time of its limits.
        """
        if not self._is_idle():
            return
        self.handle_pending_input()
        if self._is_idle():
            self.close_lingering(DisconnectReason.DRAINED)

    def _is_idle(self) -> bool:
        if self.state.has_ended or not self.times.has_received_request:
            return False
        return not (self.has_open_request() or self.partial_request_bytes())

    def _end(self, reason: str, state: ConnectionState = ConnectionState.CLOSED) -> None:
        """Nothing is answered from now on; the first reason counts."""
        if self.state is not ConnectionState.CLOSED:
            self.state = state
        self.end_reason = self.end_reason or reason
        self._ended_with_open_request = self._ended_with_open_request or self.has_open_request()
        self.deadlines.cancel(self._time_check)
        self.abandon_requests()

    def _free_buffers(self, reason: str) -> None:
        """Free what is buffered: this connection buffers most of all.

        Responses that the client does not read can only be cut off.  Where it reads, the requests that came
        completely are answered.
        """
        if self.buffered.is_write_paused:
            self.abort(reason)
            return
        self.plan_end(reason)
        self.drop_partial_request()
        self.answer_open_requests()
        self.close_lingering(self._planned_end_reason)

    # Time limits

    def _check_times(self) -> None:
        if self._overdue_reason() is not None:
            self.handle_pending_input()
        reason = self._overdue_reason()
        if reason is not None:
            self.close_lingering(self._planned_end_reason or reason, SHORT_LINGER_TIMEOUT_MS)
        elif not self.state.has_ended:
            self._time_check = self.deadlines.add(self.clock() + CHECK_INTERVAL_MS, self._check_times)

    def _overdue_reason(self) -> DisconnectReason | None:
        return None if self.has_open_request() else self.times.overdue_reason(self.clock())

    # Backpressure, as Twisted reports it

    def pauseProducing(self) -> None:  # noqa: N802
        """The client does not read: it may hold the memory of its responses for a bounded time."""
        if self.buffered.is_write_paused:  # Twisted reports it with each write
            return
        self.buffered.is_write_paused = True
        stalled_at_ms = self.clock() + STALL_TIMEOUT_MS
        self._stall_deadline = self.deadlines.add(stalled_at_ms, lambda: self.abort(DisconnectReason.STALLED))

    def resumeProducing(self) -> None:  # noqa: N802
        """The client has read all its responses."""
        self.buffered.resume_writing()
        self.deadlines.cancel(self._stall_deadline)
        self.buffered.reserve(self._free_buffers, 0 if self.state.has_ended else self.partial_request_bytes())

    def stopProducing(self) -> None:  # noqa: N802
        """The connection is gone."""
        self.deadlines.cancel(self._stall_deadline)
