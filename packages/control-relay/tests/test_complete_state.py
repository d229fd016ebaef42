"""Which polls get the complete state instead of changes, and what it contains."""

from __future__ import annotations

import pytest
from relay_driver import FIRST_NUMBER, RelayDriver, endpoint, event_numbers, last_number


def test_new_member_gets_the_complete_state_ordered_by_number() -> None:
    relay = RelayDriver()
    relay.purge("a1")
    relay.update_list(
        endpoint("a"), endpoint("b", health="leaving", more={"x": [1]}), endpoint("c", health="left")
    )
    relay.update_list(endpoint("a", health="leaving"), seq=2, is_complete=False)
    relay.purge_group(7, 5.0)
    relay.confirm()
    response = relay.poll(1, 0, epoch="")
    assert response is not None
    assert event_numbers(response) == [FIRST_NUMBER, FIRST_NUMBER + 2, FIRST_NUMBER + 3]
    assert response["cursor"] == FIRST_NUMBER + 3
    assert response["cmds"][0]["drop"] == {"id": "00000000000000a1", "when": 10**12}
    hosts = [endpoint("a", health="leaving"), endpoint("b", health="leaving", more={"x": [1]})]
    assert response["cmds"][1]["nodes"] == {"seq": 2, "whole": True, "hosts": hosts}
    assert response["cmds"][2]["drop"] == {"family": 7, "when": 5}


def test_member_with_part_of_a_complete_state_gets_the_complete_list() -> None:
    relay = RelayDriver(max_page_bytes=100)
    relay.update_list(endpoint("a"))
    relay.purge("a1")
    relay.purge("a2")
    relay.update_list(endpoint("b"), seq=2, is_complete=False)
    relay.confirm()
    first = relay.poll(1, 0, "x")
    assert event_numbers(first) == [FIRST_NUMBER + 1]
    for poller, name in ((1, "x"), (2, ""), (3, "new")):
        resume = last_number(first)
        hosts: list[tuple[bool, int]] = []
        while (response := relay.poll(poller, resume, name)) is not None and len(hosts) < 9:
            hosts += [
                (event["nodes"]["whole"], len(event["nodes"]["hosts"]))
                for event in response["cmds"]
                if "nodes" in event
            ]
            resume = last_number(response)
        assert hosts == [(True, 2)], name


@pytest.mark.parametrize("epoch", ["other", ""])
def test_poll_with_an_unknown_epoch_or_number_gets_the_complete_state(epoch: str) -> None:
    relay = RelayDriver().make_ready()
    relay.poll_until_current(1, 0, "x")
    for resume in (0, 5, FIRST_NUMBER - 1, FIRST_NUMBER + 1_000, 1 << 60):
        response = relay.poll(1, resume, "x", epoch=epoch)
        assert response is not None
        assert response["cmds"][0]["nodes"]["whole"], resume
    inside = relay.poll(1, FIRST_NUMBER, "x", epoch=epoch)
    assert (inside is not None) is (epoch == "other")


def test_poll_below_the_log_floor_gets_the_complete_state() -> None:
    relay = RelayDriver(max_list_changes=3).make_ready()
    heads = [relay.poll_until_current(1, 0, "x")]
    for seq in range(2, 8):
        relay.update_list(endpoint(f"s{seq}"), seq=seq, is_complete=False)
        relay.advance(150)
        heads.append(relay.poll_until_current(2, heads[-1], "y"))
    assert event_numbers(relay.poll(3, heads[3], "z", epoch="")) == heads[4:]
    response = relay.poll(1, heads[0], "x")
    assert response is not None
    assert len(response["cmds"]) == 1
    assert response["cmds"][0]["nodes"]["whole"]
    response = relay.poll(4, heads[3], "new", epoch="")
    assert response is not None
    assert response["cmds"][0]["nodes"]["whole"]


def test_pending_poll_gets_the_complete_state_when_the_log_overflows() -> None:
    relay = RelayDriver(max_list_changes=2).make_ready()
    relay.poll_until_current(1, 0, "x")
    for seq in range(2, 8):
        relay.update_list(endpoint(f"s{seq}"), seq=seq, is_complete=False)
    relay.advance(150)
    response = relay.response(1)
    assert response is not None
    assert response["cmds"][0]["nodes"]["whole"]
    assert len(response["cmds"][0]["nodes"]["hosts"]) == 8


def test_unchanged_complete_list_creates_no_event() -> None:
    relay = RelayDriver().make_ready(endpoint("a"), endpoint("b"))
    head = relay.relay.status(0).head
    relay.update_list({"health": "active", "host": "b"}, endpoint("a"), endpoint("gone", health="left"))
    relay.advance(150)
    assert relay.relay.status(relay.now).head == head
    relay.update_list(endpoint("a"), endpoint("b"), seq=2)
    relay.advance(150)
    assert relay.relay.status(relay.now).head == head + 1


def test_complete_list_that_differs_is_delivered_complete() -> None:
    relay = RelayDriver().make_ready()
    relay.poll_until_current(1, 0, "x")
    relay.update_list(endpoint("c"), seq=5)
    relay.advance(150)
    response = relay.response(1)
    assert response is not None
    assert response["cmds"][0]["nodes"] == {
        "seq": 5,
        "whole": True,
        "hosts": [endpoint("c")],
    }
