"""Which events a follower accepts: each rule separately."""

from __future__ import annotations

from typing import Any

import pytest
from control_client import (
    EndpointListEvent,
    PollResponse,
    PurgeEvent,
    ResumePosition,
    StateFollower,
    SyncStatus,
)
from control_client.cursor_reset import MIN_LOWER_CURSOR_MS
from control_client.state_follower import OUTDATED_LIST_MARGIN_MS, RESET_MARGIN_MS


def complete(number: int, seq: int | None, **endpoints: Any) -> EndpointListEvent:
    return EndpointListEvent(number, seq, True, endpoints)


def change(number: int, seq: int | None, **endpoints: Any) -> EndpointListEvent:
    return EndpointListEvent(number, seq, False, endpoints)


def synced_follower(seq: int | None = 5) -> StateFollower:
    """Return a follower in epoch ``a`` whose list, confirmed at 1,000 ms, has this seq."""
    follower = StateFollower()
    follower.begin_poll(1000.0)
    follower.accept_response(1000.0, PollResponse("a", 0.0, 10, (complete(10, seq, s="ours"),)))
    return follower


def poll(follower: StateFollower, now: float, response: PollResponse) -> tuple[list[Any], SyncStatus]:
    """Return the endpoints or purge target of each accepted event, and the status."""
    follower.begin_poll(now)
    outcome = follower.accept_response(now, response)
    accepted = [
        event.target if isinstance(event, PurgeEvent) else dict(event.endpoints) for event in outcome.events
    ]
    return accepted, outcome.status


def test_memory_is_bounded() -> None:
    follower = StateFollower(purge_retention_ms=1000.0, max_purges=50, max_endpoints=50)
    for index in range(500):
        endpoints = {f"s{n}": n for n in range(index)}
        events = (PurgeEvent(2 * index + 1, index, 1.0), complete(2 * index + 2, 5, **endpoints))
        poll(follower, 1.0 + index, PollResponse("a" if index % 2 else "b", 0.0, 10_000, events))
        assert len(follower.recent_purges) <= 50
        assert len(follower.merge.endpoints) <= 50
    for index in range(60):
        poll(
            follower,
            9000.0 + 100.0 * index,
            PollResponse("c", 0.0, index + 1, (PurgeEvent(index + 1, index, 1.0),)),
        )
    assert len(follower.recent_purges) <= 11
    assert follower.merge.rejected > 0


def test_purges_are_accepted_from_any_source_by_their_time() -> None:
    follower = synced_follower()
    first = PollResponse("a", 0.0, 12, (PurgeEvent(11, "x", 50.0), PurgeEvent(12, "y", 60.0)))
    assert poll(follower, 1100.0, first) == (["x", "y"], SyncStatus.IN_SYNC)
    events = (
        PurgeEvent(1, "x", 50.0),
        PurgeEvent(2, "y", 59.0),
        PurgeEvent(3, "z", 10.0),
        complete(4, 1, s="old"),
    )
    response = PollResponse("b", 900.0, 4, events)
    assert poll(follower, 1200.0, response) == (["z"], SyncStatus.SOURCE_STALE)
    assert poll(follower, 1300.0, PollResponse("b", 900.0, 5, (PurgeEvent(5, "x", 51.0),)))[0] == ["x"]


@pytest.mark.parametrize(
    ("seq", "age_ms", "is_accepted"),
    [
        (6, 500.0, True),
        (5, 500.0, True),
        (4, 500.0, False),
        (None, 500.0, False),
        (9, OUTDATED_LIST_MARGIN_MS + 900, False),
    ],
)
def test_complete_list_is_accepted_by_its_seq(seq: int | None, age_ms: float, is_accepted: bool) -> None:
    follower = synced_follower()
    accepted, status = poll(follower, 1100.0, PollResponse("b", age_ms, 1, (complete(1, seq, s="theirs"),)))
    assert accepted == [{"s": "theirs"}] * is_accepted
    assert status is (SyncStatus.IN_SYNC if is_accepted else SyncStatus.SOURCE_STALE)


@pytest.mark.parametrize(
    ("later_ms", "is_accepted"), [(RESET_MARGIN_MS - 1.0, False), (RESET_MARGIN_MS, True)]
)
def test_lower_seq_is_accepted_only_if_it_is_fresher(later_ms: float, is_accepted: bool) -> None:
    follower = synced_follower()
    response = PollResponse("b", 200.0, 1, (complete(1, 2, s="theirs"),))
    assert poll(follower, 1200.0 + later_ms, response)[0] == [{"s": "theirs"}] * is_accepted


