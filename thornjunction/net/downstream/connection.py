"""The client connection that both fronts extend: its states, and when and how it ends."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet import protocol
from twisted.internet.interfaces import IPushProducer
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]

from thornjunction.memory.deadlines import Deadline, Deadlines
from thornjunction.net.downstream.buffered_bytes import BufferedBytes
from thornjunction.net.downstream.connection_state import ConnectionState
from thornjunction.net.downstream.connection_table import DownstreamTable
from thornjunction.net.downstream.lingering_close import (
    LINGER_TIMEOUT_MS,
    SHORT_LINGER_TIMEOUT_MS,
    LingeringClose,
)
from thornjunction.net.downstream.metered_input import MeteredInput
from thornjunction.net.downstream.request_times import CHECK_INTERVAL_MS, RequestTimes
from thornjunction.net.downstream.unread_responses import (
    READ_CHECK_INTERVAL_MS,
    Reading,
    StallDetector,
    has_unread_responses,
    unsent_bytes,
)
from thornjunction.net.event_loop.disconnect_reasons import (
    ConnectionKind,
    DisconnectReason,
    disconnect_reason,
    log_disconnect,
)


@implementer(IPushProducer)
class DownstreamConnection(MeteredInput):
    """One client connection; each front's subclass reads the requests and writes the responses.

    Attributes:
        state: the current state of the connection.
        slot: its number in the table; None if it has no slot.
        end_reason: a ``DisconnectReason`` or the code of a protocol violation; empty until it has ended.
        response_count: number of responses written.
    """

    kind: ConnectionKind

    def __init__(self, table: DownstreamTable, deadlines: Deadlines, clock: Callable[[], float]) -> None:
        super().__init__(table.overhead_meter, deadlines, clock)
        self.table = table
        self.state = ConnectionState.OPEN
        self.slot: int | None = None
        self.end_reason = ""
        self.response_count = 0
        self.times = RequestTimes()
        self.lingering_close = LingeringClose(deadlines, clock)
        self.buffered = BufferedBytes(table.budget)
        # Why the connection will end once no request is open; empty if no end is planned.
        self._planned_end_reason = ""
        self._ended_with_open_request = False
        self._time_check: Deadline | None = None
        self._stall_detector = StallDetector()
        self._stall_check: Deadline | None = None

    # Start and end of the connection (called by Twisted)

    def connectionMade(self) -> None:  # noqa: N802
        """Take a slot in the table; if none is free, the first requests are rejected."""
        self.times.start(self.clock())
        # This comes first: bytes that the system delays (Nagle's algorithm) are lost if a reset follows.
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.slot = self.table.add(self)
        if self.slot is None:
            self.state = ConnectionState.OVER_CAPACITY
            self._planned_end_reason = DisconnectReason.TABLE_FULL
            self.table.move_to_lingering(self)
        self._check_times()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802
        """Release the slot, timers and buffers, log the end and abandon the requests."""
        self.deadlines.cancel(self._time_check)
        self.deadlines.cancel(self._stall_check)
        self.lingering_close.cancel()
        self.stop_postponing()
        self.state = ConnectionState.CLOSED
        self.end_reason = self.end_reason or disconnect_reason(reason)
        self.table.remove(self)
        self.buffered.release(self._free_buffers, self.held_bytes)
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
        """After bytes arrived or a response was written, make a planned end if it is due, or update limits.

        Args:
            request_completed: whether a request was received completely.
        """
        if self.state.has_ended:
            return
        if request_completed:
            self.times.has_received_request = True
        if self._planned_end_reason and self._is_planned_end_due():
            self.close_lingering(self._planned_end_reason)
            return
        self.times.update(self.clock(), self.partial_request_bytes() > 0, request_completed)
        self.table.update_idle(self, self.has_open_request())
        self.buffered.measure_again(self.held_bytes)
        self.buffered.reserve(self._free_buffers, self.partial_request_bytes())

    def _is_planned_end_due(self) -> bool:
        """Whether no request is open; unless half-closed, the connection must also have received one."""
        has_read_all = self.times.has_received_request or self.state is ConnectionState.HALF_CLOSED
        return has_read_all and not self.has_open_request()

    def plan_end(self, reason: str) -> None:
        """End the connection once no request is open; the first reason given is kept."""
        self._planned_end_reason = self._planned_end_reason or reason
        if self.state is ConnectionState.OPEN:
            self.state = ConnectionState.CLOSING

    def half_close(self, reason: str) -> None:
        """Stop reading requests; the connection ends once those already received are answered."""
        self._planned_end_reason = reason
        if not self.state.has_ended:
            self.state = ConnectionState.HALF_CLOSED
        self.drop_partial_request()

    def write(self, data: bytes) -> None:
        """Write a complete response."""
        self.response_count += 1
        self._stall_detector.written_bytes += len(data)
        self.transport.write(data)
        if self.buffered.is_write_paused:
            self.buffered.measure_again(self.held_bytes)

    def discard(self, data: bytes) -> None:
        """Discard bytes that the connection's state does not allow to be read as requests.

        Ends the connection of a client that sends more of them than ``MAX_DISCARDED_BYTES``.
        """
        if self.lingering_close.count_discarded(data):
            return
        if self.state.has_ended:
            self.abort(self.end_reason)
            return
        self.lingering_close.discarded_bytes = 0
        self.answer_open_requests()
        self.close_lingering(self._planned_end_reason)

    def handle_pending_input(self) -> None:
        """Read and handle the bytes that have arrived, before it is decided whether the connection is idle.

        If the event loop was blocked, a request may have been waiting unread for a long time.
        """
        data = self.receive_pending()
        if data:
            self.dataReceived(data)

    def end_input(self, reason: str) -> None:
        """Note that the client has left: no response can be sent any more."""
        self._end(reason)

    # Closing

    def abort(self, reason: str) -> None:
        """Reset the connection; the client loses responses that it has not received yet.

        Used only for a client that exceeds a resource limit or did not complete an orderly close in time.
        """
        self._end(reason)
        self.transport.abortConnection()

    def close_lingering(self, reason: str, timeout_ms: float = LINGER_TIMEOUT_MS) -> None:
        """Shut down the sending side once all responses are sent, and wait until the client closes its side.

        A request that the client sent before it saw the close is discarded; unread, it would cause a reset.
        """
        if self.lingering_close.has_begun:
            return
        self._end(reason, ConnectionState.LINGERING)
        if not self.buffered.is_write_paused:
            self._stall_detector.start(self.clock(), self.transport)
        self.buffered.reserve(self._free_buffers, 0)
        self.buffered.measure_again(self.held_bytes)
        self.transport.unregisterProducer()
        self.stop_postponing()
        self.transport.loseWriteConnection()
        self.lingering_close.begin(timeout_ms, self._check_reading, lambda: self.abort(reason))
        self.table.move_to_lingering(self)

    def close_if_idle(self) -> None:
        """Close the connection if no request is open or partly received.

        A connection that has not received its first request stays open until its usual timeout.
        """
        if not self._is_idle():
            return
        self.handle_pending_input()
        if self._is_idle():
            self.close_lingering(DisconnectReason.DRAINED)

    def _is_idle(self) -> bool:
        if self.state.has_ended or not self.times.has_received_request:
            return False
        return not (self.has_open_request() or self.partial_request_bytes() or self.is_input_postponed)

    def _end(self, reason: str, state: ConnectionState = ConnectionState.CLOSED) -> None:
        """Enter a state in which no request is answered any more; the first reason given is kept."""
        if self.state is not ConnectionState.CLOSED:
            self.state = state
        self.end_reason = self.end_reason or reason
        self._ended_with_open_request = self._ended_with_open_request or self.has_open_request()
        self.deadlines.cancel(self._time_check)
        self.abandon_requests()

    def has_unread_responses(self) -> bool:
        """Whether the client has not received all responses, or one may still be written."""
        return not self.state.has_ended or has_unread_responses(self.transport)

    def unsent_bytes(self) -> int:
        """Return the number of bytes of responses that the system has not accepted yet."""
        return unsent_bytes(self.transport)

    def held_bytes(self) -> int:
        """Return the number of bytes of open requests, and of responses that wait for a slow client."""
        return self.open_request_bytes() + (self.unsent_bytes() if self.buffered.is_write_paused else 0)

    def _free_buffers(self, reason: str) -> None:
        """Discard the partly received requests (called by the budget for the connection with the largest).

        The completely received requests are answered before the connection is closed.
        """
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
        if self.has_open_request() or self.is_input_postponed:
            return None
        return self.times.overdue_reason(self.clock())

    # Backpressure (called by Twisted)

    def pauseProducing(self) -> None:  # noqa: N802
        """Begin to check that the client reads, as its responses wait in memory from now on."""
        if self.buffered.is_write_paused:  # Twisted calls this method again on each write
            return
        self.buffered.is_write_paused = True
        self.buffered.measure_again(self.held_bytes)
        self._stall_detector.start(self.clock(), self.transport)
        self._schedule_stall_check()

    def resumeProducing(self) -> None:  # noqa: N802
        """End the checks: all responses were passed to the system."""
        self.buffered.is_write_paused = False
        self.buffered.measure_again(self.held_bytes)
        self.deadlines.cancel(self._stall_check)

    def stopProducing(self) -> None:  # noqa: N802
        """End the checks: the connection has ended."""
        self.deadlines.cancel(self._stall_check)

    def _schedule_stall_check(self) -> None:
        due_ms = self.clock() + READ_CHECK_INTERVAL_MS
        self._stall_check = self.deadlines.add(due_ms, self._abort_if_stalled)

    def _abort_if_stalled(self) -> None:
        if self._check_reading() is Reading.STALLED:
            self.abort(DisconnectReason.STALLED)
        elif self.state is not ConnectionState.LINGERING:  # a lingering close has checks of its own
            self._schedule_stall_check()

    def _check_reading(self) -> Reading:
        return self._stall_detector.check(self.clock(), self.transport)
