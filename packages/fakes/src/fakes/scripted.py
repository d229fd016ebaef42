"""Stand-ins of the outside world for the demo, from the platform's published protocols: a shelf that answers
every ``want`` with bytes drawn from the object's name, and a discovery service that lists the shelfs once
and then holds each long poll for its block time.  Loopback only; what a peer sends is bounded."""

from __future__ import annotations

import hashlib
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from twisted.internet import protocol

from thornjunction.net.event_loop.ports import Transport
from thornjunction.net.wire import ProtocolError, http1
from thornjunction.net.wire.resp import ArrayReader, encode_array

PART_BYTES = 16_384  # of each answer
HOLD_MS = 2000.0  # longest hold of a poll


def body_of(name: bytes) -> bytes:
    """The same bytes for the same want, so that a client can check what it got."""
    seed = hashlib.sha256(name).digest()
    return (seed * (PART_BYTES // len(seed) + 1))[:PART_BYTES]


def read_or_close(peer: Any, reader: Any, data: bytes) -> list[Any]:
    """What a peer's bytes hold; a peer that breaks the protocol loses its connection and is heard no more."""
    try:
        return list(reader.feed(data))
    except ProtocolError:
        peer.transport.loseConnection()
        return []


class DemoShelf(protocol.Protocol):
    """Answers each want at once: its name, DONE, a revision, and the body."""

    transport: Transport  # type: ignore[assignment]

    def __init__(self) -> None:
        self.reader = ArrayReader()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        for verb, ident, *rest in read_or_close(self, self.reader, data):
            if verb == b"want":
                what = rest[0] if rest else ident
                self.transport.write(encode_array((ident, b"DONE", b"rev=demo1,since=0", body_of(what))))


class DemoDiscovery(protocol.Protocol):
    """Answers ``GET /cmd/next?resume=N&block=MS``: the whole list at cursor 0, else nothing new after the
    block time (at most HOLD_MS)."""

    transport: Transport  # type: ignore[assignment]

    def __init__(self, hosts: list[dict[str, str]], clock: object) -> None:
        self.hosts, self.reader = hosts, http1.RequestReader(0)
        self.clock = clock  # the reactor, for callLater

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        for request in read_or_close(self, self.reader, data):
            self._answer(request.target)

    def _answer(self, target: str) -> None:
        query = parse_qs(urlsplit(target).query)
        resume = int(query.get("resume", ["0"])[0] or 0)
        if resume == 0:
            change = {"cursor": 1, "nodes": {"whole": True, "hosts": self.hosts}}
            return self._send({"cursor": 1, "cmds": [change]})
        wait_s = min(float(query.get("block", ["0"])[0] or 0), HOLD_MS) / 1000
        self.clock.callLater(wait_s, self._send, {"cursor": resume, "cmds": []})  # type: ignore[attr-defined]

    def _send(self, told: object) -> None:
        if self.connected:
            body = json.dumps(told).encode()
            self.transport.write(http1.encode_response(http1.HttpResponse(200, {}, body, True)))