def test_state_of_a_slow_response_is_dated_by_its_poll() -> None:
    """The response may have been written long before it was read, while this process was stopped."""
    follower = synced_follower()
    follower.begin_poll(1500.0)
    outcome = follower.accept_response(9000.0, PollResponse("b", 0.0, 1, (complete(1, 2, s="theirs"),)))
    assert outcome.status is SyncStatus.SOURCE_STALE
    assert not outcome.events
    assert follower.age_ms(9000.0) == 8000.0


def test_changes_of_an_older_source_are_skipped_up_to_the_current_seq() -> None:
    follower = synced_follower()
    older = PollResponse("b", 100.0, 1, (complete(1, 3, s="old"),))
    assert poll(follower, 1100.0, older)[1] is SyncStatus.SOURCE_STALE
    events = (change(2, 4, s="older"), change(3, 5, s="same"))
    assert poll(follower, 1200.0, PollResponse("b", 100.0, 3, events)) == ([], SyncStatus.SOURCE_STALE)
    # A change after the current seq may date from before a reset: the complete state is requested.
    assert poll(follower, 1300.0, PollResponse("b", 100.0, 4, (change(4, 6, s="new"),))) == (
        [],
        SyncStatus.MORE_AVAILABLE,
    )
    assert follower.begin_poll(1300.0) == ResumePosition("b", 0)
    response = PollResponse("b", 100.0, 4, (complete(4, 6, s="new"),))
    assert poll(follower, 1300.0, response) == ([{"s": "new"}], SyncStatus.IN_SYNC)


def test_older_source_is_resynchronized_once_it_is_fresher() -> None:
    follower = synced_follower()
    older = PollResponse("b", 100.0, 1, (complete(1, 3, s="old"),))
    assert poll(follower, 1100.0, older)[1] is SyncStatus.SOURCE_STALE
    assert poll(follower, 2000.0, PollResponse("b", 100.0, 1))[1] is SyncStatus.SOURCE_STALE
    assert poll(follower, 2100.0, PollResponse("b", 100.0, 1))[1] is SyncStatus.MORE_AVAILABLE
    assert follower.begin_poll(2101.0) == ResumePosition("b", 0)
    response = PollResponse("b", 100.0, 1, (complete(1, 3, s="set back"),))
    assert poll(follower, 2101.0, response) == ([{"s": "set back"}], SyncStatus.IN_SYNC)


def test_source_that_missed_a_reset_of_discovery_is_rejected() -> None:
    """The source's seq is higher, but its state is older than the current one."""
    follower = synced_follower(seq=5)
    late = PollResponse("b", OUTDATED_LIST_MARGIN_MS + 2000.0, 1, (complete(1, 70, s="history"),))
    assert poll(follower, 2000.0, late) == ([], SyncStatus.SOURCE_STALE)
    response = PollResponse("b", 4000.0, 2, (change(2, 71, s="history"),))
    assert poll(follower, 2100.0, response) == ([], SyncStatus.SOURCE_STALE)


def test_event_numbers_alone_determine_the_order_within_an_epoch() -> None:
    follower = synced_follower()
    events = (change(10, 6, s="again"), change(11, 4, s="by its number"), complete(12, 1, t="complete"))
    accepted, status = poll(follower, 1100.0, PollResponse("a", 0.0, 12, events))
    assert (accepted, status) == ([{"s": "by its number"}, {"t": "complete"}], SyncStatus.IN_SYNC)
    assert follower.begin_poll(1200.0) == ResumePosition("a", 12)


def test_requests_for_the_complete_state_after_gaps_become_rarer() -> None:
    follower = synced_follower()
    now = 1100.0
    resyncs = 0
    for index in range(200):
        number = 20 + index
        seq = 10 + 2 * index
        response = PollResponse("a", 0.0, number, (change(number, seq, s=index),))
        assert poll(follower, now, response)[0] in ([{"s": index}], [])
        if follower.begin_poll(now).resume == 0:
            resyncs += 1
            poll(follower, now, PollResponse("a", 0.0, number, (complete(number, seq, s=index),)))
        now += 300.0
    assert 5 <= resyncs <= 8  # within a minute: after 1, 2, 4, 8, 16 and 30 s


