"""The operators' door, its figures, and the drain, with a fake clock and transport."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.helpers import EDGES, RouterDriver, attempt_of
from tests.loopback import make_loopback_environment
from tests.net.downstream.test_clients import REQUESTS, Hall, Transport, both
from tests.net.wire.test_codecs import PARAMS, asked, fixed
from thornjunction import interface as api
from thornjunction.core.ports import Content, Failed, Rejected, RequestOutcome, Served
from thornjunction.net.admin import admin_endpoint as operators
from thornjunction.net.admin.admin_endpoint import AdminConnection, AdminEndpoint
from thornjunction.net.wire import ProtocolError
from thornjunction.net.wire.admin import MAX_LINE_BYTES, LineReader, encode_counters, encode_reply
from thornjunction.runtime.admin_metrics import collect_admin_metrics
from thornjunction.runtime.drain import HURRY_DELAY_MS, REFUSE_AFTER_MS, SWEEP_INTERVAL_MS, Drain


@given(cuts=st.lists(st.integers(0, 9), max_size=5), junk=st.binary(max_size=200))
@fixed
def test_a_line_is_read_however_it_is_cut(cuts: list[int], junk: bytes) -> None:
    data, reader = b"drain-on\r\n", LineReader()
    places = [0, *sorted(cuts), len(data)]
    told = [reader.feed(data[a:b]) for a, b in zip(places, places[1:], strict=False)]
    assert told[-1] == "drain-on" and set(told[:-1]) <= {None}
    try:
        LineReader().feed(junk)
    except ProtocolError as error:
        assert str(error) and len(junk) > MAX_LINE_BYTES


class Callers:
    """A door with one call, and its callers."""

    def __init__(self) -> None:
        self.hall = Hall()
        calls = {"check": lambda: encode_reply(True)}
        self.door = AdminEndpoint(calls, self.hall.deadlines, lambda: self.hall.now)

    def connect(self, data: bytes = b"") -> Any:
        link: Any = AdminConnection(self.door)
        link.makeConnection(Transport())
        if data:
            link.dataReceived(data)
        return link


def test_each_connection_carries_one_call() -> None:
    callers = Callers()
    link = callers.connect(b"che")
    assert link.transport.value() == b""
    link.dataReceived(b"ck\n")
    link.dataReceived(b"check\n")
    assert link.transport.value() == b"ACK\n" and link.transport.disconnecting
    assert callers.connect(b"drain\n").transport.value().startswith(b"NAK")
    assert callers.connect(b"x" * 500).code == "line-size"


def test_callers_that_say_nothing_neither_stay_nor_keep_others_out() -> None:
    callers = Callers()
    silent = [callers.connect(b"che" if number % 2 else b"") for number in range(operators.MAX_CONNECTIONS)]
    assert callers.connect(b"check\n").transport.value() == b"ACK\n" and silent[0].code == "evicted"
    callers.hall.wait(operators.CALL_TIMEOUT_MS)
    assert {link.code for link in silent[1:]} == {"silent"} and not callers.door.connections


def test_figures_are_lines_between_a_yes_and_the_end() -> None:
    assert encode_counters({"relayed": 3, "open_requests": 0}) == (
        b"ACK\nrouter.relayed=3\nrouter.open_requests=0\n--\n"
    )


def test_figures_count_what_was_answered_and_who_is_avoided() -> None:
    rig, files = make_loopback_environment(), Counter(accepted=2, invalid=1)
    rig.counters.request_ended("films", RequestOutcome.SERVED, 1.0)
    rig.counters.request_ended("films", RequestOutcome.REJECTED, 1.0)
    rig.counters.request_ended("made-up", RequestOutcome.FAILED, 1.0)
    told = collect_admin_metrics(rig.counters, rig.engine, rig.pool, rig.engine.router, files)  # type: ignore[arg-type]
    assert (told["fulfilled.films"], told["throttled.films"], told["faulted.films"]) == (1, 1, 0)
    assert (told["registry_entries"], told["out_of_rotation"], told["open_requests"]) == (2, 0, 0)
    assert (told["cfg_accepted"], told["cfg_invalid"], told["relayed"]) == (2, 1, 0)
    assert "faulted.made-up" not in told and not [name for name in told if "made-up" in name]
    rig.pool.update(tuple(upstream.host for upstream in rig.pool.upstreams.values()), True)
    for port in rig.ports:
        port.stopListening()
    rig.timer_service.stop()


def test_who_leaves_or_fails_is_avoided() -> None:
    bench = RouterDriver()
    names = [entry.server for entry in EDGES]

    def avoided(listed: list[str]) -> int:
        return bench.router.state.placement.server_list.count_unavailable(listed, bench.now_ms)

    assert avoided(names) == 0
    bench.end_attempt(attempt_of(bench.request()), api.AttemptStatus.CONNECTION_REFUSED)
    assert avoided(names) == 1
    bench.handle(
        api.EndpointListUpdate(
            (api.ServerEntry(names[0], api.Role.EDGE, "here", api.ServerState.DRAINING),), False
        )
    )
    assert avoided(names) in (1, 2) and avoided([names[0]]) == 1


def test_what_a_front_answers_itself_is_counted() -> None:
    hall = Hall()
    link: Any = hall.connect("fastcgi")
    link.dataReceived(asked(params=PARAMS | {"HTTP_X_ROW": "no object"}))
    link.busy = lambda: b"Status: 503\r\n\r\n"
    link.dataReceived(asked())
    assert hall.turned_away == [("clips", Failed(False)), ("clips", Rejected(0.0))]


@both
def test_a_drain_ends_idle_connections_and_then_all(kind: str) -> None:
    """Idle ones at the first look, a busy one with its answer, a new one not before it has asked."""
    hall = Hall()
    drain = Drain(hall.table, hall.deadlines, lambda: hall.now, lambda: None)
    idle, busy, new = (hall.connect(kind) for _ in range(3))
    idle.dataReceived(REQUESTS[kind]())
    hall.replies[0](Served(Content(b"x")))
    busy.dataReceived(REQUESTS[kind]())
    drain.start(100.0)
    assert drain.is_active and [link.code for link in (idle, busy, new)] == ["", "", ""]
    hall.wait(100.0)
    assert [link.code for link in (idle, busy, new)] == ["drained", "", ""]
    assert not drain.is_refusing
    hall.wait(REFUSE_AFTER_MS - 100.0)
    assert drain.is_refusing
    hall.replies[1](Served(Content(b"x")))
    hall.wait(SWEEP_INTERVAL_MS)
    assert busy.code == "drained" and new.code == ""
    drain.stop()
    new.dataReceived(REQUESTS[kind]())
    hall.replies[2](Served(Content(b"x")))
    hall.wait(5 * SWEEP_INTERVAL_MS)
    assert new.code == "" and not (drain.is_active or drain.is_refusing)


def test_a_drain_hurries_what_is_stuck_once_it_refuses() -> None:
    """One request that waited for a lost answer had its connection refuse all others to its deadline."""
    hall = Hall()
    hurried: list[float] = []
    drain = Drain(hall.table, hall.deadlines, lambda: hall.now, lambda: hurried.append(hall.now))
    since = hall.now
    drain.start(0.0)
    hall.wait(REFUSE_AFTER_MS + HURRY_DELAY_MS - 1.0)
    assert drain.is_refusing and not hurried
    hall.wait(SWEEP_INTERVAL_MS + 1.0)
    assert hurried and hurried[0] >= since + REFUSE_AFTER_MS + HURRY_DELAY_MS


@pytest.mark.parametrize("answered", [False, True])
def test_a_drain_that_is_asked_for_twice_starts_anew(answered: bool) -> None:
    hall = Hall()
    drain = Drain(hall.table, hall.deadlines, lambda: hall.now, lambda: None)
    drain.start(500.0)
    drain.start(0.0 if answered else 900.0)
    link = hall.connect("fastcgi")
    link.dataReceived(asked())
    hall.replies[0](Served(Content(b"x")))
    hall.wait(600.0)
    assert (link.code == "drained") is answered
