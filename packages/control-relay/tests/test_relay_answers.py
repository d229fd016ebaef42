"""What a relay tells whom, and when."""

from __future__ import annotations

import json

import pytest
from control_relay import Answer, Relay, RelaySettings
from relay_driver import BASE, Driver, host, last, numbers
from sansio_core import TimerFired


@pytest.mark.parametrize("epoch", ["", "a" * 33, "a b", 'a"b', "ü"])
def test_an_epoch_that_no_answer_could_hold_is_refused_at_once(epoch: str) -> None:
    with pytest.raises(ValueError):
        Relay(RelaySettings(), epoch, BASE)


def test_without_a_whole_state_all_are_refused() -> None:
    relay = Driver()
    relay.purge("a1")
    relay.list(host("a"), whole=False)
    relay.confirm()
    assert relay.poll(1, 0) is None and relay.refused == {1: "no-state"}
    assert relay.relay.status(0).age_ms is not None and not relay.relay.status(0).ready


def test_a_list_without_an_age_is_no_state_yet() -> None:
    relay = Driver()
    relay.list(host("a"))
    assert relay.poll(1, 0) is None
    relay.confirm(30.0)
    told = relay.poll(1, 0)
    assert told is not None and told["epoch"] == "r1" and 30 <= told["age"] <= 100


def test_who_knows_nothing_is_told_the_whole_state_in_the_order_of_numbers() -> None:
    relay = Driver()
    relay.purge("a1")
    relay.list(host("a"), host("b", health="leaving", more={"x": [1]}), host("c", health="left"))
    relay.list(host("a", health="leaving"), seq=2, whole=False)
    relay.group(7, 5.0)
    relay.confirm()
    told = relay.poll(1, 0, epoch="")
    assert told is not None
    assert numbers(told) == [BASE, BASE + 2, BASE + 3] and told["cursor"] == BASE + 3
    assert told["cmds"][0]["drop"] == {"id": "00000000000000a1", "when": 10**12}
    hosts = [host("a", health="leaving"), host("b", health="leaving", more={"x": [1]})]
    assert told["cmds"][1]["nodes"] == {"seq": 2, "whole": True, "hosts": hosts}
    assert told["cmds"][2]["drop"] == {"family": 7, "when": 5}


def test_events_are_joined_and_all_in_step_get_one_object() -> None:
    relay = Driver().ready()
    head = [relay.follow(poller, 0, f"x{poller}") for poller in range(5)][0]
    relay.purge("a1")
    relay.wait(100)
    relay.list(host("a", health="leaving"), seq=2, whole=False)
    assert not any(relay.answers.get(poller) for poller in range(5))
    relay.wait(60)
    bodies = [relay.answers[poller] for poller in range(5)]
    assert all(body is bodies[0] for body in bodies)
    assert numbers(json.loads(bodies[0])) == [head + 1, head + 2]


def test_who_polls_while_events_are_joined_waits_for_them() -> None:
    relay = Driver().ready()
    head = relay.follow(1, 0, "x")
    relay.purge("a1")
    assert relay.poll(1, head, "x") is None
    relay.wait(150)
    assert numbers(relay.answer(1)) == [head + 1]


def test_a_poll_ends_with_nothing_when_its_block_has_passed() -> None:
    relay = Driver().ready()
    head = relay.follow(1, 0, "x")
    relay.wait(999)
    assert relay.answer(1) is None
    relay.wait(30)
    told = relay.answer(1)
    assert told is not None and told["cmds"] == [] and told["cursor"] == head and told["age"] >= 1_000


@pytest.mark.parametrize(("block", "answered"), [(0.0, True), (-5.0, True), (1e18, False)])
def test_blocks_are_bounded(block: float, answered: bool) -> None:
    relay = Driver().ready()
    head = relay.follow(1, 0, "x")
    assert (relay.poll(1, head, "x", block_ms=block) is not None) is answered
    relay.wait(5_100)
    assert relay.answer(1) is not None


def test_a_poller_that_polls_twice_is_answered_once() -> None:
    relay = Driver().ready()
    head = relay.follow(1, 0, "x")
    relay.poll(1, head, "x")
    relay.poll(1, head, "x")
    assert relay.relay.status(0).waiting == 1
    relay.purge("a1")
    relay.now += 150
    answers = [a for a in relay.relay._flush(relay.now) if isinstance(a, Answer)]
    assert [answer.poller for answer in answers] == [1]


