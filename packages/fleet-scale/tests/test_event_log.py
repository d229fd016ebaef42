"""The event log of the fake discovery: its answers to pollers, by the cursor of their last event."""

from __future__ import annotations

from fleet_scale.event_plan import INITIAL_WEIGHT, change_of_weight, weight_of_change
from fleet_scale.worker.event_log import EventLog, build_endpoint_list, list_digest

from thornjunction.net.wire import http1
from thornjunction.net.wire.commands import Commands, ListChange, Purge, decode_commands

MAX_ANSWER_BYTES = 10_000_000
ISSUED_UNIX_MS = 1e12


def decode(answer: bytes) -> Commands:
    (response,) = http1.ResponseReader(MAX_ANSWER_BYTES).feed(answer)
    return decode_commands(response.body)


def build_log(cache_servers: int) -> EventLog:
    return EventLog(build_endpoint_list(cache_servers, ["a", "b"], [1, 2, 3], INITIAL_WEIGHT))


def test_the_log_begins_with_the_complete_list_and_answers_with_the_events_after_a_cursor() -> None:
    log = build_log(5)
    first = decode(log.answer(0))
    (change,) = first.events
    assert isinstance(change, ListChange)
    assert change.is_complete
    assert len(change.hosts) == 6
    log.purge(7, ISSUED_UNIX_MS)
    log.change("s-0001", health="leaving", weight=weight_of_change(1))
    answer = decode(log.answer(first.cursor))
    purge, change = answer.events
    assert isinstance(purge, Purge)
    assert (purge.key, purge.issued_unix_ms, purge.cursor) == (7, ISSUED_UNIX_MS, 2)
    assert isinstance(change, ListChange)
    assert not change.is_complete
    assert change.cursor == answer.cursor == 3
    assert [(host.name, change_of_weight(host.weight)) for host in change.hosts] == [("s-0001", 1)]
    assert decode(log.answer(3)).events == ()
    assert decode(log.answer(9)).cursor == 3


def test_the_complete_state_is_the_current_list_and_the_retained_purges() -> None:
    log = build_log(2)
    for number, age_ms in ((0, 0), (1, 9000), (2, 12_000)):
        log.purge(number, ISSUED_UNIX_MS + age_ms)
    log.change("s-0000", health="leaving")
    answer = decode(log.answer(0))
    assert [event.key for event in answer.events if isinstance(event, Purge)] == [1, 2]
    assert [event.cursor for event in answer.events] == [3, 4, 5]
    assert answer.cursor == 5
    complete_list = answer.events[-1]
    assert isinstance(complete_list, ListChange)
    assert complete_list.hosts[0].state.name == "DRAINING"
    log.restart()
    assert log.cursor == 1
    assert len(decode(log.answer(0)).events) == 1


def test_a_history_is_sent_only_to_pollers_that_lacked_earlier_events() -> None:
    log = build_log(1)
    for number in range(100):
        log.purge(number, ISSUED_UNIX_MS)
    log.add_history((number, ISSUED_UNIX_MS) for number in range(100, 200))
    log.purge(200, ISSUED_UNIX_MS)

    def keys(resume: int) -> list[int | None]:
        return [event.key for event in decode(log.answer(resume)).events if isinstance(event, Purge)]

    assert keys(101) == [199, 200]
    assert keys(99) == [98, 99, 199, 200]
    assert keys(201) == [200]
    assert keys(80) == list(range(79, 201))


def test_the_list_digest_does_not_depend_on_order() -> None:
    ordered = list_digest({"a": 1.0, "b": 2.0})
    assert ordered == list_digest({"b": 2.0, "a": 1.0})
    assert ordered != list_digest({"a": 1.0})
