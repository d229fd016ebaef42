"""Attempts that wait for a connect: how the wait ends, and that none starts after its end."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import inlineCallbacks

from tests.net.upstream.pool_case import PoolTestCase, connects_in_progress
from thornjunction import interface as api
from thornjunction.net.event_loop.timer_service import core_ms

# Longer than the 1 s after which the system repeats a connect.
LONG_CONNECT_TIMEOUT_MS = 9000.0

START_LIMIT_MS = 8000.0


class WaitingAttemptTest(PoolTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.set_limits(connect_timeout_ms=LONG_CONNECT_TIMEOUT_MS)

    @inlineCallbacks
    def send_waiting(self, **details: Any) -> Any:
        """Send attempt 1 to a server that accepts no connection yet; return the server's listener."""
        listener = self.environment.make_unresponsive("edge1")
        self.send(1, **details)
        yield self.environment.wait_until(connects_in_progress)
        self.connects = connects_in_progress()
        return listener

    def assert_connects_open(self, expected: bool) -> None:
        assert [connect.fileno() >= 0 for connect in self.connects] == [expected]

    @inlineCallbacks
    def assert_never_received(self, listener: Any, server: str) -> Any:
        """Let connects succeed, and check that the server receives a later attempt but not attempt 1."""
        listener.start_accepting()
        if server == "edge1":
            yield self.environment.wait_until(lambda: len(self.pool.connections))
        self.send(3, server=server, transaction_id="later")
        yield self.environment.wait_until(lambda: (3, api.AttemptStatus.SUCCEEDED) in self.outcomes)
        yield self.environment.close_upstream_connections()
        assert self.received_transaction_ids() == [b"later"]

    @inlineCallbacks
    def test_is_not_started_at_its_start_limit_and_the_connect_continues(self) -> Any:
        listener = yield self.send_waiting(start_within_ms=START_LIMIT_MS)
        self.environment.run_pool_deadlines(START_LIMIT_MS)
        assert self.outcomes == [(1, api.AttemptStatus.NOT_STARTED)]
        self.assert_connects_open(True)
        yield self.assert_never_received(listener, "edge1")

    @inlineCallbacks
    def test_is_not_started_if_the_event_loop_runs_after_its_start_limit(self) -> Any:
        listener = yield self.send_waiting(start_within_ms=START_LIMIT_MS)
        self.pool.context.clock = lambda: core_ms() + START_LIMIT_MS
        assert self.outcomes == []
        self.assert_connects_open(True)
        yield self.assert_never_received(listener, "edge1")
        assert self.outcomes[0] == (1, api.AttemptStatus.NOT_STARTED)

    @inlineCallbacks
    def test_is_not_reported_after_it_was_withdrawn_and_the_connect_continues(self) -> Any:
        listener = yield self.send_waiting()
        assert self.pool.withdraw(1)
        assert self.outcomes == []
        self.assert_connects_open(True)
        yield self.assert_never_received(listener, "edge1")
        assert self.outcomes == [(3, api.AttemptStatus.SUCCEEDED)]

    @inlineCallbacks
    def test_is_not_started_if_its_server_drains(self) -> Any:
        listener = yield self.send_waiting()
        self.environment.list_servers(api.ServerState.DRAINING, edge1=listener.address)
        assert self.outcomes == [(1, api.AttemptStatus.NOT_STARTED)]
        self.assert_connects_open(False)
        self.send(2)
        assert self.outcomes[1:] == [(2, api.AttemptStatus.NOT_STARTED)]
        yield self.assert_never_received(listener, "origin")

    @inlineCallbacks
    def test_is_not_started_if_its_server_is_removed(self) -> Any:
        listener = yield self.send_waiting()
        self.environment.list_servers(api.ServerState.REMOVED)
        assert self.outcomes == [(1, api.AttemptStatus.NOT_STARTED)]
        self.assert_connects_open(False)
        yield self.assert_never_received(listener, "origin")

    @inlineCallbacks
    def test_is_not_started_if_its_server_moves_to_another_address(self) -> Any:
        listener = yield self.send_waiting()
        self.environment.list_servers()
        assert self.outcomes == [(1, api.AttemptStatus.NOT_STARTED)]
        self.assert_connects_open(False)
        yield self.assert_never_received(listener, "origin")

    @inlineCallbacks
    def test_is_refused_if_no_connection_is_established_in_time(self) -> Any:
        listener = yield self.send_waiting()
        self.environment.run_pool_deadlines(LONG_CONNECT_TIMEOUT_MS)
        assert self.outcomes == [(1, api.AttemptStatus.CONNECTION_REFUSED)]
        self.assert_connects_open(False)
        yield self.assert_never_received(listener, "origin")


class FailedConnectTest(PoolTestCase):
    @inlineCallbacks
    def fail_connect_beside_busy_connection(self, server_responds: bool) -> Any:
        """Time out the connect of attempt 3 while attempt 2 is in flight; return the outcome of attempt 3."""
        listener = self.environment.make_unresponsive("edge1")
        listener.start_accepting()
        self.set_limits(max_streams=1, connect_timeout_ms=LONG_CONNECT_TIMEOUT_MS)
        server_connection = yield self.send_unanswered(0)
        listener.stop_accepting()
        self.send(1)  # waits for a connect, as the connection takes one stream
        server_connection.send_answer(b"t0", b"DONE", b"x")
        yield self.wait_for_outcomes(2)
        assert self.outcomes == [(0, api.AttemptStatus.SUCCEEDED), (1, api.AttemptStatus.SUCCEEDED)]
        # The connect times out while no attempt waits for it.
        self.environment.run_pool_deadlines(LONG_CONNECT_TIMEOUT_MS)
        server_connection = yield self.send_unanswered(2)
        self.send(3)
        if server_responds:
            server_connection.send_answer(b"unknown", b"DONE", b"x")
            yield self.environment.wait_until(
                lambda: any(connection.unexpected_responses for connection in self.pool.connections)
            )
        self.outcomes.clear()
        self.environment.run_pool_deadlines(LONG_CONNECT_TIMEOUT_MS)
        (outcome,) = self.outcomes
        return outcome

    @inlineCallbacks
    def test_does_not_count_against_a_server_that_responds_in_the_meantime(self) -> Any:
        outcome = yield self.fail_connect_beside_busy_connection(server_responds=True)
        assert outcome == (3, api.AttemptStatus.NOT_STARTED)

    @inlineCallbacks
    def test_counts_against_a_server_that_does_not_respond_in_the_meantime(self) -> Any:
        outcome = yield self.fail_connect_beside_busy_connection(server_responds=False)
        assert outcome == (3, api.AttemptStatus.CONNECTION_REFUSED)

    def test_is_reported_by_the_next_attempt_if_all_waiting_ones_were_withdrawn(self) -> None:
        self.environment.make_unresponsive("edge1")
        self.send(1)
        self.pool.withdraw(1)
        self.environment.run_pool_deadlines(self.pool.context.limits.connect_timeout_ms)
        self.send(2)
        assert self.outcomes == [(2, api.AttemptStatus.CONNECTION_REFUSED)]
        assert self.pool.upstreams["edge1"].waiting == {}
