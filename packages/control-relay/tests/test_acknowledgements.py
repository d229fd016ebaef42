"""When an event counts as propagated, and which members are reported as lagging."""

from __future__ import annotations

from typing import Any

import pytest
from control_relay import (
    EndpointListUpdate,
    MemberDeregistered,
    PollerDisconnected,
    PollReceived,
    PollRequest,
    PurgeReceived,
    RelayEvent,
    UpstreamConfirmed,
    UpstreamProgress,
)
from relay_driver import FIRST_NUMBER, RelayDriver, endpoint, last_number


def ready_relay(**settings: Any) -> RelayDriver:
    return RelayDriver(**settings).make_ready()


def test_purge_is_propagated_once_the_last_router_acknowledges_it() -> None:
    relay = ready_relay()
    heads = [relay.poll_until_current(poller, 0, f"x{poller}") for poller in range(3)]
    relay.purge("a1")
    relay.advance(150)
    for poller in range(3):
        (purge,) = relay.relay.recent_purges()
        assert purge.propagated_at_ms is None
        assert purge.lagging_count == 3 - poller
        assert purge.lagging_names == tuple(f"x{n}" for n in range(poller, 3))
        relay.advance(10)
        relay.poll(poller, heads[poller] + 1, f"x{poller}")
    (purge,) = relay.relay.recent_purges()
    assert (purge.propagated_at_ms, purge.lagging_count, purge.lagging_names) == (180, 0, ())
    assert purge.key == "00000000000000a1"
    assert purge.received_at_ms == 0
    assert relay.relay.lagging_members(relay.now) == ()


def test_lost_response_acknowledges_nothing() -> None:
    relay = ready_relay()
    head = relay.poll_until_current(1, 0, "x")
    relay.purge("a1")
    relay.advance(150)
    relay.poll(2, head, "x")
    assert relay.relay.status(relay.now).acknowledged == head
    relay.poll(2, head + 1, "x")
    assert relay.relay.status(relay.now).acknowledged == head + 1


def test_later_response_does_not_acknowledge_a_lost_superseded_event() -> None:
    relay = ready_relay(max_page_bytes=100)
    head = relay.poll_until_current(1, 0, "x")
    relay.purge("a1", 1.0)
    relay.advance(150)  # this response is lost
    relay.purge("a2")
    relay.advance(150)
    relay.purge("a1", 2.0)
    relay.advance(150)
    assert last_number(relay.poll(1, head, "x")) == head + 2
    relay.poll(1, head + 2, "x")
    assert relay.relay.status(relay.now).acknowledged == head
    assert relay.relay.recent_purges()[0].lagging_names == ("x",)


def test_pages_acknowledge_nothing_before_the_last() -> None:
    relay = ready_relay(max_page_bytes=100)
    head = relay.poll_until_current(1, 0, "x")
    for number in range(4):
        relay.purge(f"{number}")
    relay.advance(150)
    for resume in range(head + 1, head + 4):
        relay.poll(1, resume, "x")
        assert relay.relay.status(relay.now).acknowledged == head
    relay.poll(1, head + 4, "x")
    assert relay.relay.status(relay.now).acknowledged == head + 4


def test_expired_purge_is_acknowledged_with_the_response_that_omits_it() -> None:
    relay = ready_relay()
    head = relay.poll_until_current(1, 0, "x")
    relay.purge("a1")
    relay.advance(10_200)
    assert relay.poll(1, head, "x", block_ms=0) is not None
    assert relay.relay.status(relay.now).acknowledged == head
    relay.poll(1, head, "x")
    assert relay.relay.status(relay.now).acknowledged == head + 1


