"""The table of the connections that poll a relay: timeouts, eviction, its byte budget and draining."""

from __future__ import annotations

from fakes.event_loop import Steps, wait_until
from twisted.internet.defer import inlineCallbacks

from tests.net.relay.poller_test_case import (
    IMMEDIATE_BODY,
    POLL,
    SMALL_RECEIVE_BUFFER_BYTES,
    PollerTestCase,
)
from thornjunction.net.relay.poller_connection import POLL_TIMEOUT_MS
from thornjunction.net.relay.poller_table import CHECK_INTERVAL_MS


class PollerTableTest(PollerTestCase):
    @inlineCallbacks
    def test_unread_responses_share_a_budget(self) -> Steps[None]:
        self.pollers.budget.limit_bytes = 10_000_000
        _, first = yield self.open_connection(POLL, SMALL_RECEIVE_BUFFER_BYTES)
        _, second = yield self.open_connection(POLL, SMALL_RECEIVE_BUFFER_BYTES)
        self.pollers.respond(first.number, b"x" * 6_000_000)
        self.pollers.respond(second.number, b"x" * 8_000_000)
        yield wait_until(lambda: self.disconnected)
        assert (first.end_reason, second.end_reason) == ("", "memory")

    @inlineCallbacks
    def test_a_connection_that_never_polls_is_closed(self) -> Steps[None]:
        _, silent = yield self.open_connection()
        _, incomplete = yield self.open_connection(POLL[:-2])
        _, polling = yield self.open_connection(POLL)
        self.manual_clock.advance(POLL_TIMEOUT_MS + CHECK_INTERVAL_MS)
        yield wait_until(lambda: len(self.disconnected) == 2)
        assert (silent.end_reason, incomplete.end_reason) == ("silent", "silent")
        assert polling.end_reason == ""

    @inlineCallbacks
    def test_a_full_table_evicts_the_longest_idle_connection_and_none_that_polls(self) -> Steps[None]:
        _, first_idle = yield self.open_connection()
        self.manual_clock.now_ms += 1.0
        _, second_idle = yield self.open_connection()
        _, third = yield self.open_connection(POLL)
        _, fourth = yield self.open_connection(POLL)
        yield wait_until(lambda: first_idle.end_reason)
        _, fifth = yield self.open_connection(POLL)
        assert (first_idle.end_reason, second_idle.end_reason) == ("evicted", "evicted")
        assert third.end_reason == ""
        yield self.receive_all(self.connect(POLL))
        assert self.pollers.end_counts["table-full"] == 1
        assert (third.end_reason, fourth.end_reason, fifth.end_reason) == ("", "", "")

    @inlineCallbacks
    def test_draining_answers_pending_polls_with_the_current_state(self) -> Steps[None]:
        client, _ = yield self.open_connection(POLL)
        _, idle = yield self.open_connection()
        self.pollers.drain()
        response = yield self.receive_all(client)
        assert response.startswith(b"HTTP/1.1 200 ")
        assert response.endswith(IMMEDIATE_BODY)
        assert b"Connection: close" in response
        yield wait_until(lambda: not self.pollers.connections)
        assert idle.end_reason == "ending"