def test_pages_are_bounded_and_skip_nothing() -> None:
    relay = Driver(page_bytes=300).ready(*(host(f"s{n}", site="x" * 60) for n in range(9)))
    for number in range(20):
        relay.purge(f"{number:x}")
    relay.wait(150)
    seen: list[int] = []
    resume = whole = 0
    while (told := relay.poll(1, resume, "x")) is not None and len(seen) < 100:
        size = sum(len(json.dumps(command)) for command in told["cmds"])
        assert size <= 330 or len(told["cmds"]) == 1
        seen += numbers(told)
        whole += sum("nodes" in command for command in told["cmds"])
        resume = last(told)
    assert seen == list(range(BASE, BASE + 21)) and whole == 1


def test_who_stops_between_a_whole_states_purges_and_its_list_is_told_the_list_whole() -> None:
    relay = Driver(page_bytes=100)
    relay.list(host("a"))
    relay.purge("a1")
    relay.purge("a2")
    relay.list(host("b"), seq=2, whole=False)
    relay.confirm()
    first = relay.poll(1, 0, "x")
    assert numbers(first) == [BASE + 1]
    for poller, name in ((1, "x"), (2, ""), (3, "new")):
        resume = last(first)
        hosts: list[tuple[bool, int]] = []
        while (told := relay.poll(poller, resume, name)) is not None and len(hosts) < 9:
            hosts += [(c["nodes"]["whole"], len(c["nodes"]["hosts"])) for c in told["cmds"] if "nodes" in c]
            resume = last(told)
        assert hosts == [(True, 2)], name


def test_one_who_is_in_step_is_told_changes_although_others_enter() -> None:
    relay = Driver().ready()
    head = relay.follow(1, 0, "x")
    relay.purge("a1")
    relay.list(host("c"), seq=2, whole=False)
    relay.wait(150)
    relay.follow(2, 0, "y")
    told = relay.poll(1, head, "x")
    assert told is not None and [c["nodes"]["whole"] for c in told["cmds"] if "nodes" in c] == [False]


@pytest.mark.parametrize("epoch", ["other", ""])
def test_a_foreign_epoch_and_numbers_never_given_mean_a_whole_state(epoch: str) -> None:
    relay = Driver().ready()
    relay.follow(1, 0, "x")
    for resume in (0, 5, BASE - 1, BASE + 1_000, 1 << 60):
        told = relay.poll(1, resume, "x", epoch=epoch)
        assert told is not None and told["cmds"][0]["nodes"]["whole"], resume
    inside = relay.poll(1, BASE, "x", epoch=epoch)
    assert (inside is not None) is (epoch == "other")


def test_below_the_floor_the_whole_state_is_told() -> None:
    relay = Driver(most_changes=3).ready()
    heads = [relay.follow(1, 0, "x")]
    for seq in range(2, 8):
        relay.list(host(f"s{seq}"), seq=seq, whole=False)
        relay.wait(150)
        heads.append(relay.follow(2, heads[-1], "y"))
    assert numbers(relay.poll(3, heads[3], "z", epoch="")) == heads[4:]
    told = relay.poll(1, heads[0], "x")
    assert told is not None and len(told["cmds"]) == 1 and told["cmds"][0]["nodes"]["whole"]
    told = relay.poll(4, heads[3], "new", epoch="")
    assert (
        told is not None and told["cmds"][0]["nodes"]["whole"]
    )  # it may be in the middle of that whole state


def test_whoever_waits_is_told_the_whole_state_when_the_log_overflows_at_once() -> None:
    relay = Driver(most_changes=2).ready()
    relay.follow(1, 0, "x")
    for seq in range(2, 8):
        relay.list(host(f"s{seq}"), seq=seq, whole=False)
    relay.wait(150)
    told = relay.answer(1)
    assert told is not None and told["cmds"][0]["nodes"]["whole"]
    assert len(told["cmds"][0]["nodes"]["hosts"]) == 8


def test_a_whole_list_that_says_what_stands_is_no_event() -> None:
    relay = Driver().ready(host("a"), host("b"))
    head = relay.relay.status(0).head
    relay.list({"health": "active", "host": "b"}, host("a"), host("gone", health="left"))
    relay.wait(150)
    assert relay.relay.status(relay.now).head == head
    relay.list(host("a"), host("b"), seq=2)
    relay.wait(150)
    assert relay.relay.status(relay.now).head == head + 1