def test_expected_members_count_from_the_start_even_when_unreachable() -> None:
    relay = ready_relay(expected_members=("x", "y"))
    head = relay.poll_until_current(1, 0, "x")
    relay.purge("a1")
    relay.advance(150)
    relay.poll(1, head + 1, "x")
    (row,) = relay.relay.lagging_members(relay.now)
    assert (row.name, row.state, row.lagging_since_ms) == ("y", "lagging", 0)
    relay.advance(60_000)
    (row,) = relay.relay.lagging_members(relay.now)
    assert (row.name, row.state) == ("y", "cut-off")
    relay.poll_until_current(1, head + 1, "x")
    assert relay.relay.status(relay.now).acknowledged == FIRST_NUMBER - 1
    assert relay.relay.upstream_progress() == UpstreamProgress(0, 1, ("y",))
    relay.poll_until_current(2, 0, "y")
    assert relay.relay.status(relay.now).acknowledged == head + 1


def test_member_is_unreachable_after_its_block_time_and_the_timeout() -> None:
    relay = ready_relay(absence_timeout_ms=3_000.0)
    head = relay.poll_until_current(1, 0, "x")
    relay.purge("a1")
    relay.advance(150)
    relay.poll(1, head, "x", block_ms=2_000.0)
    relay.advance(5_000)
    assert relay.relay.status(relay.now).unreachable_members == 0
    relay.advance(1)
    status = relay.relay.status(relay.now)
    assert (status.reachable_members, status.unreachable_members) == (0, 1)
    assert [(row.state, row.lagging_since_ms) for row in relay.relay.lagging_members(relay.now)] == [
        ("cut-off", 150)
    ]


def test_number_of_another_epoch_acknowledges_nothing() -> None:
    relay = ready_relay()
    head = relay.poll_until_current(1, 0, "x")
    relay.purge("a1")
    relay.advance(150)
    relay.poll(1, head + 1, "x", epoch="r2")
    assert relay.relay.status(relay.now).acknowledged == head


def test_restarted_router_undoes_no_propagation_but_must_acknowledge_later_events() -> None:
    relay = ready_relay()
    head = relay.poll_until_current(1, 0, "x")
    relay.purge("a1")
    relay.advance(150)
    relay.poll(1, head + 1, "x")
    propagated_at = relay.relay.recent_purges()[0].propagated_at_ms
    response = relay.poll(2, 0, "x", epoch="")
    assert last_number(response) == head + 1
    assert relay.relay.recent_purges()[0].propagated_at_ms == propagated_at
    relay.purge("a2")
    relay.advance(150)
    assert relay.relay.status(relay.now).acknowledged == head + 1
    relay.poll_until_current(2, head + 1, "x")
    assert relay.relay.status(relay.now).acknowledged == head + 2


def test_lower_number_counts_as_a_restart() -> None:
    relay = ready_relay()
    for number in range(3):
        relay.purge(f"{number}")
    relay.advance(150)
    head = relay.poll_until_current(1, 0, "x")
    relay.purge("a")
    relay.advance(150)
    relay.poll(1, head - 2, "x")
    assert [row.name for row in relay.relay.lagging_members(relay.now)] == ["x"]
    assert relay.relay.status(relay.now).acknowledged == head


def test_siblings_and_probes_are_not_tracked() -> None:
    relay = ready_relay()
    relay.poll(1, 0, "r2", role="sibling", epoch="")
    relay.poll(2, 0, "x", role="probe", epoch="")
    status = relay.relay.status(relay.now)
    assert (status.reachable_members, status.acknowledged) == (0, FIRST_NUMBER)


def test_downstream_relay_acknowledges_by_its_reported_progress() -> None:
    relay = ready_relay()
    head = relay.poll_until_current(1, 0, "x")
    relay.poll_until_current(2, 0, "c")
    relay.poll(2, head, "c", role="relay", acknowledged=head)
    relay.purge("a1")
    relay.advance(150)
    relay.poll(1, head + 1, "x")
    names = ("x7", "bad name", "x8")
    relay.poll(2, head + 1, "c", role="relay", acknowledged=head, lagging_count=20, lagging_names=names)
    assert relay.relay.status(relay.now).acknowledged == head
    (purge,) = relay.relay.recent_purges()
    assert (purge.lagging_count, purge.lagging_names) == (20, ("x7", "x8"))
    assert relay.relay.upstream_progress() == UpstreamProgress(1, 20, ("x7", "x8"))
    relay.poll(2, head + 1, "c", role="relay", acknowledged=1 << 53)
    assert relay.relay.status(relay.now).acknowledged == head + 1


