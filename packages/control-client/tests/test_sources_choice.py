"""Whom to poll: each reason to leave, the way back, and what bounds both."""

from __future__ import annotations

from typing import Any

import pytest
from control_client import Answered, Ask, Failed, Leave, Polled, Probe, Sources, SourceTimes
from hypothesis import given, settings
from hypothesis import strategies as st
from sansio_core import SetTimer, Started, TimerFired
from sources_world import TIMES, World

fixed = settings(derandomize=True, deadline=None, max_examples=150, database=None)
WITHIN_MS = 2000.0  # a router is at another source
MINUTE_MS = 60_000.0


@pytest.mark.parametrize("way", ["dead", "hung", "bare"])
def test_a_source_that_does_not_answer_is_left_for_the_next(way: str) -> None:
    world = World(3)
    world.run(5000.0)
    world.way(0, way)
    failed_at = world.now
    world.run(WITHIN_MS)
    assert [at for _, at, _ in world.asked] == [0, 1] and world.asked[1][0] - failed_at < WITHIN_MS


def test_the_next_may_be_dead_as_well() -> None:
    world = World(3)
    world.way(0, "dead")
    world.way(1, "bare")
    world.run(100.0)
    assert [at for _, at, _ in world.asked] == [0, 1, 2] and world.current() == 2


def test_sources_that_are_slow_as_many_come_are_not_asked_in_turn_for_whole_states() -> None:
    world = World(2)
    world.run(5000.0)
    world.way(0, "hung")
    world.way(1, "hung")
    world.run(MINUTE_MS)
    left = [at for at, _, why in world.asked if why == "silent"]
    gaps = [later - earlier for earlier, later in zip(left, left[1:], strict=False)]
    assert 2 * TIMES.silent_ms <= gaps[0] < gaps[1] <= max(gaps) <= TIMES.most_silent_ms + TIMES.again_ms
    assert len(left) <= MINUTE_MS / TIMES.most_silent_ms + 3
    world.way(1, "up")
    world.run(2 * TIMES.most_silent_ms)
    assert world.current() == 1
    world.way(0, "up")
    world.way(1, "hung")
    hung_at = world.now
    world.run(WITHIN_MS)  # one answer, and the next that hangs is left as soon as ever
    assert world.asked[-1][0] - hung_at < WITHIN_MS and world.current() == 0


def test_a_source_that_falls_behind_is_left_where_another_is_younger() -> None:
    world = World(3)
    world.run(5000.0)
    world.stick(0, world.now)
    behind_at = world.now + TIMES.behind_ms
    world.run(TIMES.behind_ms + WITHIN_MS)
    assert [at for _, at, _ in world.asked] == [0, 1] and world.asked[1][0] - behind_at < WITHIN_MS


def test_where_all_are_behind_the_youngest_is_taken_and_others_are_looked_at_now_and_then() -> None:
    world = World(3)
    world.run(5000.0)
    for at, ago_ms in enumerate((9000.0, 4000.0, 9000.0)):
        world.stick(at, world.now - ago_ms)
    world.run(WITHIN_MS)
    assert world.current() == 1
    world.probes.clear()
    world.run(10.0 * MINUTE_MS)
    assert [at for _, at, _ in world.asked] == [0, 1]
    assert 2 * 30 <= len(world.probes) <= 2 * 100  # of each, in ten minutes
    world.stuck.pop(world.addresses[2])
    world.run(TIMES.most_look_ms + 1.0)
    assert world.current() == 2


def test_where_all_are_equally_behind_nobody_moves() -> None:
    world = World(2)
    world.run(5000.0)
    for at in range(2):
        world.stick(at, world.now - 300.0 * (1 - at))
    world.run(5.0 * MINUTE_MS)
    assert [at for _, at, _ in world.asked] == [0]


def test_an_older_source_is_left_where_another_is_younger() -> None:
    world = World(2)
    world.run(5000.0)
    world.stick(0, world.now - 1500.0)  # not behind, but older than what is held
    world.feed(Answered(world.addresses[0], 1500.0, older=True))
    world.run(10.0)
    assert world.current() == 1


def test_the_first_is_gone_back_to_after_it_has_answered_well_and_not_by_all_at_once() -> None:
    back = []
    for seed in range(200):
        world = World(2, seed=seed)
        world.run(5000.0)
        world.way(0, "dead")
        world.run(1000.0)
        world.way(0, "up")
        up_at = world.now
        world.run(2.0 * TIMES.good_ms + TIMES.spread_ms)
        assert [at for _, at, _ in world.asked] == [0, 1, 0], world.asked
        assert world.asked[-1][2] == "back" and world.machine.moves == 2
        back.append(world.asked[-1][0] - up_at)
    assert min(back) >= TIMES.good_ms
    most = max(sum(start <= at < start + 1000.0 for at in back) for start in back)
    assert most <= 40, f"{most} of 200 within one second"


def test_a_break_in_the_answers_of_an_earlier_source_counts_from_the_start() -> None:
    world = World(2)
    world.way(0, "dead")
    world.run(100.0)
    for _ in range(20):
        world.way(0, "up")
        world.run(0.6 * TIMES.good_ms)
        world.way(0, "dead")
        world.run(2.0 * TIMES.most_look_ms)
    assert [at for _, at, _ in world.asked] == [0, 1]


