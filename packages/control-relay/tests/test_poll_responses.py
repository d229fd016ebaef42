"""Which response a relay sends to which poll, and when."""

from __future__ import annotations

import json

import pytest
from control_relay import InvalidEpochError, Relay, RelaySettings, SendResponse
from relay_driver import FIRST_NUMBER, RelayDriver, endpoint, event_numbers, last_number
from sansio_core import TimerFired


@pytest.mark.parametrize("epoch", ["", "a" * 33, "a b", 'a"b', "ü"])
def test_invalid_epoch_name_raises(epoch: str) -> None:
    with pytest.raises(InvalidEpochError):
        Relay(RelaySettings(), epoch, FIRST_NUMBER)


def test_polls_are_rejected_until_a_complete_list_has_arrived() -> None:
    relay = RelayDriver()
    relay.purge("a1")
    relay.update_list(endpoint("a"), is_complete=False)
    relay.confirm()
    assert relay.poll(1, 0) is None
    assert relay.rejected == {1: "no-state"}
    assert relay.relay.status(0).age_ms is not None
    assert not relay.relay.status(0).ready


def test_polls_are_rejected_until_the_list_is_confirmed() -> None:
    relay = RelayDriver()
    relay.update_list(endpoint("a"))
    assert relay.poll(1, 0) is None
    relay.confirm(30.0)
    response = relay.poll(1, 0)
    assert response is not None
    assert response["epoch"] == "r1"
    assert 30 <= response["age"] <= 100


def test_events_are_batched_and_up_to_date_members_share_one_body() -> None:
    relay = RelayDriver().make_ready()
    heads = [relay.poll_until_current(poller, 0, f"x{poller}") for poller in range(5)]
    relay.purge("a1")
    relay.advance(100)
    relay.update_list(endpoint("a", health="leaving"), seq=2, is_complete=False)
    assert not any(relay.bodies.get(poller) for poller in range(5))
    relay.advance(60)
    bodies = [relay.bodies[poller] for poller in range(5)]
    assert all(body is bodies[0] for body in bodies)
    assert event_numbers(json.loads(bodies[0])) == [heads[0] + 1, heads[0] + 2]


def test_poll_during_the_batch_window_waits_for_the_batch() -> None:
    relay = RelayDriver().make_ready()
    head = relay.poll_until_current(1, 0, "x")
    relay.purge("a1")
    assert relay.poll(1, head, "x") is None
    relay.advance(150)
    assert event_numbers(relay.response(1)) == [head + 1]


def test_poll_is_answered_without_events_after_its_block_time() -> None:
    relay = RelayDriver().make_ready()
    head = relay.poll_until_current(1, 0, "x")
    relay.advance(999)
    assert relay.response(1) is None
    relay.advance(30)
    response = relay.response(1)
    assert response is not None
    assert response["cmds"] == []
    assert response["cursor"] == head
    assert response["age"] >= 1_000


@pytest.mark.parametrize(("block", "answered"), [(0.0, True), (-5.0, True), (1e18, False)])
def test_block_time_is_bounded(block: float, answered: bool) -> None:
    relay = RelayDriver().make_ready()
    head = relay.poll_until_current(1, 0, "x")
    assert (relay.poll(1, head, "x", block_ms=block) is not None) is answered
    relay.advance(5_100)
    assert relay.response(1) is not None


def test_second_poll_of_a_connection_replaces_the_pending_one() -> None:
    relay = RelayDriver().make_ready()
    head = relay.poll_until_current(1, 0, "x")
    relay.poll(1, head, "x")
    relay.poll(1, head, "x")
    assert relay.relay.status(0).pending_polls == 1
    relay.purge("a1")
    relay.now += 150
    actions = relay.relay.delivery.deliver_batch(relay.now)
    assert [action.poller for action in actions if isinstance(action, SendResponse)] == [1]


def test_pages_are_bounded_and_skip_no_event() -> None:
    relay = RelayDriver(max_page_bytes=300).make_ready(*(endpoint(f"s{n}", site="x" * 60) for n in range(9)))
    for number in range(20):
        relay.purge(f"{number:x}")
    relay.advance(150)
    seen: list[int] = []
    resume = 0
    list_events = 0
    while (response := relay.poll(1, resume, "x")) is not None and len(seen) < 100:
        size = sum(len(json.dumps(command)) for command in response["cmds"])
        assert size <= 330 or len(response["cmds"]) == 1
        seen += event_numbers(response)
        list_events += sum("nodes" in command for command in response["cmds"])
        resume = last_number(response)
    assert seen == list(range(FIRST_NUMBER, FIRST_NUMBER + 21))
    assert list_events == 1


def test_member_with_the_list_gets_changes_although_others_join() -> None:
    relay = RelayDriver().make_ready()
    head = relay.poll_until_current(1, 0, "x")
    relay.purge("a1")
    relay.update_list(endpoint("c"), seq=2, is_complete=False)
    relay.advance(150)
    relay.poll_until_current(2, 0, "y")
    response = relay.poll(1, head, "x")
    assert response is not None
    assert [event["nodes"]["whole"] for event in response["cmds"] if "nodes" in event] == [False]


def test_age_is_that_of_the_delivered_state() -> None:
    relay = RelayDriver().make_ready()
    head = relay.poll_until_current(1, 0, "x")
    relay.advance(500)
    relay.purge("a1")
    relay.confirm()
    response = relay.poll(1, head, "x", block_ms=0)
    assert response is not None
    assert response["cmds"] == []
    assert 500 <= response["age"] <= 560
    relay.advance(150)
    assert 150 <= relay.relay.age_ms(relay.now) <= 160


def test_older_or_invalid_confirmation_does_not_change_the_age() -> None:
    relay = RelayDriver().make_ready()
    relay.advance(1_000)
    for age in (5_000.0, 2_000.0, float("inf"), float("nan")):
        relay.confirm(age)
    assert relay.relay.age_ms(relay.now) == 1_000
    relay.confirm(-50.0)
    assert relay.relay.age_ms(relay.now) == 0


def test_probe_gets_the_age_alone() -> None:
    relay = RelayDriver().make_ready()
    response = relay.poll(9, 0, role="probe", epoch="")
    assert response is not None
    assert response["cmds"] == []
    assert "age" in response
    assert relay.relay.status(0).reachable_members == 0


def test_early_and_unknown_timers_are_ignored() -> None:
    relay = RelayDriver().make_ready()
    head = relay.poll_until_current(1, 0, "x")
    relay.purge("a1")
    for token in (0, 1, 2, 7):
        relay.feed(TimerFired(token))
    assert relay.response(1) is None
    relay.advance(150)
    assert event_numbers(relay.response(1)) == [head + 1]
