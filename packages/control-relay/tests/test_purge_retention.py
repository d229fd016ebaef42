"""Which purges are delivered, and for how long."""

from __future__ import annotations

from relay_driver import FIRST_NUMBER, RelayDriver, event_numbers


def test_only_the_latest_purge_of_a_target_is_delivered() -> None:
    relay = RelayDriver().make_ready()
    head = relay.poll_until_current(1, 0, "x")
    for issued in (10, 30, 20, 30):
        relay.purge("A1", issued)
    relay.advance(150)
    response = relay.response(1)
    assert event_numbers(response) == [head + 2]
    assert response is not None
    assert response["cmds"][0]["drop"] == {"id": "00000000000000a1", "when": 30}


def test_purge_with_an_unreadable_time_is_sent_as_null_and_suppresses_no_later_one() -> None:
    relay = RelayDriver().make_ready()
    relay.poll_until_current(1, 0, "x")
    for issued in (float("inf"), 20.0, float("nan")):
        relay.purge("a1", issued)
    relay.advance(150)
    response = relay.response(1)
    assert response is not None
    assert [event["drop"]["when"] for event in response["cmds"]] == [None]


def test_purge_is_delivered_until_its_retention_ends() -> None:
    relay = RelayDriver().make_ready()
    relay.purge("a1")
    relay.purge("a2", age_ms=4_000.0)
    relay.purge("a3", age_ms=10_000.0)
    relay.advance(5_999)
    assert len(event_numbers(relay.poll(1, 0, "x"))) == 3
    relay.advance(1)
    assert len(event_numbers(relay.poll(1, 0, "x"))) == 2
    relay.advance(4_000)
    assert event_numbers(relay.poll(1, 0, "x")) == [FIRST_NUMBER]
    assert relay.relay.status(relay.now).purges == 0


def test_excess_purges_are_merged_into_groups_and_none_is_lost() -> None:
    relay = RelayDriver(max_purges=64).make_ready()
    for number in range(64):
        relay.purge(f"{number:x}", number)
    relay.purge("ffff", 99.0)
    relay.advance(150)
    status = relay.relay.status(relay.now)
    assert status.purges == 65 - 16 + 256
    assert any(notice.name == "purges_merged" for notice in relay.notices)
    response = relay.poll(1, 0, "x")
    assert response is not None
    objects = {event["drop"]["id"] for event in response["cmds"] if "id" in event.get("drop", {})}
    groups = {
        event["drop"]["family"]: event["drop"]["when"]
        for event in response["cmds"]
        if "family" in event.get("drop", {})
    }
    assert len(objects) == 49
    assert groups == dict.fromkeys(range(256), 15)