def test_a_source_that_comes_and_goes_is_asked_less_and_less() -> None:
    world = World(2)
    while world.now < 60.0 * MINUTE_MS:
        world.run(100.0)
        if world.current() == 0:
            world.run(3000.0)
            world.way(0, "dead")
            world.run(100.0)
            world.way(0, "up")
    assert 10 <= world.machine.moves <= 60  # in an hour; without the growing wait some 300


def test_ages_that_cross_again_and_again_bound_the_moves() -> None:
    world = World(2)
    while world.now < 10.0 * MINUTE_MS:
        current = world.current()
        world.stick(current, world.now - 5000.0)
        world.stuck.pop(world.addresses[1 - current], None)
        world.run(3000.0)
    assert world.machine.moves <= 40  # without the growing rest 200


def test_all_down_costs_few_dials_and_the_first_that_is_back_is_asked() -> None:
    for first in range(3):
        world = World(3)
        world.run(5000.0)
        for at in range(3):
            world.way(at, "dead")
        world.asked.clear()
        world.run(MINUTE_MS)
        assert 3 * 25 <= len(world.asked) <= 3 * 70
        world.way(first, "up")
        world.run(WITHIN_MS)
        assert world.current() == first
        world.run(0.9 * TIMES.good_ms)
        assert world.current() == first


def test_siblings_are_asked_only_where_no_upstream_answers() -> None:
    world = World(2, siblings=2)
    world.way(0, "dead")
    world.run(MINUTE_MS)
    world.stick(1, world.now - 9000.0)
    world.run(MINUTE_MS)
    assert {at for _, at, _ in world.asked} == {0, 1} == {at for _, at in world.probes} | {0, 1}
    world.way(1, "bare")
    world.run(WITHIN_MS)
    assert world.current() == 2
    world.way(2, "hung")
    world.run(WITHIN_MS)
    assert world.current() == 3
    world.stuck.clear()
    world.way(1, "up")
    world.run(TIMES.most_look_ms + TIMES.sibling_spread_ms)
    assert world.current() == 1


def test_an_upstream_that_fails_once_is_asked_again_before_a_sibling() -> None:
    world = World(1, siblings=1)
    world.run(5000.0)
    world.way(0, "dead")
    world.way(0, "up")
    world.run(WITHIN_MS)
    assert [at for _, at, _ in world.asked] == [0, 0]


def test_a_process_that_was_late_itself_reads_before_it_judges() -> None:
    machine, source = Sources([("a", 1), ("b", 1)], lambda: 0.5), ("a", 1)
    machine.handle(0.0, Started())
    machine.handle(1.0, Answered(source, 0.0))
    machine.handle(1.0, Polled(source))
    (timer,) = [action for action in machine.handle(1.0, Polled(source)) if isinstance(action, SetTimer)] or [
        SetTimer(0.0, machine._token)
    ]
    late = machine.handle(60_000.0, TimerFired(timer.token))
    assert not [action for action in late if isinstance(action, Leave)]
    machine.handle(60_001.0, Answered(source, 0.0))
    machine.handle(60_001.0, Polled(source))
    assert machine.current is not None and machine.current.address == source


def test_sources_are_named_once_and_there_are_some() -> None:
    for given_ in ([], [("a", 1)] * 2, [("a", port) for port in range(17)]):
        with pytest.raises(ValueError, match="sources"):
            Sources(given_, lambda: 0.0)
    with pytest.raises(ValueError, match="silent_ms"):
        SourceTimes(silent_ms=0.0)


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["answer", "older", "fail", "probe", "unprobe", "poll", "time", "late"]),
        st.integers(0, 3),
        st.sampled_from([0.0, 1.0, 900.0, 2500.0, 20_000.0]),
    ),
    max_size=30,
)


@given(EVENTS)
@fixed
def test_whatever_comes_one_source_is_asked_and_work_is_bounded(events: list[tuple[str, int, float]]) -> None:
    addresses = [("127.0.0.1", port) for port in range(1, 5)]
    machine = Sources(addresses[:3], lambda: 0.3, addresses[3:])
    now, asked, timers = 0.0, None, dict[int, float]()

    def feed(event: Any) -> None:
        nonlocal asked
        if isinstance(event, Failed) and not event.probe and event.source == asked:
            asked = None
        actions = machine.handle(now, event)
        assert len(actions) <= 2 * len(addresses) + 6
        for action in actions:
            if isinstance(action, SetTimer):
                timers[action.token] = now + action.in_ms
            elif isinstance(action, Ask):
                assert asked is None
                asked = action.source
            elif isinstance(action, Leave):
                assert asked == action.source
                asked = None
            elif isinstance(action, Probe):
                assert action.source != asked

    feed(Started())
    for what, at, ms in events:
        source = addresses[at]
        if what in ("time", "late"):
            until = now + ms
            while timers and min(timers.values()) <= until:
                token = min(timers, key=lambda token: timers[token])
                due = timers.pop(token)
                now = max(now, due) if what == "time" else until
                feed(TimerFired(token))
            now = until
        else:
            feed(
                {
                    "answer": Answered(source, ms),
                    "older": Answered(source, ms, older=True),
                    "fail": Failed(source, "x"),
                    "probe": Answered(source, ms, probe=True),
                    "unprobe": Failed(source, "x", probe=True),
                    "poll": Polled(source),
                }[what]
            )
        assert timers or asked, "nothing would wake it"
    assert len(timers) <= 40
