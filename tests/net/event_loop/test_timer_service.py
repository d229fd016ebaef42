"""The service that runs deadlines on the reactor."""

from __future__ import annotations

from twisted.internet.task import Clock

from thornjunction.net.event_loop.timer_service import TimerService, core_ms


def divide_by_zero() -> None:
    _ = 1 / 0


def test_a_failing_deadline_does_not_keep_others_from_running() -> None:
    reactor = Clock()
    timers = TimerService(reactor)
    ran: list[str] = []
    timers.deadlines.add(core_ms() - 1.0, divide_by_zero)
    timers.deadlines.add(core_ms() - 1.0, lambda: ran.append("due"))
    timers.deadlines.add(core_ms() + 60_000.0, lambda: ran.append("later"))
    reactor.advance(0.0)
    assert ran == ["due"]
    assert len(reactor.getDelayedCalls()) == 1  # for the later deadline
