"""One connection of a watch: sends polls, reads their responses, and closes on errors and timeouts."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any, Protocol

from twisted.internet import protocol
from twisted.python.failure import Failure

from thornjunction.memory.deadlines import Deadline
from thornjunction.net.discovery.connection_state import ConnectionState
from thornjunction.net.discovery.response_timeout import ResponseTimeout
from thornjunction.net.discovery.resynchronization import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BODY_BYTES,
    Resynchronization,
)
from thornjunction.net.discovery.watch_context import WatchContext, WatchTimings
from thornjunction.net.event_loop.disconnect_reasons import DisconnectReason, disconnect_reason
from thornjunction.net.event_loop.ports import Transport
from thornjunction.net.wire import ProtocolError, http1
from thornjunction.net.wire.commands import Commands, decode_commands

# Holding time that a poll requests if it needs an immediate response, as the first one or after a failure.
IMMEDIATE_BLOCK_MS = 1
# Time for sending the last bytes to a source that is no longer polled.
CLOSE_TIMEOUT_MS = 400.0
# Pause after a part of a long response, relative to the time that the part took; requests are handled in it.
PART_PAUSE_SHARE = 0.5
# Longest such pause.
MAX_PART_PAUSE_MS = 10.0
# Time for one long response; if it takes longer, the missing events are polled again.
MAX_RESYNCHRONIZATION_MS = 30_000.0


class ConnectionOwner(Protocol):
    """Interface of a connection to the watch that owns it."""

    @property
    def needs_immediate_response(self) -> bool:
        """Whether the first poll of a connection asks for an immediate response."""

    @property
    def has_no_progress(self) -> bool:
        """Whether no new event was received since the last poll was sent."""

    def encode_poll(self, block_ms: float) -> bytes:
        """Return the request of the next poll, which the source may hold for ``block_ms``."""

    def response_grace_ms(self) -> float:
        """Additional time for the response, or for the next part of it, to arrive."""

    def retry_delay_ms(self, attempts: int) -> float:
        """Pause before the next poll, after this number of consecutive polls without an event."""

    def handle_connected(self, connection: WatchConnection) -> None:
        """Called when the connection is established."""

    def handle_response_awaited(self) -> None:
        """Called when a poll was sent or a part of its response was received; restarts the timeout."""

    def handle_response_timeout(self) -> None:
        """Called when the response, or its next part, has timed out."""

    def handle_response(self, commands: Commands, is_stable: bool) -> None:
        """Called with a complete response; the events of a long one were applied in parts before.

        ``is_stable`` tells whether the connection is at least as old as a poll's holding time.  May raise
        ProtocolError.
        """

    def apply_part(self, head: Commands | None, events: list[Any]) -> Commands:
        """Apply complete events of a long response, and return the new ones.

        May raise ProtocolError.
        """

    def record_response_end(self, discarded_bytes: int, is_useful: bool) -> None:
        """Record the end of a response, complete or not."""

    def handle_disconnect(self, is_stable: bool, reason: str, polls: int) -> None:
        """Called when the connection has ended; ``polls`` is its number of answered polls."""


class WatchConnection(protocol.Protocol):
    """Sends polls one after another until it is closed.

    Attributes:
        state: state of the connection.
        end_reason: why this side closed the connection; empty if it has not.
        polls: number of answered polls.
        unproductive_polls: consecutive polls that the source answered early and without a new event.
        resynchronization: the long response that is being read; None if there is none.
    """

    transport: Transport  # type: ignore[assignment]

    def __init__(self, owner: ConnectionOwner, context: WatchContext, timings: WatchTimings) -> None:
        self.timings = timings
        self.reader = http1.ResponseReader(MAX_BODY_BYTES)
        self.state = ConnectionState.PAUSED
        self.end_reason = ""
        self.polls = 0
        self.unproductive_polls = 0
        self.resynchronization: Resynchronization | None = None
        self._owner = owner
        self._clock = context.clock
        self._deadlines = context.deadlines
        self._created_ms = context.clock()
        self._response_timeout = ResponseTimeout(context, self._time_out)
        self._timer: Deadline | None = None  # for the next poll, or for aborting a slow close
        self._resume_timer: Deadline | None = None  # for the next part of a long response, or for reading
        self._is_keep_alive = True
        self._block_ms = 0.0
        self._poll_sent_ms = 0.0

    @property
    def response_due_ms(self) -> float:
        """Deadline of the response or of its next part, on the core's clock."""
        return self._response_timeout.due_ms

    def connectionMade(self) -> None:  # noqa: N802
        """Report the connection, and send the first poll."""
        self.transport.setTcpNoDelay(True)
        self._owner.handle_connected(self)
        self._poll()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read the response; close the connection if it is malformed."""
        if self.state is ConnectionState.CLOSING:
            return
        try:
            self._read(data)
        except ProtocolError as error:
            self.close(str(error))

    def close(self, reason: str) -> None:
        """Abort the connection, for this reason."""
        self._begin_closing(reason)
        self.transport.abortConnection()

    def close_gracefully(self, reason: str) -> None:
        """Send pending bytes and close the connection to a working source that is no longer polled."""
        if self.state is ConnectionState.CLOSING:
            return
        self._begin_closing(reason)
        self._response_timeout.cancel()
        self._deadlines.cancel(self._timer)
        self._timer = self._deadlines.add(self._clock() + CLOSE_TIMEOUT_MS, self.transport.abortConnection)
        self.transport.loseConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802
        """Report the end of the connection."""
        self._response_timeout.cancel()
        self._deadlines.cancel(self._timer)
        self._deadlines.cancel(self._resume_timer)
        is_stable = self._was_stable()
        if self.resynchronization is not None:
            has_progress = not self._owner.has_no_progress
            is_stable = is_stable or has_progress
            self._owner.record_response_end(self.resynchronization.discarded_bytes, is_useful=has_progress)
            self.resynchronization.discard()
        self._owner.handle_disconnect(is_stable, self.end_reason or disconnect_reason(reason), self.polls)

    # Polls and their timeouts

    def _poll(self) -> None:
        if self.state is ConnectionState.CLOSING:
            return
        self.state = ConnectionState.POLLING
        is_immediate = self.polls == 0 and self._owner.needs_immediate_response
        self._block_ms = IMMEDIATE_BLOCK_MS if is_immediate else self.timings.block_ms
        self._poll_sent_ms = self._clock()
        self.transport.write(self._owner.encode_poll(self._block_ms))
        # Without a deadline, a poll whose response is lost on a broken network path would wait forever.
        self._await_response(self._poll_sent_ms + max(self._block_ms, self.timings.min_response_ms))

    def _await_response(self, expected_ms: float) -> None:
        """Set the deadline of the response, or of its next part: the grace period after ``expected_ms``."""
        self._response_timeout.cancel()
        self._owner.handle_response_awaited()
        due_ms = expected_ms + self._owner.response_grace_ms()
        if self.resynchronization is not None:
            due_ms = min(due_ms, self.resynchronization.deadline_ms)
        self._response_timeout.start(due_ms)

    def _time_out(self) -> None:
        if self.resynchronization is not None and self._clock() >= self.resynchronization.deadline_ms:
            self.close(DisconnectReason.RESPONSE_TOO_LONG)
            return
        self._owner.handle_response_timeout()
        self.close(DisconnectReason.SILENT)

    # Responses

    def _read(self, data: bytes) -> None:
        if self.state is ConnectionState.PAUSED:
            raise ProtocolError(DisconnectReason.UNEXPECTED_RESPONSE)
        response = self.reader.next(data)
        body_bytes = self.reader.announced_bytes if response is None else len(response.body)
        if self.resynchronization is None and body_bytes > MAX_BUFFERED_BODY_BYTES:
            self._begin_resynchronization(response or self.reader.head())
        if self.resynchronization is not None:
            body = self.reader.take_body() if response is None else response.body
            self.resynchronization.receive(body, is_last=response is not None)
            self._apply_part(self.resynchronization)
        elif response is not None:
            self._check_head(response)
            self._handle_response(decode_commands(response.body))

    def _check_head(self, response: http1.HttpResponse) -> None:
        if response.status != HTTPStatus.OK:
            raise ProtocolError(f"status-{response.status}")
        self._is_keep_alive = response.keep_alive

    def _handle_response(self, commands: Commands) -> None:
        now_ms = self._clock()
        resynchronization = self.resynchronization
        self._response_timeout.cancel()
        self.polls += 1
        self.state = ConnectionState.PAUSED
        self.resynchronization = None
        self._owner.handle_response(commands, is_stable=now_ms - self._created_ms >= self.timings.block_ms)
        if self.reader.buffered_bytes:
            raise ProtocolError(DisconnectReason.UNEXPECTED_RESPONSE)
        if not self._is_keep_alive:
            raise ProtocolError(DisconnectReason.NO_KEEP_ALIVE)
        self._poll_again(now_ms, resynchronization)

    def _poll_again(self, now_ms: float, resynchronization: Resynchronization | None) -> None:
        """Poll immediately after a new event or a poll that was kept open, otherwise after a pause."""
        held_ms = now_ms - self._poll_sent_ms
        is_early = resynchronization is not None or held_ms < self._block_ms - self.timings.block_ms / 2
        is_unproductive = self._owner.has_no_progress and is_early
        discarded_bytes = 0
        if is_unproductive and resynchronization is not None:
            discarded_bytes = resynchronization.discarded_bytes
        self._owner.record_response_end(discarded_bytes, is_useful=not is_unproductive)
        if not is_unproductive:
            self.unproductive_polls = 0
            self._poll()
            return
        # The pause limits the CPU time spent on a source that has no event and does not hold the poll.
        self.unproductive_polls += 1
        delay_ms = self._owner.retry_delay_ms(self.unproductive_polls)
        self._timer = self._deadlines.add(now_ms + delay_ms, self._poll)

    # Long responses

    def _begin_resynchronization(self, head: http1.HttpResponse) -> None:
        self._check_head(head)
        self.state = ConnectionState.RESYNCHRONIZING
        deadline_ms = self._clock() + MAX_RESYNCHRONIZATION_MS
        self.resynchronization = Resynchronization(self._clock, deadline_ms, self._owner.apply_part)

    def _apply_part(self, resynchronization: Resynchronization) -> None:
        """Apply one part, and pause reading, so that requests are handled before the next part."""
        started_ms = self._clock()
        if resynchronization.apply_next_part():
            self._await_response(self._clock())
        if resynchronization.is_received and not resynchronization.has_unparsed_bytes:
            self._handle_response(resynchronization.finish())
            return
        self.transport.pauseProducing()
        now_ms = self._clock()
        pause_ms = min(PART_PAUSE_SHARE * (now_ms - started_ms), MAX_PART_PAUSE_MS)
        self._resume_timer = self._deadlines.add(now_ms + pause_ms, self._continue_resynchronization)

    def _continue_resynchronization(self) -> None:
        if self.state is ConnectionState.CLOSING or self.resynchronization is None:
            return
        if not self.resynchronization.has_unparsed_bytes:
            self.transport.resumeProducing()
            return
        try:
            self._apply_part(self.resynchronization)
        except ProtocolError as error:
            self.close(str(error))
            return
        if self.resynchronization is None:
            self._resume_timer = self._deadlines.add(self._clock(), self.transport.resumeProducing)

    # Closing

    def _begin_closing(self, reason: str) -> None:
        self.state = ConnectionState.CLOSING
        self.end_reason = self.end_reason or reason

    def _was_stable(self) -> bool:
        """Whether the connection worked for at least a poll's holding time, or was closed gracefully."""
        if self.end_reason == DisconnectReason.MOVED:
            return True
        lasted_ms = self._clock() - self._created_ms
        is_silent = self.end_reason == DisconnectReason.SILENT
        return self.polls > 0 and lasted_ms >= self.timings.block_ms and not is_silent
