"""Slots, deadlines, the engine, load shedding and the configuration, with a fake clock and fake ports."""

from __future__ import annotations

import json
from typing import Any
from unittest.mock import Mock

import pytest
from twisted.internet.task import Clock

from tests.helpers import RouterDriver, attempt_of, final_actions
from tests.test_adapter import PARAMS as SETTINGS
from thornjunction import interface as api
from thornjunction.core.attempts import AttemptState
from thornjunction.core.counters import Counters
from thornjunction.core.engine import Engine
from thornjunction.core.load_shedding import MAX_OPEN_REQUESTS, MIN_ADMITTED_SHARE, LoadShedder
from thornjunction.core.ports import (
    Answer,
    ClientRequest,
    Content,
    Failed,
    Rejected,
    RequestTableFullError,
    Served,
    UpstreamRequest,
)
from thornjunction.memory.deadlines import Deadlines, TooManyDeadlinesError
from thornjunction.memory.slots import SlotTable, SlotTableFullError
from thornjunction.net.discovery.watch import WatchHandlers
from thornjunction.net.discovery.watch_client import WatchClient
from thornjunction.net.discovery.watch_context import WatchContext
from thornjunction.net.event_loop.timer_service import TimerService, core_ms
from thornjunction.net.wire.commands import Commands, Purge
from thornjunction.runtime.config import parse_config
from thornjunction.runtime.errors import ConfigError

REQUEST = ClientRequest("t1", "films", "00000000000000ff", 1000.0)


def test_a_stale_number_does_not_find_the_next_tenant() -> None:
    table: SlotTable[str] = SlotTable(2)
    first, second = table.add("a"), table.add("b")
    with pytest.raises(SlotTableFullError):
        table.add("c")
    assert table.remove(first) == "a" and table.remove(first) is None
    assert table.add("d") not in (first, second) and table.get(first) is None and list(table) == ["b", "d"]


def test_deadlines_run_in_order_and_are_bounded() -> None:
    told: list[str] = []
    deadlines = Deadlines(capacity=300)
    later = deadlines.add(5.0, lambda: told.append("later"))
    deadlines.add(2.0, lambda: (told.append("first"), deadlines.cancel(later))[0])
    deadlines.add(5.0, lambda: told.append("last"))
    deadlines.run_due(1.0)
    deadlines.run_due(9.0)
    assert told == ["first", "last"] and len(deadlines) == 0
    for _ in range(1000):
        deadlines.cancel(deadlines.add(7.0, lambda: None))
    assert len(deadlines) == 0 and deadlines.next_due() == float("inf")
    with pytest.raises(TooManyDeadlinesError):
        for _ in range(301):
            deadlines.add(1.0, lambda: None)


def test_a_failing_deadline_costs_no_other_its_turn() -> None:
    reactor, ran = Clock(), list[str]()
    timer_service = TimerService(reactor)
    for callback in (lambda: 1 / 0, lambda: ran.append("due")):
        timer_service.deadlines.add(core_ms() - 1.0, callback)
    timer_service.deadlines.add(core_ms() + 60_000.0, lambda: ran.append("later"))
    reactor.advance(0.0)
    assert ran == ["due"]
    assert len(reactor.getDelayedCalls()) == 1  # for the later one


class Script:
    """A router that does what it is told, and ports that remember."""

    def __init__(self) -> None:
        self.now, self.events, self.steps = 0.0, [], []  # type: ignore[var-annotated]
        self.sent: list[UpstreamRequest] = []
        self.cancelled: list[int] = []
        self.waits = False  # attempts, for a connection
        self.answers: list[Answer] = []
        self.deadlines, self.counters = Deadlines(), Counters(classes={"films"})
        self.engine = Engine(self, 2, lambda: self.now, self.deadlines, self, self.counters)

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self.events.append(event)
        return self.steps.pop(0) if self.steps else []

    def send(self, request: UpstreamRequest) -> None:
        self.sent.append(request)

    def withdraw(self, number: int) -> bool:
        return self.waits

    def cancel(self, number: int) -> None:
        self.cancelled.append(number)

    def probe(self, server: str) -> None:
        raise NotImplementedError

    def open(self) -> int:
        self.steps = [[api.StartAttempt("0", "s", 500.0, "s")]]
        return self.engine.open(REQUEST, self.answers.append)

    def pass_time(self, ms: float) -> None:
        self.now += ms
        self.deadlines.run_due(self.now)


def test_a_full_core_takes_nothing_on() -> None:
    script = Script()
    for table in (script.engine.requests, script.deadlines):
        table.capacity = 0
        with pytest.raises(RequestTableFullError):
            script.open()
        table.capacity = 99
    assert script.open() == 0 and len(script.engine.requests) == 1 and len(script.events) == 1


