"""What is done everywhere, and who has not confirmed."""

from __future__ import annotations

from typing import Any

from control_relay import Confirmed, Dismissed, HandedUp, ListTold, PollerGone, PurgeTold
from relay_driver import BASE, Driver, host, last


def ready(**settings: Any) -> Driver:
    return Driver(**settings).ready()


def test_a_purge_is_done_when_the_last_router_polls_behind_its_answer() -> None:
    relay = ready()
    heads = [relay.follow(poller, 0, f"x{poller}") for poller in range(3)]
    relay.purge("a1")
    relay.wait(150)
    for poller in range(3):
        (purge,) = relay.relay.purges(relay.now)
        assert purge.done_since is None and purge.unconfirmed == 3 - poller
        assert purge.names == tuple(f"x{n}" for n in range(poller, 3))
        relay.wait(10)
        relay.poll(poller, heads[poller] + 1, f"x{poller}")
    (purge,) = relay.relay.purges(relay.now)
    assert (purge.done_since, purge.unconfirmed, purge.names) == (180, 0, ())
    assert purge.key == "00000000000000a1" and purge.told_at == 0 and relay.relay.roster(relay.now) == ()


def test_an_answer_that_was_lost_confirms_nothing() -> None:
    relay = ready()
    head = relay.follow(1, 0, "x")
    relay.purge("a1")
    relay.wait(150)
    relay.poll(2, head, "x")
    assert relay.relay.status(relay.now).done == head
    relay.poll(2, head + 1, "x")
    assert relay.relay.status(relay.now).done == head + 1


def test_a_later_answer_without_what_was_superseded_does_not_confirm_it() -> None:
    relay = ready(page_bytes=100)
    head = relay.follow(1, 0, "x")
    relay.purge("a1", 1.0)
    relay.wait(150)  # an answer that is lost
    relay.purge("a2")
    relay.wait(150)
    relay.purge("a1", 2.0)
    relay.wait(150)
    assert last(relay.poll(1, head, "x")) == head + 2
    relay.poll(1, head + 2, "x")
    assert relay.relay.status(relay.now).done == head
    assert relay.relay.purges(relay.now)[0].names == ("x",)


def test_the_end_of_a_page_confirms_nothing_until_all_is_told() -> None:
    relay = ready(page_bytes=100)
    head = relay.follow(1, 0, "x")
    for number in range(4):
        relay.purge(f"{number}")
    relay.wait(150)
    for resume in range(head + 1, head + 4):
        relay.poll(1, resume, "x")
        assert relay.relay.status(relay.now).done == head
    relay.poll(1, head + 4, "x")
    assert relay.relay.status(relay.now).done == head + 4


def test_purges_whose_hold_has_passed_are_confirmed_with_the_answer_that_left_them_out() -> None:
    relay = ready()
    head = relay.follow(1, 0, "x")
    relay.purge("a1")
    relay.wait(10_200)
    assert relay.poll(1, head, "x", block_ms=0) is not None
    assert relay.relay.status(relay.now).done == head
    relay.poll(1, head, "x")
    assert relay.relay.status(relay.now).done == head + 1


def test_expected_names_count_from_the_start_and_the_cut_off_are_never_done() -> None:
    relay = ready(expected=("x", "y"))
    head = relay.follow(1, 0, "x")
    relay.purge("a1")
    relay.wait(150)
    relay.poll(1, head + 1, "x")
    (row,) = relay.relay.roster(relay.now)
    assert (row.name, row.state, row.since) == ("y", "lagging", 0)
    relay.wait(60_000)
    (row,) = relay.relay.roster(relay.now)
    assert (row.name, row.state) == ("y", "cut-off")
    relay.follow(1, head + 1, "x")
    assert relay.relay.status(relay.now).done == BASE - 1
    assert relay.relay.handed_up(relay.now) == HandedUp(0, 1, ("y",))
    relay.follow(2, 0, "y")
    assert relay.relay.status(relay.now).done == head + 1


