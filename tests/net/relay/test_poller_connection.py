"""Connections that poll a relay: answered and rejected polls, and their responses."""

from __future__ import annotations

from fakes.event_loop import Steps, wait_until
from twisted.internet.defer import inlineCallbacks

from tests.net.relay.poller_test_case import POLL, SMALL_RECEIVE_BUFFER_BYTES, PollerTestCase
from thornjunction.net.relay.poller_connection import MAX_HEAD_BYTES, READ_TIMEOUT_MS, WRITE_BYTES
from thornjunction.net.relay.poller_table import CHECK_INTERVAL_MS
from thornjunction.net.wire.polls import Poll

STATUS_DIGITS = slice(9, 12)
UNREAD_BODY = b"x" * 8_000_000

# Requests that are not polls, with the status of their responses.
REJECTED_REQUESTS = {
    b"GET /cmd HTTP/1.1\r\n\r\n": b"404",
    b"GET /cmd/next?resume=x HTTP/1.1\r\n\r\n": b"400",
    b"POST /cmd/next?resume=1 HTTP/1.1\r\n\r\n": b"405",
    b"GET /cmd/next?resume=1 HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello": b"413",
    b"\x00\xff\r\n\r\n": b"400",
    POLL + POLL: b"400",
    b"GET /cmd/next?resume=1 HTTP/1.1\r\na: " + b"b" * MAX_HEAD_BYTES: b"431",
}


class PollerConnectionTest(PollerTestCase):
    @inlineCallbacks
    def test_polls_are_answered_one_after_another(self) -> Steps[None]:
        client, connection = yield self.open_connection(POLL)
        number = connection.number
        for count in range(3):
            body = b'{"n":%d}' % count
            assert self.polls[-1] == (number, Poll(3, 1200))
            self.pollers.respond(number, body)
            response = yield self.receive(client, lambda received, body=body: received.endswith(body))
            assert response.startswith(b"HTTP/1.1 200 OK\r\n")
            assert b"Connection" not in response
            client.sendall(POLL)
            yield wait_until(lambda count=count: len(self.polls) == count + 2)
        self.pollers.respond(99, b"{}")  # to a connection that does not exist
        client.close()
        yield wait_until(lambda: self.disconnected)
        assert (self.disconnected, self.pollers.budget.reserved_bytes) == ([number], 0)

    @inlineCallbacks
    def test_a_response_in_many_parts_is_complete_and_followed_by_the_next_poll(self) -> Steps[None]:
        client, connection = yield self.open_connection(POLL)
        for size in (WRITE_BYTES - 1, WRITE_BYTES, 3 * WRITE_BYTES + 1, 0):
            body = bytes(number % 251 for number in range(size))
            end = b"\r\n\r\n" + body
            self.pollers.respond(connection.number, body)
            response = yield self.receive(client, lambda received, end=end: received.endswith(end))
            assert b"Content-Length: %d\r\n" % size in response
            polls = len(self.polls)
            client.sendall(POLL)
            yield wait_until(lambda polls=polls: len(self.polls) > polls)
        assert self.pollers.budget.reserved_bytes == 0

    @inlineCallbacks
    def test_a_rejected_poll_is_answered_and_its_connection_ends(self) -> Steps[None]:
        client, connection = yield self.open_connection(POLL)
        self.pollers.reject(connection.number, "no-state")
        response = yield self.receive_all(client)
        assert response.startswith(b"HTTP/1.1 503 ")
        assert b"Connection: close" in response
        assert self.pollers.end_counts["status-503"] == 1

    @inlineCallbacks
    def test_a_request_that_is_not_a_poll_gets_its_status_and_its_connection_ends(self) -> Steps[None]:
        for data, status in REJECTED_REQUESTS.items():
            response = yield self.receive_all(self.connect(data))
            assert (response[STATUS_DIGITS], data) == (status, data)
        assert (self.polls, self.pollers.connections) == ([], {})

    @inlineCallbacks
    def test_a_poll_before_the_response_ends_the_connection(self) -> Steps[None]:
        client, connection = yield self.open_connection(POLL)
        client.sendall(POLL)
        yield self.receive_all(client)
        assert connection.end_reason == "unanswered-poll"
        assert (self.disconnected, len(self.polls)) == ([1], 1)

    @inlineCallbacks
    def test_a_client_that_does_not_read_buffers_one_response_and_is_closed(self) -> Steps[None]:
        _, connection = yield self.open_connection(POLL, SMALL_RECEIVE_BUFFER_BYTES)
        self.pollers.respond(connection.number, UNREAD_BODY)
        self.manual_clock.advance(CHECK_INTERVAL_MS)
        assert self.pollers.budget.reserved_bytes > len(UNREAD_BODY)
        self.manual_clock.advance(READ_TIMEOUT_MS)
        yield wait_until(lambda: self.disconnected)
        assert (connection.end_reason, self.pollers.budget.reserved_bytes) == ("unread", 0)

    @inlineCallbacks
    def test_a_client_that_does_not_read_and_polls_again_is_closed(self) -> Steps[None]:
        client, connection = yield self.open_connection(POLL, SMALL_RECEIVE_BUFFER_BYTES)
        self.pollers.respond(connection.number, UNREAD_BODY)
        client.sendall(POLL)
        yield wait_until(lambda: self.disconnected)
        assert (connection.end_reason, len(self.polls)) == ("unanswered-poll", 1)
