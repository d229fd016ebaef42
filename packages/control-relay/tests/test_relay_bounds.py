"""Whatever comes: no exception, bounded memory, answers that can be read, and no event lost."""

from __future__ import annotations

import json
import math
from typing import Any

from control_relay import (
    Answer,
    Attached,
    Confirmed,
    Dismissed,
    ListTold,
    Polled,
    PollerGone,
    PurgeTold,
    Relay,
    RelaySettings,
)
from hypothesis import given, settings
from hypothesis import strategies as st
from relay_driver import BASE, Driver, host
from sansio_core import SetTimer, Started, TimerFired

SMALL = RelaySettings(
    expected=("e",),
    most_purges=16,
    most_shelfs=8,
    most_changes=4,
    most_change_bytes=600,
    most_routers=6,
    most_waiting=5,
    page_bytes=200,
)
odd: st.SearchStrategy[Any] = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(1 << 70), 1 << 70),
    st.floats(),
    st.text(max_size=40),
    st.lists(st.integers(), max_size=3),
)
number = st.one_of(st.integers(BASE - 3, BASE + 40), st.integers(0, 40), odd)
lines: st.SearchStrategy[Any] = st.one_of(
    odd,
    st.fixed_dictionaries(
        {"host": st.one_of(st.sampled_from("abcdefghijkl"), odd)},
        optional={"health": st.one_of(st.sampled_from(("active", "leaving", "left")), odd), "x": odd},
    ),
)
name = st.one_of(st.sampled_from(("", "e", "x", "y", "z")), st.text(max_size=34), odd)
events = st.one_of(
    st.builds(ListTold, number, st.one_of(st.none(), number), st.booleans(), st.lists(lines).map(tuple)),
    st.builds(PurgeTold, number, st.one_of(st.none(), st.sampled_from("abc"), odd), odd, odd, odd),
    st.builds(Confirmed, st.one_of(st.just(0.0), odd), number),
    st.builds(
        Polled,
        st.integers(0, 9),
        number,
        st.one_of(st.sampled_from((0.0, 800.0)), odd),
        st.one_of(st.sampled_from(("", "r1", "r2")), odd),
        st.one_of(st.sampled_from(("router", "relay", "sibling", "probe")), odd),
        name,
        number,
        number,
        st.lists(name).map(tuple),
    ),
    st.builds(PollerGone, st.integers(0, 9)),
    st.builds(TimerFired, st.integers(0, 3)),
    st.builds(Dismissed, name),
    st.just(Attached()),
)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.floats(0, 3_000), events), max_size=40))
def test_any_events_cost_bounded_memory_and_give_answers_that_can_be_read(
    steps: list[tuple[float, Any]],
) -> None:
    relay, now = Relay(SMALL, "r1", BASE), 0.0
    relay.handle(now, Started())
    for wait, event in steps:
        now += wait
        done = relay.marks.done
        for action in relay.handle(now, event):
            if isinstance(action, Answer):
                told = json.loads(action.body)
                assert told["age"] >= 0 and told["cursor"] <= relay.log.told
            elif isinstance(action, SetTimer):
                assert math.isfinite(action.in_ms) and action.in_ms >= 0
        assert relay.marks.done >= done
        status = relay.status(now)
        assert status.present + status.cut_off <= 6 and status.waiting <= 5 and status.shelfs <= 8
        assert status.purges <= 16 + 256 and status.log_events <= 2 * (16 + 256) + 9
        relay.purges(now), relay.roster(now), relay.handed_up(now)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(
    st.lists(st.sampled_from(("list", "whole", "purge", "old", "poll", "lost", "late", "wait")), max_size=60)
)
def test_a_router_in_step_holds_what_the_relay_holds(steps: list[str]) -> None:
    relay = Driver(page_bytes=150, most_changes=3, hold_ms=2_000.0).ready()
    resume, seq = 0, 1
    held: dict[str, Any] = {}
    purges: dict[str, float] = {}
    late, whens = 0, 0.0

    def take(told: dict[str, Any] | None) -> None:
        nonlocal resume
        for command in told["cmds"] if told is not None else ():
            if command["cursor"] <= resume:
                continue
            resume = command["cursor"]
            if "drop" in command:
                purges[command["drop"]["id"]] = max(
                    command["drop"]["when"], purges.get(command["drop"]["id"], 0)
                )
                continue
            if command["nodes"]["whole"]:
                held.clear()
            for line in command["nodes"]["hosts"]:
                held[line["host"]] = line

    for step in [*steps, "wait", "poll", "poll", "poll", "poll", "poll", "poll", "poll", "poll", "poll"]:
        whens += 1.0
        match step:
            case "list":
                seq += 1
                relay.list(host(f"s{seq % 5}", seq=seq), seq=seq, whole=False)
            case "whole":
                seq += 1
                relay.list(host("a", seq=seq), host("b"), seq=seq)
            case "purge":
                relay.purge(f"{len(steps) + seq:x}"[-1], whens)
            case "old":
                relay.purge(f"{seq:x}"[-1], whens - 1.5)
            case "poll":
                take(relay.poll(1, resume, "x"))
            case "lost":
                relay.poll(1, resume, "x")
            case "late":
                late = relay.follow(2, late, "y")
            case "wait":
                relay.wait(200)
                take(relay.answer(1))
    relay.poll(1, resume, "x")
    lines = json.loads(relay.relay.state.shelves.event())["nodes"]["hosts"]
    assert held == {line["host"]: line for line in lines}
    for purge in relay.relay.state.purges.by_end():
        assert purges.get(str(purge.what), 0) >= purge.when_ms


