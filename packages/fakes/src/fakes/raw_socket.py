"""Clients and a shelf on bare sockets, for orders of events that must be the same each time: they act between
two turns of the reactor, so that what they sent, and how they left, lies there before the router looks."""

from __future__ import annotations

import select
import socket
import struct
import time
from typing import Any

from twisted.internet.defer import inlineCallbacks

from fakes.clients import fastcgi_request
from thornjunction.net.wire import fastcgi
from thornjunction.net.wire.resp import ArrayReader, encode_array

ENDS = ("close", "reset", "half-close")
WAIT_S, LISTEN_S = 20.0, 30.0  # for the next bytes of a peer; for a program to listen


def asked(ident: int, class_name: str = "films", keep: int = 1, ttl_ms: int = 1500, **more: str) -> bytes:
    """A request of the platform's front, each with a name of its own."""
    params = {"SCRIPT_NAME": f"/do/{class_name}", "HTTP_X_ROW": "7f3a9c21e0b4d655", **more}
    params |= {"HTTP_X_TXN": f"{ident:016x}", "HTTP_X_TTL_MS": str(ttl_ms), "HTTP_X_WORKING_SET_KB": "412.5"}
    return fastcgi_request(ident, params, b"", keep)


def aborted(ident: int) -> bytes:
    return fastcgi.encode_record(fastcgi.RecordType.ABORT, ident, b"")


def address(of: socket.socket) -> str:
    return f"127.0.0.1:{of.getsockname()[1]}"


def connect(address: str) -> socket.socket:
    """Block until somebody listens there."""
    host, _, port = address.partition(":")
    end = time.monotonic() + LISTEN_S
    while time.monotonic() < end:
        try:
            return socket.create_connection((host, int(port)), timeout=WAIT_S)
        except ConnectionRefusedError:
            continue
    raise AssertionError("never listened")


def call(door: str, line: str) -> str:
    """One call at the operators' door, and all of its reply."""
    with connect(door) as caller:
        caller.sendall(line.encode() + b"\n")
        return b"".join(iter(lambda: caller.recv(4096), b"")).decode()


class BareClient:
    """Sends, reads and leaves on command.  ``end``: how the router ended the connection, ``fin`` or
    ``reset``; empty while it has not."""

    def __init__(self, port: int, receive_buffer: int = 0) -> None:
        self.socket = socket.socket()
        if receive_buffer:  # of a client that soon holds up its router
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.socket.connect(("127.0.0.1", port))
        self.socket.setblocking(False)
        self.got, self.end = bytearray(), ""

    def send(self, data: bytes) -> None:
        self.socket.sendall(data)

    def ended(self) -> bool:
        """Reads all that has come so far; whether the router has ended the connection."""
        try:
            while not self.end:
                data = self.socket.recv(65_536)
                self.got += data
                self.end = "" if data else "fin"
        except BlockingIOError:
            pass
        except ConnectionError:
            self.end = "reset"
        return bool(self.end)

    def answers(self) -> int:
        """Whole answers of the platform's front, so far."""
        self.ended()
        return sum(
            record.kind == fastcgi.RecordType.END for record in fastcgi.RecordReader().feed(bytes(self.got))
        )

    def wait(self) -> tuple[str, int]:
        """Block until the router ends the connection: how, and after how many answers."""
        while not self.ended() and select.select([self.socket], [], [], WAIT_S)[0]:
            pass
        return self.end, self.answers()

    def leave(self, how: str = "close") -> None:
        """By one of ``ENDS``."""
        if how == "half-close":
            return self.socket.shutdown(socket.SHUT_WR)
        if how == "reset":
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()


class BareShelf:
    """A shelf that says nothing but what it is told to."""

    def __init__(self) -> None:
        self.listening = socket.create_server(("127.0.0.1", 0))
        self.listening.settimeout(WAIT_S)
        self.way: socket.socket | None = None
        self.reader = ArrayReader()

    def wanted(self) -> bytes:
        """Block until the next request comes; its id."""
        self.way = self.way or self.listening.accept()[0]
        self.way.settimeout(WAIT_S)
        while not (wants := self.reader.feed(self.way.recv(65_536))):
            pass
        return bytes(wants[0][1])

    def say(self, ident: bytes, word: bytes) -> None:
        assert self.way is not None
        self.way.sendall(encode_array((ident, word, b"-", b"")))

    def close(self) -> None:
        self.listening.close()
        if self.way is not None:
            self.way.close()


class BareClients:
    """Those of a rig's fronts; they leave with it."""

    def __init__(self, rig: Any) -> None:
        self.rig, self.all = rig, list[BareClient]()

    def connect(self, front: int = 3, receive_buffer: int = 0) -> BareClient:
        self.all.append(BareClient(self.rig.ports[front].getHost().port, receive_buffer))
        return self.all[-1]

    @inlineCallbacks
    def rested(self, data: bytes = b"", front: int = 3) -> Any:
        """A client whose connection was accepted and, with data, answered; and the router's side of it."""
        known, client = set(self.rig.clients), self.connect(front)
        yield self.rig.until(lambda: set(self.rig.clients) - known)
        (link,) = set(self.rig.clients) - known
        if data:
            client.send(data)
            yield self.rig.until(lambda: link.response_count)
        return client, link

    @inlineCallbacks
    def unread(self, burst: bytes, count: int) -> Any:
        """A client that asked for so much, all answered, and reads nothing of it."""
        client = self.connect(receive_buffer=4096)
        client.send(burst)
        yield self.rig.until(
            lambda: not count or any(link.buffered.is_write_paused for link in self.rig.clients)
        )
        yield self.rig.until(lambda: sum(link.response_count for link in self.rig.clients) == count)
        return client

    @inlineCallbacks
    def gone(self) -> Any:
        """Turn the reactor until the router holds nothing of any client."""
        engine = self.rig.engine
        yield self.rig.until(lambda: not len(engine.requests) and not len(engine.attempts))
        yield self.rig.until(lambda: not self.rig.clients.connection_count)

    def http(self, target: str, *headers: str) -> bytes:
        """A request of the signed front."""
        return "\r\n".join([f"GET {self.rig.signed(target)} HTTP/1.1", "Host: h", *headers, "", ""]).encode()

    def close(self) -> None:
        for client in self.all:
            client.socket.close()
