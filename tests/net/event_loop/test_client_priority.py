"""The order in which a turn of the reactor hears its sockets, on real ones: no server is heard while a
client's end that was there before lies unread."""

from __future__ import annotations

import os
import signal
import socket
from collections.abc import Callable, Iterator
from contextlib import closing
from pathlib import Path
from typing import Any

import pytest
from fakes.config import platform_config
from fakes.raw_socket import RawSocketCacheServer, RawSocketClient, bound_address, call_admin, encode_request
from twisted.internet import protocol
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from tests.runtime.test_handover import Program
from thornjunction.net.event_loop.client_priority import ClientPriorityReactor
from thornjunction.net.event_loop.transport import BuildFactory

SLOW_S = 0.05  # longer than a turn may spend on servers, and than a look at the clients holds


class Recorder(protocol.Protocol):
    def __init__(self, loop: Loop, name: str) -> None:
        self.loop, self.name = loop, name

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.loop.heard.append(self.name)
        self.loop.slow()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.loop.heard.append(self.name)


class Loop:
    """A reactor that is turned by hand, on a clock of its own, with a client and three servers."""

    def __init__(self) -> None:
        self.now, self.heard, self.slow = 0.0, list[str](), lambda: None  # type: ignore[var-annotated]
        make: Any = ClientPriorityReactor
        self.reactor: Any = make()
        self.reactor.clock = lambda: self.now
        port = self.reactor.listenTCP(
            0, BuildFactory(lambda: Recorder(self, "client")), interface="127.0.0.1"
        )
        self.client = socket.create_connection(("127.0.0.1", port.getHost().port))
        self.listening = socket.create_server(("127.0.0.1", 0))
        self.servers = [self._server(f"server {number}") for number in range(3)]
        self.turn(10)

    def _server(self, name: str) -> socket.socket:
        factory = protocol.ClientFactory.forProtocol(lambda: Recorder(self, name))
        self.reactor.connectTCP(*self.listening.getsockname(), factory)
        self.turn(3)
        return self.listening.accept()[0]

    def turn(self, times: int = 1) -> list[str]:
        """What is heard in so many turns, timers before sockets."""
        self.heard = []
        for _ in range(times):
            self.reactor.iterate(0.0)
        return self.heard

    def close(self) -> None:
        for selectable in (*self.reactor.removeAll(), *self.reactor._internalReaders):
            selectable.connectionLost(Failure(ConnectionDone()))
        for each in (self.client, self.listening, *self.servers):
            each.close()


@pytest.fixture
def loop() -> Iterator[Loop]:
    made = Loop()
    yield made
    made.close()


def once(call: Callable[[], None]) -> Callable[[], None]:
    calls = [call]
    return lambda: calls.pop()() if calls else None


def test_a_client_that_left_is_heard_before_a_server_that_had_answered(loop: Loop) -> None:
    loop.servers[0].send(b"answer")
    loop.client.close()
    assert loop.turn() == ["client", "server 0"]


def test_a_slow_turn_ends_before_all_servers_are_heard_and_the_next_begins_with_clients(loop: Loop) -> None:
    for server in loop.servers:
        server.send(b"answer")

    def leave() -> None:
        loop.now += SLOW_S
        loop.client.close()

    loop.slow = once(leave)
    assert loop.turn() == ["server 0"]
    loop.servers[0].send(b"more")
    assert loop.turn() == ["client", "server 1", "server 2", "server 0"]


def test_timers_behind_a_slow_turn_wait_for_a_look_at_the_clients(loop: Loop) -> None:
    loop.reactor.callLater(0.0, loop.heard.append, "timer")
    loop.client.close()
    loop.servers[0].send(b"answer")
    loop.now += SLOW_S
    loop.reactor.runUntilCurrent()
    assert loop.heard == ["client", "timer"]


def test_a_program_that_stood_still_tries_nothing_again_for_a_client_that_has_left(tmp_path: Path) -> None:
    """The server's error lies there first, the client's end behind it, both before the program goes on."""
    server = lambda: socket.create_server(("127.0.0.1", 0))  # noqa: E731
    with server() as shared, server() as channel, closing(RawSocketCacheServer()) as shelf:
        config = platform_config(
            bound_address(shared),
            bound_address(channel),
            bound_address(shelf.listening),
            client_timeout_ms=600.0,
        )
        program = Program(tmp_path, shared, config)
        try:
            client = RawSocketClient(shared.getsockname()[1])
            client.send(encode_request(1, "clips", ttl_ms=9000))
            ident = shelf.wait_for_request()
            program.process.send_signal(signal.SIGSTOP)
            os.waitid(os.P_PID, program.process.pid, os.WSTOPPED)
            shelf.send_answer(ident, b"BROKE")
            client.close()
            program.process.send_signal(signal.SIGCONT)
            call_admin(program.door, "check")  # behind the turn that heard both
            assert shelf.connection is not None
            given_up = shelf.reader.feed(shelf.connection.recv(65_536))
            assert [command.verb for command in given_up] == ["never_mind"]
            shelf.listening.setblocking(False)
            with pytest.raises(BlockingIOError):  # nor does a dial for another attempt come up
                shelf.listening.accept()
        finally:
            program.process.kill()
            program.process.wait()