def test_plain_discovery_after_a_relay_is_polled_from_the_start() -> None:
    """Discovery's response to a number of another epoch is not accepted, nor is an intermediate list."""
    follower = synced_follower()
    response = PollResponse("", 0.0, 9, (change(1 << 40, 9, s="stray"),))
    assert poll(follower, 3000.0, response) == ([], SyncStatus.MORE_AVAILABLE)
    assert follower.begin_poll(3000.0) == ResumePosition("", 0)
    history = (
        complete(1, 1, s="first", t="first"),
        change(2, 2, t=None),
        PurgeEvent(3, "x", 5.0),
        change(4, 6, s="now"),
    )
    accepted, status = poll(follower, 3000.0, PollResponse("", 0.0, 4, history))
    assert (accepted, status) == ([{"s": "now"}, "x"], SyncStatus.IN_SYNC)
    assert follower.begin_poll(3000.0) == ResumePosition("", 4)


@pytest.mark.parametrize(
    ("cursor", "events", "accepted"),
    [
        (1, (complete(1, 1, s="new"),), {"s": "new"}),
        (41, (complete(1, 1, s="old"), change(41, 31, t="new")), {"t": "new"}),  # the numbers were not reset
    ],
)
def test_reset_of_numbers_is_verified_by_a_poll_from_0(
    cursor: int, events: tuple[EndpointListEvent, ...], accepted: dict[str, str]
) -> None:
    follower = StateFollower()
    now = 1000.0
    poll(follower, now, PollResponse("", 0.0, 40, (complete(40, 30, s="ours"),)))
    for _ in range(3):
        assert follower.begin_poll(now).resume == 40
        now += MIN_LOWER_CURSOR_MS / 2
        assert poll(follower, now, PollResponse("", 0.0, 1))[1] is SyncStatus.MORE_AVAILABLE
    assert follower.begin_poll(now) == ResumePosition("", 0)
    assert poll(follower, now, PollResponse("", 0.0, cursor, events))[0] == [accepted]
    assert follower.begin_poll(now).resume == cursor


def test_briefly_lower_cursor_is_not_a_reset() -> None:
    follower = synced_follower()
    now = 1100.0
    for last in (3, 3, 10, 3, 3, 10):
        poll(follower, now, PollResponse("a", 0.0, last))
        now += MIN_LOWER_CURSOR_MS
        assert follower.begin_poll(now) == ResumePosition("a", 10)


def test_seeded_list_is_replaced_only_by_one_that_is_no_older() -> None:
    follower = StateFollower()
    follower.seed(1000.0, 41, 7)
    assert follower.begin_poll(1000.0) == ResumePosition("", 41)
    response = PollResponse("b", 50.0, 1, (complete(1, 6, s="old"),))
    assert poll(follower, 1100.0, response) == ([], SyncStatus.SOURCE_STALE)
    assert poll(follower, 1200.0, PollResponse("c", 50.0, 1, (complete(1, 7, s="new"),)))[0] == [{"s": "new"}]


def test_source_without_a_list_is_stale() -> None:
    follower = StateFollower()
    response = PollResponse("", 0.0, 1, (PurgeEvent(1, "x", 5.0),))
    assert poll(follower, 1.0, response) == (["x"], SyncStatus.SOURCE_STALE)
    response = PollResponse("", 0.0, 2, (complete(2, 1, s="now"),))
    assert poll(follower, 2.0, response) == ([{"s": "now"}], SyncStatus.IN_SYNC)


def test_paged_state_is_confirmed_once_it_is_complete() -> None:
    follower = synced_follower()
    follower.begin_poll(3000.0)
    first = follower.accept_response(
        3000.0, PollResponse("b", 0.0, 9, (PurgeEvent(7, "x", 1.0), complete(8, 2, s="theirs")))
    )
    assert [event.number for event in first.events] == [7]
    assert first.status is SyncStatus.MORE_AVAILABLE
    assert follower.age_ms(3000.0) == 2000.0
    accepted = poll(follower, 3010.0, PollResponse("b", 0.0, 9, (change(9, 3, s="last"),)))
    assert accepted == ([{"s": "last"}], SyncStatus.IN_SYNC)
    assert follower.age_ms(3010.0) == 0.0
