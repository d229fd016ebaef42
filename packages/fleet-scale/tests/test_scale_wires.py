"""The stand-in discovery and the links, on transports without sockets and on real ones."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from fleet_scale.child import Worker
from fleet_scale.discovery import PIECE, Discovery
from fleet_scale.event_log import listed
from fleet_scale.plan import SHARE, Changes, Purges
from twisted.internet import testing

from thornjunction.net.wire import http1
from thornjunction.net.wire.commands import ListChange, Purge, decode_commands

untyped: Any = testing


class Rig:
    """A discovery on a clock that is turned by hand, and its pollers."""

    def __init__(self, shelfs: int = 3) -> None:
        self.clock = untyped.MemoryReactorClock()
        self.discovery = Discovery(
            self.clock, listed(shelfs, ["a"], [9], SHARE), lambda: float(self.clock.seconds())
        )

    def poller(self) -> tuple[Any, Any]:
        link: Any = self.discovery._built()
        transport = untyped.StringTransport()
        transport.setTcpNoDelay = lambda _: None
        transport.abortConnection = transport.loseConnection
        link.makeConnection(transport)
        return link, transport


def poll(resume: int, block: int, more: str = "") -> bytes:
    return http1.encode_get(f"/cmd/next?resume={resume}&block={block}{more}", "h")


def told(transport: Any) -> Any:
    (response,) = http1.ResponseReader(1 << 24).feed(transport.value())
    transport.clear()
    return decode_commands(response.body)


def test_a_poll_is_held_until_an_event_or_its_time() -> None:
    rig = Rig()
    link, transport = rig.poller()
    link.dataReceived(poll(0, 1200)[:20])
    link.dataReceived(poll(0, 1200)[20:])
    assert isinstance(told(transport).events[0], ListChange)
    link.dataReceived(poll(1, 1200, "&as=router&epoch=x"))
    rig.discovery.plan(Purges(at=0.5, rate=2.0, count=2))
    rig.clock.advance(0.4)
    assert not transport.value()
    rig.clock.advance(0.2)
    (purge,) = told(transport).events
    assert isinstance(purge, Purge) and purge.key == 0
    link.dataReceived(poll(2, 1200))
    rig.clock.advance(0.5)
    assert [event.cursor for event in told(transport).events] == [3]
    link.dataReceived(poll(3, 1200))
    rig.clock.pump([0.1] * 11)
    assert not transport.value()
    rig.clock.pump([0.1] * 3)
    assert told(transport).events == ()
    link.dataReceived(poll(3, 1))
    assert told(transport).events == ()


def test_changes_and_purges_of_one_plan_are_numbered_by_their_times() -> None:
    rig = Rig()
    rig.discovery.plan(Purges(at=1.0, rate=1.0, count=3))
    rig.discovery.plan(Changes(at=1.5, every_s=1.0, count=2))
    rig.clock.advance(10.0)
    link, transport = rig.poller()
    link.dataReceived(poll(1, 1))
    events = told(transport).events
    assert [type(event).__name__ for event in events] == [
        "Purge", "ListChange", "Purge", "ListChange", "Purge",
    ]  # fmt: skip
    figures = rig.discovery.figures()
    assert (figures["cursor"], figures["planned"], figures["polls"]) == (6, 0, 1)


@pytest.mark.parametrize("garbage", [b"\x00" * 5000, b"GET /cmd/next?a=b HTTP/1.1\r\nHost: h\r\n\r\n"])
def test_who_sends_no_poll_is_closed(garbage: bytes) -> None:
    link, transport = Rig().poller()
    link.dataReceived(garbage)
    assert transport.disconnecting and not transport.value()


def test_a_long_answer_goes_in_pieces() -> None:
    rig = Rig(shelfs=1000)
    link, transport = rig.poller()
    link.dataReceived(poll(0, 1))
    pieces = 0
    while transport.producer is not None:
        transport.producer.resumeProducing()
        pieces += 1
    assert pieces > 1 and len(transport.value()) > PIECE
    assert len(told(transport).events[0].hosts) == 1001


def test_down_refuses_and_resets_and_up_is_the_same_port() -> None:
    rig = Rig()
    link, transport = rig.poller()
    rig.discovery.down()
    assert transport.disconnecting and rig.discovery._listening is not None
    rig.discovery.up()
    assert len(rig.clock.tcpServers) == 2


# -- links, on real sockets --


@pytest.fixture
def target() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as listening:
        listening.settimeout(20)
        yield listening


@pytest.fixture
def links(target: socket.socket, tmp_path: Path) -> Iterator[Worker]:
    route = {"name": "a>b", "target": target.getsockname(), "delay_ms": 1.0}
    worker = Worker("links", "links", tmp_path, {"routes": [route]})
    try:
        yield worker
    finally:
        worker.kill()
        worker.wait()


def dialled(worker: Worker) -> socket.socket:
    return socket.create_connection(("127.0.0.1", worker.ask("figures")["ports"]["a>b"]), timeout=20)


def passed(worker: Worker) -> int:
    return int(worker.ask("figures").get("bytes", 0))


def test_a_link_carries_both_ways_and_holds_one_back(links: Worker, target: socket.socket) -> None:
    links.reply()
    with dialled(links) as near, target.accept()[0] as far:
        far.settimeout(20)
        near.sendall(b"forth")
        assert far.recv(99) == b"forth"
        far.sendall(b"back")
        assert near.recv(99) == b"back"
        links.ask("hold", names=["a>b"], ways=["back"])
        far.sendall(b"held")
        near.sendall(b"again")
        assert far.recv(99) == b"again"
        assert passed(links) == len(b"forth" + b"back" + b"again")
        links.ask("hold", names=["a>b"], ways=[])
        assert near.recv(99) == b"held"
        near.close()
        assert far.recv(99) == b""


def test_a_connection_across_a_cut_never_comes_up_and_one_that_was_up_lives_on(
    links: Worker, target: socket.socket
) -> None:
    links.reply()
    with dialled(links) as near, target.accept()[0] as far:
        far.settimeout(20)
        links.ask("hold", names=["a>b"], ways=["forth", "back"])
        with dialled(links) as late:
            late.sendall(b"never")
            near.sendall(b"later")
            far.sendall(b"too")
            while links.ask("figures")["open"] < 2:
                pass
            assert passed(links) == 0
            links.ask("hold", names=["a>b"], ways=[])
            with pytest.raises(ConnectionError):
                assert late.recv(99) == b"", "a connection across the cut came up"
                raise ConnectionError("closed")
        assert (far.recv(99), near.recv(99)) == (b"later", b"too")


def test_who_left_across_a_cut_is_gone_once_it_is_healed(links: Worker, target: socket.socket) -> None:
    links.reply()
    with dialled(links) as near, target.accept()[0] as far:
        far.settimeout(20)
        links.ask("hold", names=["a>b"], ways=["forth", "back"])
        near.close()
        assert links.ask("figures")["open"] == 1
        links.ask("hold", names=["a>b"], ways=[])
        assert far.recv(99) == b""


def test_severed_connections_are_reset(links: Worker, target: socket.socket) -> None:
    links.reply()
    with dialled(links) as near, target.accept()[0]:
        links.ask("sever", names=["a>b"])
        with pytest.raises(ConnectionResetError):
            near.recv(99)
