"""For any input: no exception, bounded memory, valid responses, and no lost event."""

from __future__ import annotations

import json
import math
from typing import Any

from control_relay import (
    EndpointListUpdate,
    MemberDeregistered,
    PollerDisconnected,
    PollReceived,
    PollRequest,
    PurgeReceived,
    Relay,
    RelaySettings,
    SendResponse,
    UpstreamChanged,
    UpstreamConfirmed,
)
from hypothesis import given, settings
from hypothesis import strategies as st
from relay_driver import FIRST_NUMBER, RelayDriver, endpoint
from sansio_core import SetTimer, Started, TimerFired

SMALL_BOUNDS = RelaySettings(
    expected_members=("e",),
    max_purges=16,
    max_endpoints=8,
    max_list_changes=4,
    max_list_change_bytes=600,
    max_members=6,
    max_pending_polls=5,
    max_page_bytes=200,
)
any_value: st.SearchStrategy[Any] = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(1 << 70), 1 << 70),
    st.floats(),
    st.text(max_size=40),
    st.lists(st.integers(), max_size=3),
)
number = st.one_of(st.integers(FIRST_NUMBER - 3, FIRST_NUMBER + 40), st.integers(0, 40), any_value)
endpoint_values: st.SearchStrategy[Any] = st.one_of(
    any_value,
    st.fixed_dictionaries(
        {"host": st.one_of(st.sampled_from("abcdefghijkl"), any_value)},
        optional={
            "health": st.one_of(st.sampled_from(("active", "leaving", "left")), any_value),
            "x": any_value,
        },
    ),
)
name = st.one_of(st.sampled_from(("", "e", "x", "y", "z")), st.text(max_size=34), any_value)
events = st.one_of(
    st.builds(
        EndpointListUpdate,
        number,
        st.one_of(st.none(), number),
        st.booleans(),
        st.lists(endpoint_values).map(tuple),
    ),
    st.builds(
        PurgeReceived,
        number,
        st.one_of(st.none(), st.sampled_from("abc"), any_value),
        any_value,
        any_value,
        any_value,
    ),
    st.builds(UpstreamConfirmed, st.one_of(st.just(0.0), any_value), number),
    st.builds(
        PollReceived,
        st.integers(0, 9),
        st.builds(
            PollRequest,
            number,
            st.one_of(st.sampled_from((0.0, 800.0)), any_value),
            st.one_of(st.sampled_from(("", "r1", "r2")), any_value),
            st.one_of(st.sampled_from(("router", "relay", "sibling", "probe")), any_value),
            name,
            number,
            number,
            st.lists(name).map(tuple),
        ),
    ),
    st.builds(PollerDisconnected, st.integers(0, 9)),
    st.builds(TimerFired, st.integers(0, 3)),
    st.builds(MemberDeregistered, name),
    st.just(UpstreamChanged()),
)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.floats(0, 3_000), events), max_size=40))
def test_any_events_keep_memory_bounded_and_responses_valid(
    steps: list[tuple[float, Any]],
) -> None:
    relay = Relay(SMALL_BOUNDS, "r1", FIRST_NUMBER)
    now = 0.0
    relay.handle(now, Started())
    for elapsed_ms, event in steps:
        now += elapsed_ms
        acknowledged = relay.low_water_marks.acknowledged
        for action in relay.handle(now, event):
            if isinstance(action, SendResponse):
                response = json.loads(action.body)
                assert response["age"] >= 0
                assert response["cursor"] <= relay.state.log.delivered
            elif isinstance(action, SetTimer):
                assert math.isfinite(action.in_ms)
                assert action.in_ms >= 0
        assert relay.low_water_marks.acknowledged >= acknowledged
        status = relay.status(now)
        assert status.reachable_members + status.unreachable_members <= 6
        assert status.pending_polls <= 5
        assert status.endpoints <= 8
        assert status.purges <= 16 + 256
        assert status.log_events <= 2 * (16 + 256) + 9
        relay.recent_purges()
        relay.lagging_members(now)
        relay.upstream_progress()


class RouterModel:
    """Applies responses as a router does, and drives the relay that sends them."""

    def __init__(self) -> None:
        self.relay = RelayDriver(
            max_page_bytes=150, max_list_changes=3, purge_retention_ms=2_000.0
        ).make_ready()
        self.endpoints: dict[str, Any] = {}
        self.purges: dict[str, float] = {}
        self.resume = 0
        self._seq = 1
        self._issued_unix_ms = 0.0
        self._other_resume = 0

    def apply(self, response: dict[str, Any] | None) -> None:
        for event in response["cmds"] if response is not None else ():
            if event["cursor"] <= self.resume:
                continue
            self.resume = event["cursor"]
            if "drop" in event:
                key = event["drop"]["id"]
                self.purges[key] = max(event["drop"]["when"], self.purges.get(key, 0))
                continue
            if event["nodes"]["whole"]:
                self.endpoints.clear()
            for entry in event["nodes"]["hosts"]:
                self.endpoints[entry["host"]] = entry

    def poll(self) -> None:
        self.apply(self.relay.poll(1, self.resume, "x"))

    def step(self, operation: str, key: int) -> None:
        self._issued_unix_ms += 1.0
        match operation:
            case "change":
                self._seq += 1
                changed = endpoint(f"s{self._seq % 5}", seq=self._seq)
                self.relay.update_list(changed, seq=self._seq, is_complete=False)
            case "replace":
                self._seq += 1
                self.relay.update_list(endpoint("a", seq=self._seq), endpoint("b"), seq=self._seq)
            case "purge":
                self.relay.purge(f"{key + self._seq:x}"[-1], self._issued_unix_ms)
            case "older purge":
                self.relay.purge(f"{self._seq:x}"[-1], self._issued_unix_ms - 1.5)
            case "poll":
                self.poll()
            case "lose response":
                self.relay.poll(1, self.resume, "x")
            case "poll of another router":
                self._other_resume = self.relay.poll_until_current(2, self._other_resume, "y")
            case "wait":
                self.relay.advance(200)
                self.apply(self.relay.response(1))