def test_a_line_that_is_too_long_or_unreadable_keeps_what_is_known() -> None:
    nested: Any = []
    for _ in range(5_000):
        nested = [nested]
    relay = Driver().ready(
        host("a", x="y" * 9_000), host("b", x=nested), host("c", x=float("nan")), host("d")
    )
    relay.list(host(""), host("e" * 300), seq=1, whole=False)
    told = relay.poll(1, 0, "x")
    assert told is not None
    assert told["cmds"][0]["nodes"]["hosts"] == [host("a"), host("b"), host("c"), host("d")]
    assert relay.relay.status(0).faults == {"host-line": 1}


def test_faults_are_told_ever_more_rarely() -> None:
    relay = Driver().ready()
    for _ in range(1_000):
        relay.purge("no number")
    assert len([told for told in relay.told if told.name == "relay-fault"]) == 10
    assert relay.relay.status(0).faults == {"purge-form": 1_000}


def test_a_shelf_past_the_bound_is_never_told() -> None:
    relay = Driver(most_shelfs=2).ready(host("a"), host("b"))
    relay.follow(1, 0, "x")
    relay.list(host("c"), host("a", health="leaving"), seq=2, whole=False)
    relay.wait(150)
    told = relay.answer(1)
    assert told is not None and told["cmds"][0]["nodes"]["hosts"] == [host("a", health="leaving")]


def test_a_storm_of_one_purge_keeps_one() -> None:
    relay = Driver().ready()
    relay.follow(1, 0, "x")
    for when in range(5_000):
        relay.purge("a1", float(when))
    status = relay.relay.status(0)
    assert (status.purges, status.log_events) == (1, 2)


def test_many_routers_are_answered_without_a_search() -> None:
    """Counts what is touched, not how long it takes: the structures are asked once a poll."""
    relay = Driver().ready()
    heads = [relay.follow(poller, 0, f"x{poller}") for poller in range(1_200)]
    relay.purge("a1")
    relay.wait(150)
    before = relay.relay.routers
    calls = 0
    original = type(before).__iter__

    def counted(self: Any) -> Any:
        nonlocal calls
        calls += 1
        return original(self)

    type(before).__iter__ = counted  # type: ignore[method-assign]
    try:
        for poller in range(1_200):
            relay.poll(poller, heads[poller] + 1, f"x{poller}")
            relay.relay.handed_up(relay.now)
    finally:
        type(before).__iter__ = original  # type: ignore[method-assign]
    assert calls == 0 and relay.relay.status(relay.now).done == heads[0] + 1
