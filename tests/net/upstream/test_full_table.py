"""A full table of connections to servers, which evicts idle connections and keeps busy ones."""

from __future__ import annotations

import math
from typing import Any

from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.error import ConnectionDone

from tests.net.upstream.pool_case import PoolTestCase
from thornjunction import interface as api
from thornjunction.memory.budget import ByteBudget
from thornjunction.net.event_loop.timer_service import core_ms
from thornjunction.net.upstream.connection_pool import ConnectionPool
from thornjunction.net.upstream.context import PoolLimits
from thornjunction.net.wire.commands import Host

# Arguments of each attempt, which may start at any time within its timeout.
DETAILS = {"timeout_ms": 900.0, "start_within_ms": math.inf}


class FullTableTest(PoolTestCase):
    def list_servers(self, count: int, capacity: int) -> None:
        """Use a pool of at most ``capacity`` connections, and list ``count`` servers at one address."""
        limits = PoolLimits(
            max_streams=4, connect_timeout_ms=400.0, idle_timeout_ms=15_000.0, max_connections=capacity
        )
        deadlines = self.environment.timer_service.deadlines
        self.environment.pool = ConnectionPool(reactor, limits, deadlines, core_ms, ByteBudget(1_000_000))
        self.pool.report_to(self)
        address = ("127.0.0.1", self.environment.ports[0].getHost().port)
        state = api.ServerState.SERVING
        hosts = (Host(f"e{number}", address, "here", "x", 0, state, 8.0, 0.0) for number in range(count))
        self.pool.update(tuple(hosts), True)

    @inlineCallbacks
    def send_and_wait(self, number: int, server: str) -> Any:
        """Send an attempt and run the reactor until its outcome is reported."""
        self.send(number, server=server, **DETAILS)
        yield self.environment.wait_until(lambda: number in dict(self.outcomes))

    @inlineCallbacks
    def test_more_servers_than_slots_are_all_reached_within_the_bound(self) -> Any:
        """The servers are reached one by one, twice; evicted connections end with an orderly close."""
        self.list_servers(count=40, capacity=16)
        most_connections = 0
        for number in range(80):
            yield self.send_and_wait(number, f"e{number % 40}")
            most_connections = max(most_connections, len(self.pool.connections))
        assert dict(self.outcomes) == dict.fromkeys(range(80), api.AttemptStatus.SUCCEEDED)
        assert most_connections <= 16 + 16 // 8
        yield self.environment.wait_until(
            lambda: (
                sum(
                    connection.disconnect_error is not None
                    for connection in self.environment.server_connections
                )
                == 80 - 16
            )
        )
        disconnect_errors = [
            connection.disconnect_error
            for connection in self.environment.server_connections
            if connection.disconnect_error is not None
        ]
        assert {type(error) for error in disconnect_errors} == {ConnectionDone}

    @inlineCallbacks
    def test_a_busy_connection_is_never_evicted(self) -> Any:
        self.list_servers(count=4, capacity=2)
        busy = yield self.send_unanswered(0, server="e0", **DETAILS)
        yield self.send_and_wait(1, "e1")
        yield self.send_and_wait(2, "e2")  # evicts the connection to e1, which is idle
        yield self.send_unanswered(3, server="e2", **DETAILS)
        self.send(4, server="e3", **DETAILS)
        assert self.outcomes.pop() == (4, api.AttemptStatus.NOT_STARTED)  # no connection is idle
        busy.send_answer(b"t0", b"DONE", b"x")
        yield self.environment.wait_until(lambda: 0 in dict(self.outcomes))
        yield self.send_and_wait(5, "e3")
        assert dict(self.outcomes) == dict.fromkeys((0, 1, 2, 5), api.AttemptStatus.SUCCEEDED)