def test_the_first_answer_is_the_only_one() -> None:
    script = Script()
    number = script.open()
    script.steps = [[api.FailRequest(str(number)), api.RejectRequest(str(number))]]
    script.engine.attempt_ended(script.sent[0].number, api.AttemptStatus.SUCCEEDED, Content(b"x"))
    script.engine.attempt_ended(script.sent[0].number, api.AttemptStatus.CONNECTION_RESET)
    script.pass_time(2000.0)
    assert script.answers == [Served(Content(b"x"))]
    assert isinstance(script.events[-1], api.AttemptEnded) and script.events[-1].final


def test_an_attempt_called_back_while_it_waits_never_ran() -> None:
    script = Script()
    number, script.waits, script.steps = script.open(), True, [[api.CancelAttempt("0", 0)]]
    script.engine.feed(api.TimerFired(1))
    script.pass_time(500.0)
    assert [e.status for e in script.events if isinstance(e, api.AttemptEnded)] == [
        api.AttemptStatus.NOT_STARTED
    ]
    assert number == 0 and script.cancelled == []


def test_the_end_of_an_attempt_says_whether_its_request_has_ended() -> None:
    for client_leaves, state in ((False, AttemptState.AWAITED), (True, AttemptState.UNNEEDED)):
        script = Script()
        number = script.open()
        if client_leaves:
            script.engine.abandon(number)
        attempt = script.engine.attempts.find(str(number), 0)
        assert attempt is not None and attempt.state is state
        for _ in range(2):  # the second report is late, and counts for nothing
            script.engine.attempt_ended(attempt.number, api.AttemptStatus.CONNECTION_RESET)
        assert attempt.state is AttemptState.ENDED
        assert [e.final for e in script.events if isinstance(e, api.AttemptEnded)] == [client_leaves]


def test_a_time_out_gives_up_and_is_told_once() -> None:
    script = Script()
    number = script.open()
    script.pass_time(500.0)
    script.engine.attempt_ended(script.sent[0].number, api.AttemptStatus.SUCCEEDED, Content(b"late"))
    assert [e.status for e in script.events if isinstance(e, api.AttemptEnded)] == [api.AttemptStatus.TIMEOUT]
    assert script.cancelled == [script.sent[0].number] and script.answers == []
    script.steps = [[api.RejectRequest(str(number), 40.0)]]
    script.engine.feed(api.TimerFired(1))
    assert script.answers == [Rejected(40.0)]


def test_what_comes_while_the_process_ends_is_answered_before_its_end() -> None:
    """It had its whole time, and the kill came first: the client lost its answer."""
    script = Script()
    script.engine.shutdown_at_ms = 700.0
    script.open()
    assert script.events[0].remaining_ms == 700.0
    script.pass_time(699.0)
    assert script.answers == []
    script.pass_time(1.0)
    assert script.answers == [Failed(timed_out=False)]


def test_who_is_hurried_is_answered_by_what_is_known() -> None:
    bench = RouterDriver(may_bypass_caches=True)
    film, order = attempt_of(bench.request()), attempt_of(bench.request(class_name="order"))
    assert final_actions(bench.handle(api.RequestExpired(film.request_id))) == [
        api.RejectRequest(film.request_id)
    ]
    assert final_actions(bench.handle(api.RequestExpired(order.request_id))) == [
        api.FailRequest(order.request_id)
    ]
    assert bench.handle(api.RequestExpired(film.request_id)) == []
    script = Script()
    number = script.open()
    script.engine.answer_all_now()
    assert script.events[-1] == api.RequestExpired(str(number))


def test_an_error_in_the_module_still_ends_in_an_answer() -> None:
    script = Script()
    script.open()
    script.steps = [None]  # type: ignore[list-item]
    script.handle = lambda now, event: 1 / 0  # type: ignore[method-assign,assignment,return-value]
    script.engine.attempt_ended(script.sent[0].number, api.AttemptStatus.ERROR)
    script.pass_time(1000.0)
    assert script.answers == [Failed(timed_out=True)]


def test_attempts_past_the_cap_are_skipped() -> None:
    script = Script()
    number = script.open()
    script.steps = [[api.StartAttempt(str(number), "s", 1.0, "s")] * 2]
    script.engine.feed(api.TimerFired(1))
    assert len(script.sent) == 2 and script.events[-1].status is api.AttemptStatus.NOT_STARTED
    script.engine.abandon(number)
    script.engine.abandon(number)
    assert script.events[-1] == api.ClientDisconnected(str(number)) and script.answers == []
    assert script.counters.counts["requests.films.abandoned"] == 1