def test_upstream_progress_is_in_the_upstreams_numbers() -> None:
    relay = ready_relay()
    head = relay.poll_until_current(1, 0, "x")
    assert relay.relay.upstream_progress() == UpstreamProgress(1, 0, ())
    for _ in range(2):
        relay.purge("a1")  # the second is redundant
    relay.confirm()
    relay.advance(150)
    assert relay.relay.upstream_progress() == UpstreamProgress(1, 1, ("x",))
    relay.poll(1, head + 1, "x")
    assert relay.relay.upstream_progress() == UpstreamProgress(3, 0, ())


def test_upstream_progress_covers_only_confirmed_responses() -> None:
    relay = ready_relay()
    relay.feed(EndpointListUpdate(10, 2, True, (endpoint("c"),)))
    relay.advance(150)
    assert relay.relay.status(relay.now).acknowledged == FIRST_NUMBER + 1  # there are no members
    assert relay.relay.upstream_progress().acknowledged == 1
    head = relay.poll_until_current(1, 0, "x")
    relay.feed(PurgeReceived(5, "a1", -1, 1.0))
    relay.feed(UpstreamConfirmed(0.0, 10))
    assert relay.relay.upstream_progress().acknowledged == 1
    relay.advance(150)
    assert relay.relay.upstream_progress() == UpstreamProgress(1, 1, ("x",))
    relay.poll(1, head + 1, "x")
    assert relay.relay.upstream_progress().acknowledged == 10


@pytest.mark.parametrize(
    "deregistration",
    [
        PollReceived(1, PollRequest(0, 0.0, name="x", role="probe")),
        PollReceived(5, PollRequest(0, 0.0, name="x", role="probe")),
        MemberDeregistered("x"),
    ],
)
def test_deregistered_member_does_not_hold_back_the_low_water_mark(deregistration: RelayEvent) -> None:
    relay = ready_relay()
    head = relay.poll_until_current(1, 0, "x")
    relay.purge("a1")
    relay.advance(150)
    assert relay.relay.status(relay.now).acknowledged == head
    relay.feed(deregistration)
    assert relay.relay.status(relay.now).acknowledged == head + 1


def test_late_probe_does_not_deregister_a_member_that_has_returned() -> None:
    relay = ready_relay()
    head = relay.poll_until_current(1, 0, "x")
    relay.poll(2, head, "x")
    relay.poll(1, head, "x", role="probe")
    assert relay.relay.status(relay.now).reachable_members == 1


def test_unnamed_member_is_tracked_while_its_connection_lasts() -> None:
    relay = ready_relay()
    head = relay.poll_until_current(1)
    relay.purge("a1")
    relay.advance(150)
    assert relay.relay.status(relay.now).acknowledged == head
    relay.feed(PollerDisconnected(1))
    assert relay.relay.status(relay.now).acknowledged == head + 1


def test_superseded_event_is_delivered_until_the_superseding_one_is() -> None:
    relay = ready_relay()
    head = relay.poll_until_current(1, 0, "x")
    relay.purge("a1", 1.0)
    relay.advance(150)  # this response is lost
    relay.purge("a1", 2.0)
    response = relay.poll(1, head, "x", block_ms=0)
    assert last_number(response) == head + 1
    relay.advance(150)
    assert last_number(relay.poll(1, head, "x")) == head + 2


def test_restarted_router_has_to_acknowledge_unpropagated_events_again() -> None:
    relay = ready_relay()
    head = relay.poll_until_current(1, 0, "x")
    relay.poll_until_current(2, 0, "y")
    relay.purge("a1")
    relay.advance(150)
    relay.poll(1, head + 1, "x")
    relay.poll(3, 0, "x", epoch="")  # restarted; this response is lost
    relay.poll(2, head + 1, "y")
    assert relay.relay.status(relay.now).acknowledged == head
    assert relay.relay.recent_purges()[0].lagging_names == ("x",)
    relay.poll_until_current(3, 0, "x")
    assert relay.relay.status(relay.now).acknowledged == head + 1