def test_cut_off_is_who_has_not_polled_for_a_while_beyond_its_block() -> None:
    relay = ready(absent_ms=3_000.0)
    head = relay.follow(1, 0, "x")
    relay.purge("a1")
    relay.wait(150)
    relay.poll(1, head, "x", block_ms=2_000.0)
    relay.wait(5_000)
    assert relay.relay.status(relay.now).cut_off == 0
    relay.wait(1)
    status = relay.relay.status(relay.now)
    assert (status.present, status.cut_off) == (0, 1)
    assert [(row.state, row.since) for row in relay.relay.roster(relay.now)] == [("cut-off", 150)]


def test_numbers_of_another_epoch_confirm_nothing() -> None:
    relay = ready()
    head = relay.follow(1, 0, "x")
    relay.purge("a1")
    relay.wait(150)
    relay.poll(1, head + 1, "x", epoch="r2")
    assert relay.relay.status(relay.now).done == head


def test_a_router_that_begins_anew_undoes_nothing_but_is_waited_for_again() -> None:
    relay = ready()
    head = relay.follow(1, 0, "x")
    relay.purge("a1")
    relay.wait(150)
    relay.poll(1, head + 1, "x")
    since = relay.relay.purges(relay.now)[0].done_since
    told = relay.poll(2, 0, "x", epoch="")
    assert last(told) == head + 1
    assert relay.relay.purges(relay.now)[0].done_since == since
    relay.purge("a2")
    relay.wait(150)
    assert relay.relay.status(relay.now).done == head + 1
    relay.follow(2, head + 1, "x")
    assert relay.relay.status(relay.now).done == head + 2


def test_a_lower_number_in_this_epoch_is_another_life() -> None:
    relay = ready()
    for number in range(3):
        relay.purge(f"{number}")
    relay.wait(150)
    head = relay.follow(1, 0, "x")
    relay.purge("a")
    relay.wait(150)
    relay.poll(1, head - 2, "x")
    assert [row.name for row in relay.relay.roster(relay.now)] == ["x"]
    assert relay.relay.status(relay.now).done == head


def test_siblings_and_probes_confirm_nothing_and_are_not_waited_for() -> None:
    relay = ready()
    relay.poll(1, 0, "r2", role="sibling", epoch="")
    relay.poll(2, 0, "x", role="probe", epoch="")
    status = relay.relay.status(relay.now)
    assert (status.present, status.done) == (0, BASE)


def test_a_relay_below_counts_by_its_done() -> None:
    relay = ready()
    head = relay.follow(1, 0, "x")
    relay.follow(2, 0, "c")
    relay.poll(2, head, "c", role="relay", done=head)
    relay.purge("a1")
    relay.wait(150)
    relay.poll(1, head + 1, "x")
    names = ("x7", "bad name", "x8")
    relay.poll(2, head + 1, "c", role="relay", done=head, behind=20, names=names)
    assert relay.relay.status(relay.now).done == head
    (purge,) = relay.relay.purges(relay.now)
    assert (purge.unconfirmed, purge.names) == (20, ("x7", "x8"))
    assert relay.relay.handed_up(relay.now) == HandedUp(1, 20, ("x7", "x8"))
    relay.poll(2, head + 1, "c", role="relay", done=1 << 53)
    assert relay.relay.status(relay.now).done == head + 1


def test_what_is_handed_up_is_in_the_upstreams_numbers() -> None:
    relay = ready()
    head = relay.follow(1, 0, "x")
    assert relay.relay.handed_up(0) == HandedUp(1, 0, ())
    for _ in range(2):
        relay.purge("a1")  # the second says nothing new
    relay.confirm()
    relay.wait(150)
    assert relay.relay.handed_up(relay.now) == HandedUp(1, 1, ("x",))
    relay.poll(1, head + 1, "x")
    assert relay.relay.handed_up(relay.now) == HandedUp(3, 0, ())


