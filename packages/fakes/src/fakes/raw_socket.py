"""Clients and a cache server on plain sockets, for tests that need an exact order of events.

They act between two iterations of the reactor, so that all that they have sent, and their close, is in the
router's socket before the router reads it.
"""

from __future__ import annotations

import select
import socket
import struct
import time
from enum import StrEnum

from fakes.cache_server_messages import CommandReader, encode_server_answer
from fakes.clients import encode_fastcgi_request
from fakes.config import LOOPBACK_HOST
from thornjunction.net.wire import fastcgi

# Upper bound on the seconds to wait for a peer's next bytes.
READ_TIMEOUT_S = 20.0

# Upper bound on the seconds to wait until a program listens.
CONNECT_TIMEOUT_S = 30.0

# Upper bound on the bytes of one read.
READ_BYTES = 65_536

# The object of a request for which none is given.
DEFAULT_OBJECT = "7f3a9c21e0b4d655"

# The working set size that requests state (KB).
WORKING_SET_KB = "412.5"


class CloseMode(StrEnum):
    """How a client closes its connection."""

    CLOSE = "close"
    RESET = "reset"
    HALF_CLOSE = "half-close"


class ConnectionEnd(StrEnum):
    """How the peer has ended a connection."""

    OPEN = ""
    CLOSED = "fin"
    RESET = "reset"


def encode_request(
    request_id: int, class_name: str = "films", keep: bool = True, ttl_ms: int = 1500, **params: str
) -> bytes:
    """Encode a FastCGI request of the platform's front; its transaction number is derived from its id."""
    defaults = {"SCRIPT_NAME": f"/do/{class_name}", "HTTP_X_ROW": DEFAULT_OBJECT}
    fixed = {
        "HTTP_X_TXN": f"{request_id:016x}",
        "HTTP_X_TTL_MS": str(ttl_ms),
        "HTTP_X_WORKING_SET_KB": WORKING_SET_KB,
    }
    return encode_fastcgi_request(request_id, defaults | params | fixed, b"", keep)


def encode_abort(request_id: int) -> bytes:
    """Encode the record with which a client cancels its request."""
    return fastcgi.encode_record(fastcgi.RecordType.ABORT, request_id, b"")


def bound_address(bound_socket: socket.socket) -> str:
    """Return the loopback address and port of a bound socket."""
    return f"{LOOPBACK_HOST}:{bound_socket.getsockname()[1]}"


def connect_when_listening(address: str) -> socket.socket:
    """Connect, retrying until a program listens at the address; raises AssertionError after a timeout."""
    host, _, port = address.partition(":")
    deadline_s = time.monotonic() + CONNECT_TIMEOUT_S
    while time.monotonic() < deadline_s:
        try:
            return socket.create_connection((host, int(port)), timeout=READ_TIMEOUT_S)
        except ConnectionRefusedError:
            continue
    message = f"nothing listens at {address}"
    raise AssertionError(message)


def call_admin(admin_address: str, line: str) -> str:
    """Send one line to an admin endpoint, and return the complete reply."""
    with connect_when_listening(admin_address) as connection:
        connection.sendall(line.encode() + b"\n")
        return b"".join(iter(lambda: connection.recv(READ_BYTES), b"")).decode()


class RawSocketClient:
    """A client of the platform's front that sends, reads and closes only when a method is called.

    Attributes:
        received: all bytes that have been read.
        connection_end: how the router has ended the connection, as of the last read.
    """

    def __init__(self, port: int, receive_buffer_bytes: int = 0) -> None:
        self.socket = socket.socket()
        if receive_buffer_bytes:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        self.socket.connect((LOOPBACK_HOST, port))
        self.socket.setblocking(False)
        self.received = bytearray()
        self.connection_end = ConnectionEnd.OPEN

    def send(self, data: bytes) -> None:
        """Send bytes, which must fit into the socket's send buffer."""
        self.socket.sendall(data)

    def has_ended(self) -> bool:
        """Read all available bytes, and return whether the router has ended the connection."""
        try:
            while not self.connection_end:
                data = self.socket.recv(READ_BYTES)
                self.received += data
                if not data:
                    self.connection_end = ConnectionEnd.CLOSED
        except BlockingIOError:
            pass
        except ConnectionError:
            self.connection_end = ConnectionEnd.RESET
        return bool(self.connection_end)

    def answer_count(self) -> int:
        """Read all available bytes, and return how many requests have been answered."""
        self.has_ended()
        records = fastcgi.RecordReader().feed(bytes(self.received))
        return sum(record.kind == fastcgi.RecordType.END for record in records)

    def wait_for_end(self) -> tuple[ConnectionEnd, int]:
        """Block until the router ends the connection or a timeout; return the end and the answer count."""
        while not self.has_ended() and select.select([self.socket], [], [], READ_TIMEOUT_S)[0]:
            pass
        return self.connection_end, self.answer_count()

    def close(self, mode: str = CloseMode.CLOSE) -> None:
        """Close the connection in the given mode."""
        if mode == CloseMode.HALF_CLOSE:
            self.socket.shutdown(socket.SHUT_WR)
            return
        if mode == CloseMode.RESET:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()


class RawSocketCacheServer:
    """A cache server that accepts one connection, and answers only by ``send_answer``."""

    def __init__(self) -> None:
        self.listening = socket.create_server((LOOPBACK_HOST, 0))
        self.listening.settimeout(READ_TIMEOUT_S)
        self.connection: socket.socket | None = None
        self.reader = CommandReader()

    def wait_for_request(self) -> bytes:
        """Block until the next command arrives, and return its request number."""
        if self.connection is None:
            self.connection = self.listening.accept()[0]
        self.connection.settimeout(READ_TIMEOUT_S)
        while not (commands := self.reader.feed(self.connection.recv(READ_BYTES))):
            pass
        return commands[0].request_id

    def send_answer(self, request_id: bytes, status: bytes) -> None:
        """Answer one request without a body."""
        assert self.connection is not None
        self.connection.sendall(encode_server_answer(request_id, status))

    def close(self) -> None:
        """Close the listening socket and the connection."""
        self.listening.close()
        if self.connection is not None:
            self.connection.close()
