"""After any sequence of events at most one source is polled, and the work stays bounded."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from control_client import (
    PollAnswered,
    PollFailed,
    PollSent,
    ProbeAnswered,
    ProbeFailed,
    SelectorEvent,
    SendProbe,
    SourceSelector,
    StartPolling,
    StopPolling,
)
from hypothesis import given, settings
from hypothesis import strategies as st
from sansio_core import Address, SetTimer, Started, TimerFired

deterministic = settings(derandomize=True, deadline=None, max_examples=150, database=None)


class EventFeeder:
    """Feeds events to a selector, and checks its actions."""

    def __init__(self) -> None:
        self.addresses = [("127.0.0.1", port) for port in range(1, 5)]
        self.selector = SourceSelector(self.addresses[:3], lambda: 0.3, self.addresses[3:])
        self.now = 0.0
        self.polled: Address | None = None
        self.timers: dict[int, float] = {}
        self.feed(Started())

    def feed(self, event: SelectorEvent) -> None:
        if isinstance(event, PollFailed) and event.source == self.polled:
            self.polled = None
        actions = self.selector.handle(self.now, event)
        assert len(actions) <= 2 * len(self.addresses) + 6
        for action in actions:
            match action:
                case SetTimer(in_ms, token):
                    self.timers[token] = self.now + in_ms
                case StartPolling(source):
                    assert self.polled is None
                    self.polled = source
                case StopPolling(source):
                    assert self.polled == source
                    self.polled = None
                case SendProbe(source):
                    assert source != self.polled

    def pass_time(self, ms: float, *, process_is_late: bool) -> None:
        until = self.now + ms
        while self.timers and min(self.timers.values()) <= until:
            token = min(self.timers, key=lambda token: self.timers[token])
            due_ms = self.timers.pop(token)
            self.now = until if process_is_late else max(self.now, due_ms)
            self.feed(TimerFired(token))
        self.now = until


SOURCE_EVENTS: list[Callable[[Address, float], SelectorEvent]] = [
    PollAnswered,
    lambda source, age_ms: PollAnswered(source, age_ms, is_stale=True),
    lambda source, _: PollFailed(source, "x"),
    ProbeAnswered,
    lambda source, _: ProbeFailed(source),
    lambda source, _: PollSent(source),
]
STEPS = st.tuples(
    st.sampled_from([*SOURCE_EVENTS, "time passes", "process is late"]),
    st.integers(0, 3),
    st.sampled_from([0.0, 1.0, 900.0, 2500.0, 20_000.0]),
)


@given(st.lists(STEPS, max_size=30))
@deterministic
def test_any_events_lead_to_one_polled_source_and_bounded_work(steps: list[tuple[Any, int, float]]) -> None:
    feeder = EventFeeder()
    for step, source, ms in steps:
        if isinstance(step, str):
            feeder.pass_time(ms, process_is_late=step == "process is late")
        else:
            feeder.feed(step(feeder.addresses[source], ms))
        assert feeder.timers or feeder.polled, "no timer would wake the selector"
    assert len(feeder.timers) <= 40