def test_a_whole_list_that_differs_goes_out_whole() -> None:
    relay = Driver().ready()
    relay.follow(1, 0, "x")
    relay.list(host("c"), seq=5)
    relay.wait(150)
    told = relay.answer(1)
    assert told is not None and told["cmds"][0]["nodes"] == {"seq": 5, "whole": True, "hosts": [host("c")]}


def test_of_purges_of_the_same_the_latest_is_told_and_no_earlier_one() -> None:
    relay = Driver().ready()
    head = relay.follow(1, 0, "x")
    for when in (10, 30, 20, 30):
        relay.purge("A1", when)
    relay.wait(150)
    told = relay.answer(1)
    assert numbers(told) == [head + 2] and told is not None
    assert told["cmds"][0]["drop"] == {"id": "00000000000000a1", "when": 30}


def test_a_time_that_can_not_be_read_goes_out_as_one_and_hides_no_later_purge() -> None:
    relay = Driver().ready()
    relay.follow(1, 0, "x")
    for when in (float("inf"), 20.0, float("nan")):
        relay.purge("a1", when)
    relay.wait(150)
    told = relay.answer(1)
    assert told is not None and [c["drop"]["when"] for c in told["cmds"]] == [None]


def test_a_purge_is_told_until_its_hold_has_passed() -> None:
    relay = Driver().ready()
    relay.purge("a1")
    relay.purge("a2", age=4_000.0)
    relay.purge("a3", age=10_000.0)
    relay.wait(5_999)
    assert len(numbers(relay.poll(1, 0, "x"))) == 3
    relay.wait(1)
    assert len(numbers(relay.poll(1, 0, "x"))) == 2
    relay.wait(4_000)
    assert numbers(relay.poll(1, 0, "x")) == [BASE]
    assert relay.relay.status(relay.now).purges == 0


def test_too_many_purges_become_those_of_groups_and_none_is_lost() -> None:
    relay = Driver(most_purges=64).ready()
    for number in range(64):
        relay.purge(f"{number:x}", number)
    relay.purge("ffff", 99.0)
    relay.wait(150)
    status = relay.relay.status(relay.now)
    assert status.purges == 65 - 16 + 256 and any(told.name == "purges-joined" for told in relay.told)
    told = relay.poll(1, 0, "x")
    assert told is not None
    objects = {c["drop"]["id"] for c in told["cmds"] if "id" in c.get("drop", {})}
    groups = {c["drop"]["family"]: c["drop"]["when"] for c in told["cmds"] if "family" in c.get("drop", {})}
    assert len(objects) == 49 and groups == dict.fromkeys(range(256), 15)


def test_the_age_is_that_of_what_has_gone_out() -> None:
    relay = Driver().ready()
    head = relay.follow(1, 0, "x")
    relay.wait(500)
    relay.purge("a1")
    relay.confirm()
    told = relay.poll(1, head, "x", block_ms=0)
    assert told is not None and told["cmds"] == [] and 500 <= told["age"] <= 560
    relay.wait(150)
    assert 150 <= relay.relay.age_ms(relay.now) <= 160


def test_an_older_word_makes_nothing_younger_nor_older() -> None:
    relay = Driver().ready()
    relay.wait(1_000)
    for age in (5_000.0, 2_000.0, float("inf"), float("nan")):
        relay.confirm(age)
    assert relay.relay.age_ms(relay.now) == 1_000
    relay.confirm(-50.0)
    assert relay.relay.age_ms(relay.now) == 0


def test_a_probe_tells_the_age_and_nothing_else() -> None:
    relay = Driver().ready()
    told = relay.poll(9, 0, role="probe", epoch="")
    assert told is not None and told["cmds"] == [] and "age" in told
    assert relay.relay.status(0).present == 0


def test_timers_that_fire_early_or_for_nothing_do_no_harm() -> None:
    relay = Driver().ready()
    head = relay.follow(1, 0, "x")
    relay.purge("a1")
    for token in (0, 1, 2, 7):
        relay.do(TimerFired(token))
    assert relay.answer(1) is None
    relay.wait(150)
    assert numbers(relay.answer(1)) == [head + 1]