def test_admission_falls_with_lateness_and_recovers() -> None:
    shedder = LoadShedder(lambda: 0.5)
    assert shedder.read_delay_ms() == 0.0  # the ways to the client and back are not the request's
    shedder.record_sample(1.0, 0.5)
    assert shedder.admits(0)
    for _ in range(50):
        shedder.record_sample(100.0, 0.7)
    assert shedder.read_delay_ms() == 100.0
    assert shedder.admitted_share == MIN_ADMITTED_SHARE and not shedder.admits(0)
    for _ in range(100):
        shedder.record_sample(0.0, 0.5)
    assert shedder.admits(0) and not shedder.admits(MAX_OPEN_REQUESTS)
    for _ in range(30):
        shedder.record_sample(0.0, 0.99)
    assert shedder.admitted_share < 1.0


def test_one_full_look_refuses_nobody() -> None:
    """20 ms of a healthy core are often full; it was refused for 354 times, with the loop 1 ms late."""
    shedder = LoadShedder(lambda: 0.99)
    for _ in range(50):
        shedder.record_sample(1.0, 0.98)
        shedder.record_sample(1.0, 0.6)
        assert shedder.admits(0)


def test_a_process_that_was_kept_from_running_refuses_nobody_for_it() -> None:
    """Seen at each start: one look 150 ms late with 1% of the core used, and a fifth refused for 0.7 s."""
    shedder = LoadShedder(lambda: 0.99, cores=0.5)
    shedder.record_sample(158.0, 0.01)
    assert shedder.admits(0)
    for _ in range(30):
        shedder.record_sample(0.0, 0.45)  # of half a core
    assert not shedder.admits(0)


def test_the_channels_first_answer_is_told_once() -> None:
    """A process that replaces another serves when it has heard what its old list lacks."""
    told: list[str] = []
    channel = WatchClient(
        WatchContext(Mock(), Deadlines(), lambda: 0.0),
        ("127.0.0.1", 1),
        WatchHandlers(told.append, lambda: told.append("now")),
    )
    for cursor in (1, 2):
        channel.handle_response(Commands(cursor, (Purge(cursor, 1, 0, 0.0),)), is_stable=False)
    assert [type(item).__name__ for item in told] == ["Purge", "str", "Purge"]


def test_an_event_of_the_channel_counts_once() -> None:
    taken: list[Any] = []
    context = WatchContext(Mock(), Deadlines(), lambda: 0.0)
    channel = WatchClient(context, ("127.0.0.1", 1), WatchHandlers(taken.append))
    events = tuple(Purge(number, 1, 0, 0.0) for number in (1, 2, 3))
    channel.feed.apply(Commands(2, events[:2]))
    channel.feed.apply(Commands(3, events[1:]))
    assert taken == list(events) and channel.cursor == 3


def test_what_may_have_run_is_known_to_the_next_try() -> None:
    bench = RouterDriver(may_bypass_caches=True)
    first = attempt_of(bench.request(class_name="keyed", idempotency_key="k"))
    bench.end_attempt(first, api.AttemptStatus.TIMEOUT)
    bench.advance(2500.0)
    assert final_actions(bench.request(class_name="keyed", idempotency_key="k")) == [
        api.FailRequest(str(bench.request_count))
    ]
    actions = bench.request(class_name="keyed", idempotency_key="other")
    while not final_actions(actions):
        actions = bench.end_attempt(attempt_of(actions), api.AttemptStatus.NOT_STARTED)
    assert not final_actions(bench.request(class_name="keyed", idempotency_key="other"))


CONFIG = {"name": "n1", "listen": "127.0.0.1:9", "channel": "127.0.0.1:8", "settings": SETTINGS} | {
    "limits": {"sockets": 90},
    "known": {"cursor": 0, "cmds": []},
}


def test_configuration_is_read_and_its_faults_are_named() -> None:
    config = parse_config(json.dumps(CONFIG).encode(), {"PROXY_NAME": "n2"})
    assert (config.name, config.listen, config.pool_limits.max_connections) == ("n2", ("127.0.0.1", 9), 30)
    env = {"PROXY_ADMIN_ADDR": "127.0.0.1:7", "PROXY_SOCKET_FD": "7", "TMPDIR": "/t"}
    told = parse_config(json.dumps(CONFIG).encode(), env)
    assert (told.admin, told.listening_descriptor, told.handover_folder) == (("127.0.0.1", 7), 7, "/t")
    with pytest.raises(ConfigError, match="PROXY_SOCKET_FD"):
        parse_config(json.dumps(CONFIG).encode(), {"PROXY_SOCKET_FD": "-1"})
    faults = {
        "admin_addr": "x",
        "listen": "x",
        "channel": "1.2.3.4:0",
        "seed": "z",
        "known": {"cmds": 3},
        "limits": {"sockets": -1},
    }
    for key, value in faults.items():
        with pytest.raises(ConfigError, match=key):
            parse_config(json.dumps(CONFIG | {key: value}).encode(), {})
