"""The order in which a reactor iteration handles real sockets: clients before servers."""

from __future__ import annotations

import os
import signal
import socket
from collections.abc import Callable, Iterator
from contextlib import ExitStack, closing
from pathlib import Path
from typing import Any

import pytest
from fakes.config import platform_config
from fakes.raw_socket import RawSocketCacheServer, RawSocketClient, bound_address, call_admin, encode_request
from twisted.internet import protocol
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from tests.program.router_program import RouterProgram
from thornjunction.net.event_loop.client_priority import (
    MAX_OTHER_EVENTS_S,
    MAX_POLL_AGE_S,
    ClientPriorityReactor,
)
from thornjunction.net.event_loop.transport import BuildFactory

# Longer than an iteration may spend on servers, and longer than a poll of the clients counts as recent.
SLOW_HANDLER_S = 0.02 + max(MAX_OTHER_EVENTS_S, MAX_POLL_AGE_S)

SERVER_COUNT = 3

ITERATIONS_TO_ACCEPT = 10

ITERATIONS_TO_CONNECT = 3


class EventRecorder(protocol.Protocol):
    """Records each data event and the end of a connection under the connection's name."""

    def __init__(self, loop: SteppedLoop, name: str) -> None:
        self.loop = loop
        self.name = name

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.loop.events.append(self.name)
        self.loop.on_data()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.loop.events.append(self.name)


class SteppedLoop:
    """A reactor that the test iterates, with a fake clock, one client and three servers.

    ``events`` contains the names of the sockets that were handled; ``on_data`` is called for each data event.
    """

    def __init__(self) -> None:
        self.now_s = 0.0
        self.events: list[str] = []
        self.on_data: Callable[[], None] = lambda: None
        make_reactor: Any = ClientPriorityReactor
        self.reactor: Any = make_reactor()
        self.reactor.clock = lambda: self.now_s
        factory = BuildFactory(lambda: EventRecorder(self, "client"))
        port = self.reactor.listenTCP(0, factory, interface="127.0.0.1")
        self.client = socket.create_connection(("127.0.0.1", port.getHost().port))
        self.listening = socket.create_server(("127.0.0.1", 0))
        self.servers = [self._connect_server(f"server {number}") for number in range(SERVER_COUNT)]
        self.iterate(ITERATIONS_TO_ACCEPT)

    def iterate(self, count: int = 1) -> list[str]:
        """Run ``count`` iterations and return the names of the handled sockets; timers run before sockets."""
        self.events = []
        for _ in range(count):
            self.reactor.iterate(0.0)
        return self.events

    def close(self) -> None:
        """Close all sockets."""
        for selectable in (*self.reactor.removeAll(), *self.reactor._internalReaders):
            selectable.connectionLost(Failure(ConnectionDone()))
        for opened_socket in (self.client, self.listening, *self.servers):
            opened_socket.close()

    def _connect_server(self, name: str) -> socket.socket:
        factory = protocol.ClientFactory.forProtocol(lambda: EventRecorder(self, name))
        self.reactor.connectTCP(*self.listening.getsockname(), factory)
        self.iterate(ITERATIONS_TO_CONNECT)
        return self.listening.accept()[0]


@pytest.fixture
def loop() -> Iterator[SteppedLoop]:
    stepped = SteppedLoop()
    yield stepped
    stepped.close()


def test_a_client_disconnect_is_handled_before_a_response_of_a_server(loop: SteppedLoop) -> None:
    loop.servers[0].send(b"answer")
    loop.client.close()
    assert loop.iterate() == ["client", "server 0"]


def test_a_slow_iteration_ends_early_and_the_next_begins_with_clients(loop: SteppedLoop) -> None:
    for server in loop.servers:
        server.send(b"answer")

    def disconnect_once() -> None:
        loop.on_data = lambda: None
        loop.now_s += SLOW_HANDLER_S
        loop.client.close()

    loop.on_data = disconnect_once
    assert loop.iterate() == ["server 0"]
    loop.servers[0].send(b"more")
    assert loop.iterate() == ["client", "server 1", "server 2", "server 0"]


def test_timers_after_a_slow_iteration_wait_for_a_poll_of_the_clients(loop: SteppedLoop) -> None:
    loop.reactor.callLater(0.0, loop.events.append, "timer")
    loop.client.close()
    loop.servers[0].send(b"answer")
    loop.now_s += SLOW_HANDLER_S
    loop.reactor.runUntilCurrent()
    assert loop.events == ["client", "timer"]


class PausedProgram:
    """A router process with one cache server, and a client whose request the server has received."""

    def __init__(self, folder: Path, stack: ExitStack) -> None:
        shared = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        channel = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        self.server = stack.enter_context(closing(RawSocketCacheServer()))
        config = platform_config(
            bound_address(shared),
            bound_address(channel),
            bound_address(self.server.listening),
            client_timeout_ms=600.0,
        )
        self.program = RouterProgram(folder, shared, config)
        stack.callback(self._kill)
        self.client = RawSocketClient(shared.getsockname()[1])
        self.client.send(encode_request(1, "clips", ttl_ms=9000))
        self.request_id = self.server.wait_for_request()

    def pause(self) -> None:
        """Stop the process by SIGSTOP, and return once it has stopped."""
        process = self.program.process
        process.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, process.pid, os.WSTOPPED)

    def resume(self) -> None:
        """Continue the process, and return once it has handled the input that had arrived before."""
        self.program.process.send_signal(signal.SIGCONT)
        call_admin(self.program.admin_address, "check")

    def _kill(self) -> None:
        self.program.process.kill()
        self.program.process.wait()


def test_a_paused_program_retries_nothing_for_a_client_that_disconnected(tmp_path: Path) -> None:
    """The server's error arrives before the client's disconnect, both while the program is paused."""
    with ExitStack() as stack:
        paused = PausedProgram(tmp_path, stack)
        server = paused.server
        paused.pause()
        server.send_answer(paused.request_id, b"BROKE")
        paused.client.close()
        paused.resume()
        assert server.connection is not None
        cancelled = server.reader.feed(server.connection.recv(65_536))
        assert [command.verb for command in cancelled] == ["never_mind"]
        server.listening.setblocking(False)
        with pytest.raises(BlockingIOError):  # there is no connect for another attempt either
            server.listening.accept()
