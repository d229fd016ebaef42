"""One connection of a router or relay that polls this relay.

The cost of each connection is limited: it has one poll at a time, whose head and target are bounded, and at
most one buffered response.  A connection that neither polls nor reads for some time is closed.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from enum import Enum
from http import HTTPStatus
from typing import Protocol

from twisted.internet import protocol
from twisted.internet.interfaces import IPullProducer
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]

from thornjunction.memory.budget import ByteBudget
from thornjunction.net.event_loop.disconnect_reasons import DisconnectReason, disconnect_reason
from thornjunction.net.event_loop.ports import Transport
from thornjunction.net.wire import ProtocolError, http1
from thornjunction.net.wire.polls import Poll, decode_poll

# Time for the next complete poll; a router polls again immediately after a response.
POLL_TIMEOUT_MS = 10_000.0
# Time for the poller to read a response.
READ_TIMEOUT_MS = 4_000.0
# Largest size of a poll with its headers.
MAX_HEAD_BYTES = 2_048
# Bytes of a response that are copied for a connection at a time; the rest is shared by all its receivers.
WRITE_BYTES = 32_768

JSON_HEADERS = {"Content-Type": "application/json"}


class PollerState(Enum):
    """State of a poller's connection."""

    AWAITING_POLL = "awaiting-poll"
    """The next poll was not received yet, or not completely."""

    AWAITING_RESPONSE = "awaiting-response"
    """A poll was passed to the table, and its response is awaited."""

    SENDING = "sending"
    """A response is being sent."""


class PollerOwner(Protocol):
    """Interface of a connection to the table that owns it."""

    @property
    def budget(self) -> ByteBudget:
        """Budget for the bytes that all connections buffer."""

    @property
    def clock(self) -> Callable[[], float]:
        """The core's clock, in ms."""

    @property
    def is_draining(self) -> bool:
        """Whether the relay shuts down; polls then do not wait, and connections close after a response."""

    def add(self, connection: PollerConnection) -> int | None:
        """Add a connection, and return its number; None if there is no slot for it."""

    def handle_poll(self, number: int, poll: Poll) -> None:
        """Called with each poll of a connection."""

    def remove(self, number: int) -> None:
        """Remove a connection that will send no more polls."""

    def record_end(self, reason: str) -> None:
        """Called when a connection has ended."""