def test_nothing_of_an_answer_is_handed_up_before_all_of_it_was_taken() -> None:
    relay = ready()
    relay.do(ListTold(10, 2, True, (host("c"),)))
    relay.wait(150)
    assert relay.relay.status(relay.now).done == BASE + 1  # nobody polls here: all that was told is done
    assert relay.relay.handed_up(relay.now).done == 1
    head = relay.follow(1, 0, "x")
    relay.do(PurgeTold(5, "a1", -1, 1.0))
    relay.do(Confirmed(0.0, 10))
    assert relay.relay.handed_up(relay.now).done == 1
    relay.wait(150)
    assert relay.relay.handed_up(relay.now) == HandedUp(1, 1, ("x",))
    relay.poll(1, head + 1, "x")
    assert relay.relay.handed_up(relay.now).done == 10


def test_who_is_served_elsewhere_or_out_of_service_is_not_waited_for() -> None:
    for farewell in range(3):
        relay = ready()
        head = relay.follow(1, 0, "x")
        relay.purge("a1")
        relay.wait(150)
        if farewell == 0:
            relay.poll(1, head, "x", role="probe")
        elif farewell == 1:
            relay.poll(5, head, "x", role="probe")
        else:
            relay.do(Dismissed("x"))
        assert relay.relay.status(relay.now).done == head + 1


def test_a_late_probe_does_not_dismiss_one_who_has_come_back() -> None:
    relay = ready()
    head = relay.follow(1, 0, "x")
    relay.poll(2, head, "x")
    relay.poll(1, head, "x", role="probe")
    assert relay.relay.status(relay.now).present == 1


def test_one_without_a_name_counts_as_long_as_its_connection_lives() -> None:
    relay = ready()
    head = relay.follow(1)
    relay.purge("a1")
    relay.wait(150)
    assert relay.relay.status(relay.now).done == head
    relay.do(PollerGone(1))
    assert relay.relay.status(relay.now).done == head + 1


def test_the_table_is_bounded_and_forgets_the_longest_cut_off() -> None:
    relay = ready(most_routers=4, expected=("e",))
    for number in range(3):
        relay.follow(number, 0, f"x{number}")
    relay.poll(9, 0, "new")
    assert relay.refused == {9: "routers-full"}
    relay.wait(4_500)
    relay.follow(0, 0, "x0")
    relay.follow(9, 0, "new")
    status = relay.relay.status(relay.now)
    assert (status.forgotten, status.present + status.cut_off) == (1, 4)
    assert {row.name for row in relay.relay.roster(relay.now)} == {"e"}


def test_polls_are_bounded() -> None:
    relay = ready(most_waiting=2)
    head = relay.follow(1, 0, "x")
    relay.poll(2, head, "y")
    relay.poll(3, head, "z")
    assert relay.refused == {3: "polls-full"}


def test_what_is_superseded_is_told_until_that_goes_out_which_supersedes_it() -> None:
    relay = ready()
    head = relay.follow(1, 0, "x")
    relay.purge("a1", 1.0)
    relay.wait(150)  # an answer that is lost
    relay.purge("a1", 2.0)
    told = relay.poll(1, head, "x", block_ms=0)
    assert last(told) == head + 1
    relay.wait(150)
    assert last(relay.poll(1, head, "x")) == head + 2


def test_who_begins_anew_has_to_confirm_again_what_was_not_done_yet() -> None:
    relay = ready()
    head = relay.follow(1, 0, "x")
    relay.follow(2, 0, "y")
    relay.purge("a1")
    relay.wait(150)
    relay.poll(1, head + 1, "x")
    relay.poll(3, 0, "x", epoch="")  # another life, whose answer is lost
    relay.poll(2, head + 1, "y")
    assert relay.relay.status(relay.now).done == head
    assert relay.relay.purges(relay.now)[0].names == ("x",)
    relay.follow(3, 0, "x")
    assert relay.relay.status(relay.now).done == head + 1