STEPS = (
    "change",
    "replace",
    "purge",
    "older purge",
    "poll",
    "lose response",
    "poll of another router",
    "wait",
)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(st.sampled_from(STEPS), max_size=60))
def test_up_to_date_router_has_the_relays_list_and_purges(steps: list[str]) -> None:
    router = RouterModel()
    for step in [*steps, "wait", *["poll"] * 9]:
        router.step(step, len(steps))
    router.relay.poll(1, router.resume, "x")
    state = router.relay.relay.state
    expected = json.loads(state.endpoints.encoded_event())["nodes"]["hosts"]
    assert router.endpoints == {entry["host"]: entry for entry in expected}
    for purge in state.purges.by_expiry():
        assert router.purges.get(str(purge.target), 0) >= purge.issued_unix_ms


def test_oversized_or_unreadable_endpoint_is_reduced_to_known_keys() -> None:
    nested: Any = []
    for _ in range(5_000):
        nested = [nested]
    relay = RelayDriver().make_ready(
        endpoint("a", x="y" * 9_000), endpoint("b", x=nested), endpoint("c", x=float("nan")), endpoint("d")
    )
    relay.update_list(endpoint(""), endpoint("e" * 300), seq=1, is_complete=False)
    response = relay.poll(1, 0, "x")
    assert response is not None
    assert response["cmds"][0]["nodes"]["hosts"] == [
        endpoint("a"),
        endpoint("b"),
        endpoint("c"),
        endpoint("d"),
    ]
    assert relay.relay.status(0).faults == {"host-line": 1}


def test_notices_of_repeated_faults_become_rarer() -> None:
    relay = RelayDriver().make_ready()
    for _ in range(1_000):
        relay.purge("no number")
    assert len([notice for notice in relay.notices if notice.name == "relay_input_rejected"]) == 10
    assert relay.relay.status(0).faults == {"purge-form": 1_000}


def test_endpoint_beyond_the_bound_is_never_delivered() -> None:
    relay = RelayDriver(max_endpoints=2).make_ready(endpoint("a"), endpoint("b"))
    relay.poll_until_current(1, 0, "x")
    relay.update_list(endpoint("c"), endpoint("a", health="leaving"), seq=2, is_complete=False)
    relay.advance(150)
    response = relay.response(1)
    assert response is not None
    assert response["cmds"][0]["nodes"]["hosts"] == [endpoint("a", health="leaving")]


def test_repeated_purges_of_one_target_keep_one() -> None:
    relay = RelayDriver().make_ready()
    relay.poll_until_current(1, 0, "x")
    for issued in range(5_000):
        relay.purge("a1", float(issued))
    status = relay.relay.status(0)
    assert (status.purges, status.log_events) == (1, 2)


def test_polls_do_not_iterate_over_the_members() -> None:
    """Counts iterations over the table of members instead of measuring time."""
    relay = RelayDriver().make_ready()
    heads = [relay.poll_until_current(poller, 0, f"x{poller}") for poller in range(1_200)]
    relay.purge("a1")
    relay.advance(150)
    member_table = relay.relay.members
    iterations = 0
    original = type(member_table).__iter__

    def counting_iter(self: Any) -> Any:
        nonlocal iterations
        iterations += 1
        return original(self)

    type(member_table).__iter__ = counting_iter  # type: ignore[method-assign]
    try:
        for poller in range(1_200):
            relay.poll(poller, heads[poller] + 1, f"x{poller}")
            relay.relay.upstream_progress()
    finally:
        type(member_table).__iter__ = original  # type: ignore[method-assign]
    assert iterations == 0
    assert relay.relay.status(relay.now).acknowledged == heads[0] + 1


def test_member_table_is_bounded_and_evicts_the_longest_unreachable() -> None:
    relay = RelayDriver(max_members=4, expected_members=("e",)).make_ready()
    for number in range(3):
        relay.poll_until_current(number, 0, f"x{number}")
    relay.poll(9, 0, "new")
    assert relay.rejected == {9: "routers-full"}
    relay.advance(4_500)
    relay.poll_until_current(0, 0, "x0")
    relay.poll_until_current(9, 0, "new")
    status = relay.relay.status(relay.now)
    assert (status.evicted_members, status.reachable_members + status.unreachable_members) == (1, 4)
    assert {row.name for row in relay.relay.lagging_members(relay.now)} == {"e"}


def test_pending_polls_are_bounded() -> None:
    relay = RelayDriver(max_pending_polls=2).make_ready()
    head = relay.poll_until_current(1, 0, "x")
    relay.poll(2, head, "y")
    relay.poll(3, head, "z")
    assert relay.rejected == {3: "polls-full"}