@implementer(IPullProducer)
class PollerConnection(protocol.Protocol):
    """Reads polls and sends their responses, one at a time.

    Attributes:
        number: the connection's number in the table; None before it is added and after it is removed.
        state: state of the connection.
        poll: the poll that awaits its response; None if there is none.
        last_activity_ms: time of the last poll, response, or end of sending a response, on the core's clock.
        end_reason: why this side closes the connection; empty if it does not.
    """

    transport: Transport  # type: ignore[assignment]

    def __init__(self, owner: PollerOwner) -> None:
        self.number: int | None = None
        self.state = PollerState.AWAITING_POLL
        self.poll: Poll | None = None
        self.last_activity_ms = owner.clock()
        self.end_reason = ""
        self._owner = owner
        self._reader = http1.RequestReader(0)
        self._is_keep_alive = False
        self._head = b""
        self._body = b""
        self._written_bytes = 0  # written bytes of the response body

    def connectionMade(self) -> None:  # noqa: N802
        """Take a slot of the table; close the connection if there is none."""
        self.transport.setTcpNoDelay(True)
        self.number = self._owner.add(self)
        if self.number is None:
            self.close(DisconnectReason.TABLE_FULL)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read a poll; close the connection if the poll is malformed or arrives before the last response."""
        if self.end_reason:
            return
        if self.state is not PollerState.AWAITING_POLL:
            # Otherwise, polls that arrive before the last response was read would add buffered bytes.
            self.close(DisconnectReason.POLL_BEFORE_RESPONSE)
            return
        try:
            request = self._reader.next(data)
        except ProtocolError as error:
            self._reject(http1.STATUS_BY_ERROR_CODE.get(str(error), HTTPStatus.BAD_REQUEST), str(error))
            return
        if request is not None:
            self._handle_request(request)
        elif self._reader.buffered_bytes > MAX_HEAD_BYTES:
            status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            self._reject(status, DisconnectReason.POLL_HEAD_TOO_LARGE)

    def respond(self, status: int, body: bytes) -> None:
        """Send the response to the poll that awaits one; do nothing if there is none."""
        if self.poll is None or self.end_reason:
            return
        is_ok = status == HTTPStatus.OK
        is_keep_alive = is_ok and self._is_keep_alive and not self._owner.is_draining
        self.poll = None
        self._send(http1.HttpResponse(status, JSON_HEADERS, body, is_keep_alive))
        if not is_keep_alive:
            self.close_gracefully(DisconnectReason.ANSWERED if is_ok else f"status-{int(status)}")

    def check_timeouts(self, now_ms: float) -> None:
        """Close the connection if it has neither polled nor read its response in time."""
        idle_ms = now_ms - self.last_activity_ms
        if self.state is PollerState.SENDING and idle_ms > READ_TIMEOUT_MS:
            self.close(DisconnectReason.RESPONSE_UNREAD)
        elif self.state is not PollerState.AWAITING_RESPONSE and idle_ms > POLL_TIMEOUT_MS:
            self.close(DisconnectReason.SILENT)

    def close_gracefully(self, reason: str) -> None:
        """Close the connection once all pending bytes have been sent."""
        if not self.end_reason:
            self.end_reason = reason
            self.transport.loseConnection()

    def close(self, reason: str) -> None:
        """Abort the connection."""
        self.end_reason = self.end_reason or reason
        self.transport.abortConnection()
        self._release()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802
        """Report the end of the connection."""
        self._release()
        self._owner.record_end(self.end_reason or disconnect_reason(reason))

    def resumeProducing(self) -> None:  # noqa: N802
        """Write the next part of the response, after the operating system has accepted the previous one."""
        head = self._head if self._written_bytes == 0 else b""
        part = self._body[self._written_bytes : self._written_bytes + WRITE_BYTES]
        if head or part:
            # An empty body counts as one written byte, so that the head is sent only once.
            self._written_bytes += max(len(part), 1)
            self.transport.write(head + part)
            return
        self._head = b""
        self._body = b""
        self.state = PollerState.AWAITING_POLL
        self.last_activity_ms = self._owner.clock()
        self.transport.unregisterProducer()
        self._owner.budget.reserve(self.close, 0)

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: ``connectionLost`` follows."""

    def _handle_request(self, request: http1.HttpRequest) -> None:
        if request.method != "GET":
            self._reject(HTTPStatus.METHOD_NOT_ALLOWED, DisconnectReason.POLL_METHOD)
            return
        if self._reader.buffered_bytes:
            self._reject(HTTPStatus.BAD_REQUEST, DisconnectReason.PIPELINED_POLL)
            return
        try:
            poll = decode_poll(request.target)
        except ProtocolError as error:
            is_other_path = str(error) == "poll-path"
            status = HTTPStatus.NOT_FOUND if is_other_path else HTTPStatus.BAD_REQUEST
            self._reject(status, str(error))
            return
        self._accept(poll, request.keep_alive)

    def _accept(self, poll: Poll, is_keep_alive: bool) -> None:
        if self._owner.is_draining or not is_keep_alive:
            poll = poll.without_waiting()
        self.poll = poll
        self.state = PollerState.AWAITING_RESPONSE
        self.last_activity_ms = self._owner.clock()
        self._is_keep_alive = is_keep_alive
        assert self.number is not None
        self._owner.handle_poll(self.number, poll)

    def _reject(self, status: int, reason: str) -> None:
        self._send(http1.HttpResponse(status, {}, b"", False))
        self.close_gracefully(reason)

    def _send(self, response: http1.HttpResponse) -> None:
        self.state = PollerState.SENDING
        self.last_activity_ms = self._owner.clock()
        self._body = response.body
        self._written_bytes = 0
        self._head = http1.encode_response(replace(response, omits_body=True))
        self._owner.budget.reserve(self.close, len(self._head) + len(self._body))
        if not self.end_reason:  # the budget may have evicted this connection
            self.transport.registerProducer(self, False)

    def _release(self) -> None:
        """Release the reserved bytes and the slot."""
        self._owner.budget.reserve(self.close, 0)
        if self.number is not None:
            number = self.number
            self.number = None
            self._owner.remove(number)
