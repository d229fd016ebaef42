"""Connections that break, stall or receive unexpected bytes, and the outcomes of the attempts in flight."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from unittest.mock import patch

from fakes.loopback_environment import FakeCacheServerConnection
from twisted.internet.defer import inlineCallbacks
from twisted.internet.error import ConnectionDone

from tests.net.upstream.pool_case import PoolTestCase
from thornjunction import interface as api
from thornjunction.net.upstream import dispatcher
from thornjunction.net.upstream.connection import (
    IDLE_TIMEOUT_SHARE,
    MAX_LINGER_MS,
    MAX_STALLED_WRITE_MS,
)
from thornjunction.net.wire.resp import encode_array

UNKNOWN_RESPONSE = encode_array((b"n", b"DONE", b"-", b"x"))
BODY_AND_LINE_END_BYTES = 7


class BrokenConnectionTest(PoolTestCase):
    @inlineCallbacks
    def assert_reset(
        self, break_connection: Callable[[FakeCacheServerConnection], None], also_sent: int = 0
    ) -> Any:
        """Check that attempts in flight end as reset, and that the next succeeds on another connection."""
        server_connection = yield self.send_unanswered(1)
        break_connection(server_connection)
        for number in range(2, 2 + also_sent):
            self.send(number)
        yield self.environment.wait_until(lambda: not len(self.pool.connections))
        in_flight = range(1, 2 + also_sent)
        assert self.outcomes == [(number, api.AttemptStatus.CONNECTION_RESET) for number in in_flight]
        self.outcomes.clear()
        self.send(1)
        yield self.wait_for_outcomes()
        assert self.outcomes == [(1, api.AttemptStatus.SUCCEEDED)]

    @inlineCallbacks
    def assert_reset_by(self, data: bytes) -> Any:
        yield self.assert_reset(lambda server_connection: server_connection.transport.write(data))

    @inlineCallbacks
    def test_server_closes_within_a_response(self) -> Any:
        def close(server_connection: FakeCacheServerConnection) -> None:
            server_connection.transport.write(UNKNOWN_RESPONSE[:7])
            server_connection.transport.loseConnection()

        yield self.assert_reset(close)

    @inlineCallbacks
    def test_server_resets_the_connection(self) -> Any:
        yield self.assert_reset(lambda server_connection: server_connection.transport.abortConnection())

    @inlineCallbacks
    def test_server_closes_as_a_request_is_written(self) -> Any:
        yield self.assert_reset(
            lambda server_connection: server_connection.transport.socket.shutdown(2), also_sent=1
        )

    @inlineCallbacks
    def test_response_is_longer_than_its_bound(self) -> Any:
        yield self.assert_reset_by(UNKNOWN_RESPONSE[:-BODY_AND_LINE_END_BYTES] + b"$240001\r\nxx")

    @inlineCallbacks
    def test_server_sends_unexpected_responses_endlessly(self) -> Any:
        yield self.assert_reset_by(UNKNOWN_RESPONSE * 99)

    @inlineCallbacks
    def test_fields_are_longer_than_their_bound(self) -> Any:
        yield self.assert_reset_by(encode_array((b"t", b"DONE", b"a=" + b"x" * 4095, b"x")))

    @inlineCallbacks
    def test_a_field_contains_a_line_break(self) -> Any:
        yield self.assert_reset_by(encode_array((b"t", b"DONE", b"rev=a\r\nb", b"x")))

    @inlineCallbacks
    def test_a_response_has_three_items(self) -> Any:
        yield self.assert_reset_by(encode_array((b"t", b"DONE", b"-")))

    @inlineCallbacks
    def test_a_stream_id_is_not_ascii(self) -> Any:
        yield self.assert_reset_by(encode_array((b"\xff", b"DONE", b"-", b"x")))


class StalledWriteTest(PoolTestCase):
    @inlineCallbacks
    def test_a_cancelled_attempt_is_not_sent_to_a_server_that_reads_late(self) -> Any:
        server_connection = yield self.send_unanswered(0)
        server_connection.transport.pauseProducing()
        self.environment.script = [None] * 999
        (connection,) = self.pool.connections
        self.set_limits(max_streams=999)
        number = 0
        with patch.object(dispatcher, "MAX_CONNECTIONS_IF_LOADED", 1):
            while not connection.has_unsent_bytes:
                number += 1
                self.send(number, body=b"x" * 100_000)
            assert not connection.can_take("new")
            self.pool.cancel(number)
            self.environment.run_pool_deadlines(MAX_STALLED_WRITE_MS)
            yield self.wait_for_outcomes()
        assert self.outcomes == [(sent, api.AttemptStatus.CONNECTION_RESET) for sent in range(number)]
        server_connection.transport.resumeProducing()
        yield self.environment.wait_until(lambda: server_connection.disconnect_error)
        assert f"t{number}".encode() not in self.received_transaction_ids()


class DuplicateResponseTest(PoolTestCase):
    @inlineCallbacks
    def test_does_not_end_the_next_attempt_of_the_same_transaction(self) -> Any:
        first = yield self.send_unanswered(1, transaction_id="same")
        first.send_answer(b"same", b"WAIT")
        yield self.wait_for_outcomes()
        second = yield self.send_unanswered(2, transaction_id="same")
        first.send_answer(b"same", b"WAIT")
        second.send_answer(b"same", b"DONE", b"x")
        yield self.wait_for_outcomes(2)
        assert self.outcomes == [(1, api.AttemptStatus.OVERLOADED), (2, api.AttemptStatus.SUCCEEDED)]


class IdleCloseTest(PoolTestCase):
    @inlineCallbacks
    def close_idle_connection(self) -> Any:
        """Close an idle connection while the server sends a partial response; return the server's side."""
        self.send(1)
        yield self.wait_for_outcomes()
        server_connection = self.environment.server_connections[-1]
        (connection,) = self.pool.connections
        self.environment.run_pool_deadlines(IDLE_TIMEOUT_SHARE * self.pool.context.limits.idle_timeout_ms)
        server_connection.transport.write(encode_array((b"t1", b"DONE", b"x", b""))[:9])
        assert not connection.can_take("new")
        return server_connection

    @inlineCallbacks
    def test_late_bytes_do_not_reset_the_server(self) -> Any:
        server_connection = yield self.close_idle_connection()
        yield self.environment.wait_until(lambda: not len(self.pool.connections))
        yield self.environment.wait_until(lambda: server_connection.disconnect_error)
        assert isinstance(server_connection.disconnect_error, ConnectionDone)

    @inlineCallbacks
    def test_ends_in_bounded_time_if_the_server_does_not_read(self) -> Any:
        server_connection = yield self.close_idle_connection()
        server_connection.transport.pauseProducing()
        idle_close_ms = IDLE_TIMEOUT_SHARE * self.pool.context.limits.idle_timeout_ms
        self.environment.run_pool_deadlines(idle_close_ms + MAX_LINGER_MS)
        yield self.environment.wait_until(lambda: not len(self.pool.connections))
