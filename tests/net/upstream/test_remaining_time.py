"""The remaining time that is sent to a server with an attempt, if the connect takes long."""

from __future__ import annotations

import math
from typing import Any

from twisted.internet.defer import inlineCallbacks

from tests.net.upstream.pool_case import PoolTestCase
from thornjunction import interface as api
from thornjunction.net.event_loop.timer_service import core_ms

TIMEOUT_MS = 900.0


class RemainingTimeTest(PoolTestCase):
    @inlineCallbacks
    def send_before_slow_connect(self, number: int, connect_ms: float) -> Any:
        """Send an attempt whose connect takes ``connect_ms``; return its outcome."""
        start_ms = core_ms()
        self.pool.context.clock = lambda: start_ms
        self.send(number, timeout_ms=TIMEOUT_MS, start_within_ms=math.inf)
        self.pool.context.clock = lambda: start_ms + connect_ms
        yield self.wait_for_outcomes()
        self.pool.context.clock = core_ms
        yield self.environment.close_upstream_connections()
        return self.outcomes.pop()

    @inlineCallbacks
    def test_is_the_timeout_minus_the_connect_time(self) -> Any:
        for number, connect_ms in enumerate((0.0, 150.0, 400.0, 890.0)):
            outcome = yield self.send_before_slow_connect(number, connect_ms)
            assert outcome == (number, api.AttemptStatus.SUCCEEDED)
            fields = dict(
                pair.split(b"=")
                for pair in self.environment.forwarded_requests()[-1].arguments[0].split(b",")
            )
            assert fields[b"max"] == b"%d" % (TIMEOUT_MS - connect_ms), connect_ms

    @inlineCallbacks
    def test_an_attempt_with_under_5_ms_left_is_not_started(self) -> Any:
        outcome = yield self.send_before_slow_connect(1, 896.0)
        assert outcome == (1, api.AttemptStatus.NOT_STARTED)
        assert self.environment.forwarded_requests() == []
