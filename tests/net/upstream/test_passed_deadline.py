"""The time that a server is told its client has left, where the connection comes up late."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import inlineCallbacks
from twisted.trial.unittest import TestCase

from tests.loopback import make_loopback_environment
from thornjunction import interface as api
from thornjunction.core.ports import ClientRequest, UpstreamRequest
from thornjunction.net.event_loop.timer_service import core_ms

LEFT_MS = 900.0


class PassedDeadlineTest(TestCase):
    timeout = 30

    def setUp(self) -> None:
        self.rig, self.told = make_loopback_environment(), list[tuple[int, api.AttemptStatus]]()
        self.addCleanup(self.rig.stop)
        self.pool, self.pool.ends = self.rig.pool, self

    def attempt_ended(
        self, number: int, status: api.AttemptStatus, content: Any = None, report: Any = None
    ) -> None:
        self.told.append((number, status))

    @inlineCallbacks
    def sent_late(self, number: int, late_ms: float) -> Any:
        """One attempt whose dial comes up so late; its end."""
        start = core_ms()
        self.pool.clock = lambda: start
        call = ClientRequest(f"t{number}", "films", "00000000000000ff", LEFT_MS)
        self.pool.send(UpstreamRequest(number, call, api.StartAttempt("r", "edge1", LEFT_MS, "origin")))
        self.pool.clock = lambda: start + late_ms
        yield self.rig.wait_until(lambda: self.told)
        self.pool.clock = core_ms
        yield self.rig.close_upstream_connections()
        return self.told.pop()

    @inlineCallbacks
    def test_a_late_dial_passes_what_is_left_then(self) -> Any:
        for number, late_ms in enumerate((0.0, 150.0, 400.0, 890.0)):
            end = yield self.sent_late(number, late_ms)
            self.assertEqual(end, (number, api.AttemptStatus.SUCCEEDED))
            fields = dict(
                pair.split(b"=") for pair in self.rig.forwarded_requests()[-1].arguments[0].split(b",")
            )
            self.assertEqual(fields[b"max"], b"%d" % (LEFT_MS - late_ms), late_ms)

    @inlineCallbacks
    def test_with_next_to_nothing_left_it_is_not_begun(self) -> Any:
        end = yield self.sent_late(1, 896.0)
        self.assertEqual((end, self.rig.forwarded_requests()), ((1, api.AttemptStatus.NOT_STARTED), []))
