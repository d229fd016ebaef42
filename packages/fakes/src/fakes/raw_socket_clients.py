"""Connects raw-socket clients to the fronts of a loopback environment."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import inlineCallbacks

from fakes.event_loop import Steps
from fakes.loopback_environment import LoopbackEnvironment, PortIndex
from fakes.raw_socket import RawSocketClient
from thornjunction.net.downstream.connection import DownstreamConnection

# Receive buffer of a client that does not read; it is small, so that the router's writes soon block.
SMALL_RECEIVE_BUFFER_BYTES = 4096


class RawSocketClients:
    """Connects clients to the fronts of an environment; ``close`` closes all of them."""

    def __init__(self, environment: LoopbackEnvironment) -> None:
        self.environment = environment
        self.clients: list[RawSocketClient] = []

    def connect(self, front: int = PortIndex.FASTCGI_FRONT, receive_buffer_bytes: int = 0) -> RawSocketClient:
        """Connect a client; the router has not accepted the connection yet."""
        port = self.environment.ports[front].getHost().port
        client = RawSocketClient(port, receive_buffer_bytes)
        self.clients.append(client)
        return client

    @inlineCallbacks
    def connect_accepted(
        self, data: bytes = b"", front: int = PortIndex.FASTCGI_FRONT
    ) -> Steps[tuple[RawSocketClient, DownstreamConnection]]:
        """Connect a client; wait until it is accepted and, if ``data`` is given, its requests are answered.

        Returns the client, and the router's object for its connection.
        """
        table: Any = self.environment.downstream_table
        connections_before = set(table)
        client = self.connect(front)
        yield self.environment.wait_until(lambda: set(table) - connections_before)
        (connection,) = set(table) - connections_before
        if data:
            client.send(data)
            yield self.environment.wait_until(lambda: connection.response_count)
        return client, connection

    @inlineCallbacks
    def connect_without_reading(self, data: bytes, request_count: int) -> Steps[RawSocketClient]:
        """Connect a client that sends requests and does not read; wait until the router has answered them."""
        table: Any = self.environment.downstream_table
        client = self.connect(receive_buffer_bytes=SMALL_RECEIVE_BUFFER_BYTES)
        client.send(data)
        if request_count:
            yield self.environment.wait_until(
                lambda: any(connection.buffered.is_write_paused for connection in table)
            )
        yield self.environment.wait_until(
            lambda: sum(connection.response_count for connection in table) == request_count
        )
        return client

    @inlineCallbacks
    def wait_until_gone(self) -> Steps[None]:
        """Wait until the router has no requests, attempts or client connections left."""
        engine = self.environment.engine
        yield self.environment.wait_until(lambda: not len(engine.requests) and not len(engine.attempts))
        yield self.environment.wait_until(lambda: not self.environment.downstream_table.connection_count)

    def encode_signed_request(self, target: str, *headers: str) -> bytes:
        """Encode a request of the signed front."""
        request_line = f"GET {self.environment.sign_target(target)} HTTP/1.1"
        return "\r\n".join([request_line, "Host: h", *headers, "", ""]).encode()

    def close(self) -> None:
        """Close the sockets of all clients."""
        for client in self.clients:
            client.socket.close()
