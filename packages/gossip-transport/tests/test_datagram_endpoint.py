"""The endpoint with a fake transport, clock and scheduler, and a pair of them on loopback."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import pytest
from gossip_transport import AGAIN_MS, LOOKED, MAX_DATAGRAM, TURN, FleetPort
from sansio_core import (
    Action,
    DatagramReceived,
    Event,
    Notice,
    SendDatagram,
    SetTimer,
    ShutdownRequested,
    Started,
    TimerFired,
)
from twisted.internet import reactor
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.trial.unittest import TestCase

PEER = ("127.0.0.1", 9)


class Scripted:
    """Answers each event by what is scripted for its kind; keeps all events with their times."""

    def __init__(self, script: dict[type, Any]) -> None:
        self.script = script
        self.events: list[tuple[float, Event]] = []

    def handle(self, now: float, event: Event) -> list[Action]:
        self.events.append((now, event))
        told = self.script.get(type(event), [])
        if isinstance(told, Exception):
            raise told
        return told(event) if callable(told) else list(told)


class Transport:
    """Keeps what is written; ``fails`` makes the socket refuse."""

    maxThroughput, fails = 4096, False  # noqa: N815

    def __init__(self) -> None:
        self.sent: list[tuple[bytes, Any]] = []

    def write(self, data: bytes, to: Any) -> None:
        if self.fails:
            raise BlockingIOError
        self.sent.append((data, to))


class Hall:
    """One endpoint on a fake clock."""

    def __init__(self, script: dict[type, Any]) -> None:
        self.now, self.told = 5.0, list[Notice]()
        self.later: list[tuple[float, Callable[[], None]]] = []
        self.machine, self.transport = Scripted(script), Transport()
        self.port = FleetPort(self.machine, lambda: self.now, self.schedule, self.told.append)
        self.connect()

    def schedule(self, in_ms: float, call: Callable[[], None]) -> None:
        self.later.append((self.now + in_ms, call))

    def connect(self) -> None:
        transport: Any = self.transport
        self.port.makeConnection(transport)

    def turn(self, now: float = 5.0) -> None:
        self.now = now
        due, self.later = [e for e in self.later if e[0] <= now], [e for e in self.later if e[0] > now]
        for _, call in due:
            call()


def test_actions_are_carried_out_in_order_and_timers_come_back() -> None:
    order: list[str] = []
    hall = Hall({Started: [Notice("a"), SendDatagram(PEER, b"x"), SetTimer(7.0, 3), Notice("b")]})
    hall.port.tell = lambda told: order.append(told.name)
    hall.transport.write = lambda data, to: order.append(data.decode())  # type: ignore[method-assign]
    hall.port.feed(Started())
    assert order == ["a", "x", "b"]
    hall.turn(11.0)
    assert hall.machine.events == [(5.0, Started()), (5.0, Started())]
    hall.turn(12.5)
    assert hall.machine.events[2:] == [(12.5, TimerFired(3))] * 2


@pytest.mark.parametrize(("size", "taken"), [(0, True), (MAX_DATAGRAM, True), (MAX_DATAGRAM + 1, False)])
def test_datagrams_over_the_bound_pass_neither_way(
    size: int, taken: bool, caplog: pytest.LogCaptureFixture
) -> None:
    hall = Hall({DatagramReceived: [SendDatagram(PEER, b"y" * size), Notice("after")]})
    hall.port.datagramReceived(b"z" * size, PEER)
    assert ((5.0, DatagramReceived(PEER, b"z" * size)) in hall.machine.events) is taken
    assert hall.port.counts["oversize-in"] == (not taken)
    hall.port.datagramReceived(b"small", PEER)
    assert (len(hall.transport.sent) > 0) is taken
    assert hall.port.counts["oversize-out"] == (not taken) and hall.told[-1] == Notice("after")
    assert bool(caplog.records) is not taken


def test_a_flood_is_bounded_in_each_turn() -> None:
    hall = Hall({})
    for turn in (1, 2):
        for _ in range(LOOKED):
            assert hall.transport.maxThroughput > 0
            hall.port.datagramReceived(b"", PEER)
        assert hall.port.counts["in"] == turn * TURN
        assert hall.port.counts["flood"] == turn * (LOOKED - TURN)
        assert hall.transport.maxThroughput == 0  # the socket is read no further
        hall.turn()
        assert hall.transport.maxThroughput == 4096


def test_faults_are_logged_sparsely_and_end_nothing(caplog: pytest.LogCaptureFixture) -> None:
    hall = Hall({DatagramReceived: RuntimeError("machine"), Started: [Notice("a"), SetTimer(1.0, 1)]})
    with caplog.at_level(logging.ERROR):
        for _ in range(9):
            hall.port.datagramReceived(b"x", PEER)
            hall.turn()
    assert hall.port.counts["fault"] == 9 and len(caplog.records) == 4  # 1st, 2nd, 4th, 8th
    hall.port.tell = lambda told: 1 / 0  # type: ignore[assignment]
    hall.port.feed(Started())
    assert hall.port.counts["fault"] == 10 and hall.later  # the timer behind it is set all the same
    hall.transport.fails = True
    hall.machine.script[DatagramReceived] = [SendDatagram(PEER, b"x")]
    hall.port.datagramReceived(b"x", PEER)
    assert hall.port.counts["unsent"] == 1 and hall.port.counts["fault"] == 10
    hall.machine.script[TimerFired] = RuntimeError("once")
    hall.turn(6.0)
    hall.machine.script[TimerFired] = []
    hall.turn(6.0 + AGAIN_MS)
    fired = [at for at, event in hall.machine.events if event == TimerFired(1)]
    assert fired == [6.0, 6.0, 6.0 + AGAIN_MS, 6.0 + AGAIN_MS]


def test_leaving_is_the_last_event() -> None:
    hall = Hall({ShutdownRequested: [SendDatagram(PEER, b"bye")], Started: [SetTimer(1.0, 1)]})
    hall.port.leave()
    hall.port.leave()
    hall.port.datagramReceived(b"x", PEER)
    hall.turn(10.0)
    assert [event for _, event in hall.machine.events] == [Started(), ShutdownRequested()]
    assert hall.transport.sent == [(b"bye", PEER)]
    silent = FleetPort(hall.machine, lambda: 0.0, hall.schedule, print)
    silent.leave()
    assert silent.ended and not silent.counts


class PairTest(TestCase):
    """Two endpoints on loopback."""

    timeout = 20

    def port(self, script: dict[type, Any]) -> tuple[FleetPort, Any]:
        clock: Any = reactor
        made = FleetPort(
            Scripted(script), clock.seconds, lambda ms, call: clock.callLater(ms / 1000, call), print
        )
        bound = made.listen(reactor, ("127.0.0.1", 0))
        self.addCleanup(bound.stopListening)
        return made, bound.getHost()

    @inlineCallbacks
    def test_a_datagram_goes_there_and_back(self) -> Any:
        back: Deferred[DatagramReceived] = Deferred()
        _, at = self.port({DatagramReceived: lambda heard: [SendDatagram(heard.source, heard.data + b"!")]})
        one, _ = self.port({DatagramReceived: [Notice("back")]})
        one.tell = lambda told: back.callback(one.machine.events[-1][1])  # type: ignore[attr-defined]
        one.feed(Started())
        one._carry_out(SendDatagram((at.host, at.port), b"hail"))
        heard = yield back
        assert heard == DatagramReceived((at.host, at.port), b"hail!")
        assert one.counts == {"out": 1, "in": 1}
