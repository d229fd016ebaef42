"""Test case with a relay's poller table on a loopback port; the test answers polls and sets the clock."""

from __future__ import annotations

import socket
from collections.abc import Callable

from fakes.config import LOOPBACK_HOST
from fakes.event_loop import Steps, reactor, wait_until
from fakes.manual_clock import ManualClock
from twisted.internet.defer import inlineCallbacks
from twisted.trial.unittest import TestCase

from thornjunction.net.event_loop.transport import BuildFactory
from thornjunction.net.relay.poller_connection import PollerConnection
from thornjunction.net.relay.poller_table import PollerTable
from thornjunction.net.wire.polls import Poll

POLL = b"GET /cmd/next?resume=3&block=1200 HTTP/1.1\r\nHost: x\r\n\r\n"
IMMEDIATE_BODY = b"{}"
MAX_CONNECTIONS = 3
RECEIVED_BYTES = 65_536
SMALL_RECEIVE_BUFFER_BYTES = 4096


class PollerTestCase(TestCase):
    """Connects clients to a poller table for three connections, and sends polls.

    Attributes:
        pollers: the table under test.
        polls: each poll that the table has passed on, with the number of its connection.
        disconnected: numbers of the connections that were removed from the table.
    """

    timeout = 20

    def setUp(self) -> None:
        """Listen on a free port."""
        self.manual_clock = ManualClock()
        self.polls: list[tuple[int, Poll]] = []
        self.disconnected: list[int] = []
        self.clients: list[socket.socket] = []
        self.pollers = PollerTable(
            MAX_CONNECTIONS,
            self.manual_clock.deadlines,
            lambda: self.manual_clock.now_ms,
            self.handle_poll,
            self.disconnected.append,
        )
        factory = BuildFactory(self.pollers.build_connection)
        self.port = reactor.listenTCP(0, factory, interface=LOOPBACK_HOST)
        self.addCleanup(self.stop)

    def handle_poll(self, number: int, poll: Poll) -> None:
        """Record a poll; one that does not wait is answered immediately."""
        self.polls.append((number, poll))
        if poll.block_ms == 0:
            self.pollers.respond(number, IMMEDIATE_BODY)

    @inlineCallbacks
    def stop(self) -> Steps[None]:
        """Close all sockets."""
        for client in self.clients:
            client.close()
        yield self.port.stopListening()
        yield wait_until(lambda: not self.pollers.connections)

    def connect(self, data: bytes = b"", receive_buffer_bytes: int = 0) -> socket.socket:
        """Connect a client that sends these bytes."""
        client = socket.socket()
        if receive_buffer_bytes:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        client.connect((LOOPBACK_HOST, self.port.getHost().port))
        client.setblocking(False)
        client.sendall(data)
        self.clients.append(client)
        return client

    @inlineCallbacks
    def open_connection(
        self, data: bytes = b"", receive_buffer_bytes: int = 0
    ) -> Steps[tuple[socket.socket, PollerConnection]]:
        """Connect a client; wait until the table has its connection, and its poll if it sends ``POLL``."""
        earlier_numbers = set(self.pollers.connections)
        earlier_polls = len(self.polls)
        client = self.connect(data, receive_buffer_bytes)
        yield wait_until(lambda: set(self.pollers.connections) - earlier_numbers)
        yield wait_until(lambda: len(self.polls) > earlier_polls or data != POLL)
        (number,) = set(self.pollers.connections) - earlier_numbers
        return client, self.pollers.connections[number]

    @inlineCallbacks
    def receive(self, client: socket.socket, is_complete: Callable[[bytes], bool]) -> Steps[bytes]:
        """Return the bytes that a client receives until they are complete or the connection ends."""
        received = bytearray()

        def has_ended() -> bool:
            try:
                data = client.recv(RECEIVED_BYTES)
            except BlockingIOError:
                return False
            except ConnectionError:
                return True
            received.extend(data)
            return not data or is_complete(bytes(received))

        yield wait_until(has_ended)
        return bytes(received)

    @inlineCallbacks
    def receive_all(self, client: socket.socket) -> Steps[bytes]:
        """Return the bytes that a client receives until the connection ends."""
        received = yield self.receive(client, lambda _: False)
        return received
