"""Tests of the endpoint with a fake transport, clock and scheduler, and of two endpoints on loopback."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import pytest
from gossip_transport import (
    MAX_HANDLED_PER_TURN,
    MAX_READ_PER_TURN,
    TIMER_RETRY_MS,
    DatagramEndpoint,
    EndpointCounters,
)
from sansio_core import (
    MAX_DATAGRAM_BYTES,
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


class ScriptedMachine:
    """Returns the scripted actions for each type of event; records all events with their times."""

    def __init__(self, script: dict[type, Any]) -> None:
        self.script = script
        self.events: list[tuple[float, Event]] = []

    def handle(self, now: float, event: Event) -> list[Action]:
        self.events.append((now, event))
        scripted = self.script.get(type(event), [])
        if isinstance(scripted, Exception):
            raise scripted
        if callable(scripted):
            scripted = scripted(event)
        return list(scripted)


class FakeTransport:
    """Records written datagrams; with ``write_fails``, writing raises an error."""

    maxThroughput = 4096  # noqa: N815
    write_fails = False

    def __init__(self) -> None:
        self.sent: list[tuple[bytes, Any]] = []

    def write(self, data: bytes, to: Any) -> None:
        if self.write_fails:
            raise BlockingIOError
        self.sent.append((data, to))


class EndpointHarness:
    """One endpoint with a fake clock, scheduler and transport."""

    def __init__(self, script: dict[type, Any]) -> None:
        self.now = 5.0
        self.notices: list[Notice] = []
        self.timers: list[tuple[float, Callable[[], None]]] = []
        self.machine = ScriptedMachine(script)
        self.transport = FakeTransport()
        self.endpoint = DatagramEndpoint(self.machine, lambda: self.now, self.schedule, self.notices.append)
        transport: Any = self.transport
        self.endpoint.makeConnection(transport)

    def schedule(self, in_ms: float, callback: Callable[[], None]) -> None:
        self.timers.append((self.now + in_ms, callback))

    def advance(self, now: float = 5.0) -> None:
        self.now = now
        due = [timer for timer in self.timers if timer[0] <= now]
        self.timers = [timer for timer in self.timers if timer[0] > now]
        for _, callback in due:
            callback()


def test_actions_are_carried_out_in_order_and_timers_fire_as_events() -> None:
    order: list[str] = []
    harness = EndpointHarness(
        {Started: [Notice("a"), SendDatagram(PEER, b"x"), SetTimer(7.0, 3), Notice("b")]}
    )
    harness.endpoint.on_notice = lambda notice: order.append(notice.name)
    harness.transport.write = lambda data, to: order.append(data.decode())  # type: ignore[method-assign]
    harness.endpoint.deliver(Started())
    assert order == ["a", "x", "b"]
    harness.advance(11.0)
    assert harness.machine.events == [(5.0, Started()), (5.0, Started())]
    harness.advance(12.5)
    assert harness.machine.events[2:] == [(12.5, TimerFired(3))] * 2


@pytest.mark.parametrize(
    ("size", "accepted"), [(0, True), (MAX_DATAGRAM_BYTES, True), (MAX_DATAGRAM_BYTES + 1, False)]
)
def test_oversize_datagrams_are_neither_received_nor_sent(
    size: int, accepted: bool, caplog: pytest.LogCaptureFixture
) -> None:
    harness = EndpointHarness({DatagramReceived: [SendDatagram(PEER, b"y" * size), Notice("after")]})
    harness.endpoint.datagramReceived(b"z" * size, PEER)
    assert ((5.0, DatagramReceived(PEER, b"z" * size)) in harness.machine.events) is accepted
    assert harness.endpoint.counters.oversize_received == (not accepted)
    harness.endpoint.datagramReceived(b"small", PEER)
    assert (len(harness.transport.sent) > 0) is accepted
    assert harness.endpoint.counters.oversize_unsent == (not accepted)
    assert harness.notices[-1] == Notice("after")
    assert bool(caplog.records) is not accepted


def test_the_datagrams_handled_and_read_in_one_turn_are_limited() -> None:
    harness = EndpointHarness({})
    for turn in (1, 2):
        for _ in range(MAX_READ_PER_TURN):
            assert harness.transport.maxThroughput > 0
            harness.endpoint.datagramReceived(b"", PEER)
        assert harness.endpoint.counters.received == turn * MAX_HANDLED_PER_TURN
        assert harness.endpoint.counters.flood_dropped == turn * (MAX_READ_PER_TURN - MAX_HANDLED_PER_TURN)
        assert harness.transport.maxThroughput == 0  # nothing more is read from the socket in this iteration
        harness.advance()
        assert harness.transport.maxThroughput == 4096


def test_exceptions_are_logged_at_powers_of_two_and_do_not_stop_the_endpoint(
    caplog: pytest.LogCaptureFixture,
) -> None:
    harness = EndpointHarness(
        {DatagramReceived: RuntimeError("machine"), Started: [Notice("a"), SetTimer(1.0, 1)]}
    )
    with caplog.at_level(logging.ERROR):
        for _ in range(9):
            harness.endpoint.datagramReceived(b"x", PEER)
            harness.advance()
    assert harness.endpoint.counters.faults == 9
    assert len(caplog.records) == 4  # the 1st, 2nd, 4th and 8th exceptions
    harness.endpoint.on_notice = lambda notice: 1 / 0  # type: ignore[assignment]
    harness.endpoint.deliver(Started())
    assert harness.endpoint.counters.faults == 10
    assert harness.timers  # the action after the failed one is still carried out
    harness.transport.write_fails = True
    harness.machine.script[DatagramReceived] = [SendDatagram(PEER, b"x")]
    harness.endpoint.datagramReceived(b"x", PEER)
    assert harness.endpoint.counters.send_failures == 1
    assert harness.endpoint.counters.faults == 10
    harness.machine.script[TimerFired] = RuntimeError("once")
    harness.advance(6.0)
    harness.machine.script[TimerFired] = []
    harness.advance(6.0 + TIMER_RETRY_MS)
    fired = [at for at, event in harness.machine.events if event == TimerFired(1)]
    assert fired == [6.0, 6.0, 6.0 + TIMER_RETRY_MS, 6.0 + TIMER_RETRY_MS]


def test_shutdown_is_the_last_event() -> None:
    harness = EndpointHarness({ShutdownRequested: [SendDatagram(PEER, b"bye")], Started: [SetTimer(1.0, 1)]})
    harness.endpoint.shut_down()
    harness.endpoint.shut_down()
    harness.endpoint.datagramReceived(b"x", PEER)
    harness.advance(10.0)
    assert [event for _, event in harness.machine.events] == [Started(), ShutdownRequested()]
    assert harness.transport.sent == [(b"bye", PEER)]
    never_listened = DatagramEndpoint(harness.machine, lambda: 0.0, harness.schedule, print)
    never_listened.shut_down()
    assert never_listened.closed
    assert never_listened.counters == EndpointCounters()


class LoopbackPairTest(TestCase):
    """Tests of two endpoints on loopback."""

    timeout = 20

    def listening_endpoint(self, script: dict[type, Any]) -> tuple[DatagramEndpoint, Any]:
        clock: Any = reactor
        endpoint = DatagramEndpoint(
            ScriptedMachine(script), clock.seconds, lambda ms, call: clock.callLater(ms / 1000, call), print
        )
        listening_port = endpoint.listen(reactor, ("127.0.0.1", 0))
        self.addCleanup(listening_port.stopListening)
        return endpoint, listening_port.getHost()

    @inlineCallbacks
    def test_a_datagram_is_received_and_answered_over_loopback(self) -> Any:
        received_back: Deferred[DatagramReceived] = Deferred()
        _, address = self.listening_endpoint(
            {DatagramReceived: lambda event: [SendDatagram(event.source, event.data + b"!")]}
        )
        sender, _ = self.listening_endpoint({DatagramReceived: [Notice("back")]})
        sender.on_notice = lambda notice: received_back.callback(sender.machine.events[-1][1])  # type: ignore[attr-defined]
        sender.deliver(Started())
        sender._carry_out(SendDatagram((address.host, address.port), b"hello"))
        received = yield received_back
        assert received == DatagramReceived((address.host, address.port), b"hello!")
        assert sender.counters == EndpointCounters(sent=1, received=1)
