"""The fake discovery of scale runs, on in-memory transports."""

from __future__ import annotations

from typing import Any

import pytest
from fleet_scale.event_plan import INITIAL_WEIGHT, ChangePlan, PurgePlan
from fleet_scale.worker.event_discovery import EventDiscovery
from fleet_scale.worker.event_log import build_endpoint_list
from fleet_scale.worker.poll_connection import CHUNK_BYTES, PollConnection
from twisted.internet import testing

from thornjunction.net.wire import http1
from thornjunction.net.wire.commands import Commands, ListChange, Purge, decode_commands

MAX_ANSWER_BYTES = 1 << 24
untyped_testing: Any = testing


@pytest.fixture
def reactor() -> Any:
    """A reactor whose clock the test advances."""
    return untyped_testing.MemoryReactorClock()


def build_discovery(reactor: Any, cache_servers: int = 3) -> EventDiscovery:
    hosts = build_endpoint_list(cache_servers, ["a"], [9], INITIAL_WEIGHT)
    return EventDiscovery(reactor, hosts, lambda: float(reactor.seconds()))


@pytest.fixture
def discovery(reactor: Any) -> EventDiscovery:
    return build_discovery(reactor)


def connect(discovery: EventDiscovery) -> tuple[PollConnection, Any]:
    """Return a poller's connection and its transport."""
    connection: Any = discovery._build_connection()
    transport = untyped_testing.StringTransport()
    transport.setTcpNoDelay = lambda _: None
    transport.abortConnection = transport.loseConnection
    connection.makeConnection(transport)
    return connection, transport


def poll(resume: int, block_ms: int, parameters: str = "") -> bytes:
    return http1.encode_get(f"/cmd/next?resume={resume}&block={block_ms}{parameters}", "h")


def take_answer(transport: Any) -> Commands:
    """Decode and remove the one answer that was written since the last call."""
    (response,) = http1.ResponseReader(MAX_ANSWER_BYTES).feed(transport.value())
    transport.clear()
    return decode_commands(response.body)


def test_a_poll_is_held_until_an_event_or_its_timeout(reactor: Any, discovery: EventDiscovery) -> None:
    connection, transport = connect(discovery)
    connection.dataReceived(poll(0, 1200)[:20])
    connection.dataReceived(poll(0, 1200)[20:])
    assert isinstance(take_answer(transport).events[0], ListChange)
    connection.dataReceived(poll(1, 1200, "&as=router&epoch=x"))
    discovery.publish(PurgePlan(start_s=0.5, purges_per_s=2.0, count=2))
    reactor.advance(0.4)
    assert not transport.value()
    reactor.advance(0.2)
    (purge,) = take_answer(transport).events
    assert isinstance(purge, Purge)
    assert purge.key == 0
    connection.dataReceived(poll(2, 1200))
    reactor.advance(0.5)
    assert [event.cursor for event in take_answer(transport).events] == [3]
    connection.dataReceived(poll(3, 1200))
    reactor.pump([0.1] * 11)
    assert not transport.value()
    reactor.pump([0.1] * 3)
    assert take_answer(transport).events == ()
    connection.dataReceived(poll(3, 1))
    assert take_answer(transport).events == ()


def test_changes_and_purges_of_several_plans_are_numbered_in_order_of_their_times(
    reactor: Any, discovery: EventDiscovery
) -> None:
    discovery.publish(PurgePlan(start_s=1.0, purges_per_s=1.0, count=3))
    discovery.publish(ChangePlan(start_s=1.5, interval_s=1.0, count=2))
    reactor.advance(10.0)
    connection, transport = connect(discovery)
    connection.dataReceived(poll(1, 1))
    events = take_answer(transport).events
    assert [type(event).__name__ for event in events] == [
        "Purge", "ListChange", "Purge", "ListChange", "Purge",
    ]  # fmt: skip
    figures = discovery.figures()
    assert (figures.cursor, figures.planned_events, figures.counters.polls) == (6, 0, 1)


@pytest.mark.parametrize("garbage", [b"\x00" * 5000, b"GET /cmd/next?a=b HTTP/1.1\r\nHost: h\r\n\r\n"])
def test_a_connection_that_sends_no_poll_is_closed(discovery: EventDiscovery, garbage: bytes) -> None:
    connection, transport = connect(discovery)
    connection.dataReceived(garbage)
    assert transport.disconnecting
    assert not transport.value()


def test_a_long_answer_is_written_in_chunks(reactor: Any) -> None:
    connection, transport = connect(build_discovery(reactor, cache_servers=1000))
    connection.dataReceived(poll(0, 1))
    chunks = 0
    while transport.producer is not None:
        transport.producer.resumeProducing()
        chunks += 1
    assert chunks > 1
    assert len(transport.value()) > CHUNK_BYTES
    (change,) = take_answer(transport).events
    assert isinstance(change, ListChange)
    assert len(change.hosts) == 1001


def test_a_discovery_that_stops_resets_its_pollers_and_listens_again_on_the_same_port(
    reactor: Any, discovery: EventDiscovery
) -> None:
    _, transport = connect(discovery)
    port = discovery.port
    discovery.stop_listening()
    assert transport.disconnecting
    discovery.listen()
    assert len(reactor.tcpServers) == 2
    assert [server[0] for server in reactor.tcpServers] == [0, port]
