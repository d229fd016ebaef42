"""Clients of the two fronts on Twisted, for the demo, the load benchmark and scripts of one's own: HTTP/1.1
with signed URLs, and the platform's FastCGI.  Each keeps what it is told and says by a Deferred when a given
number of answers has come.

    client = yield TCP4ClientEndpoint(reactor, "127.0.0.1", port).connect(Factory.forProtocol(HttpClient))
    client.ask("/clips/1/00000000000000ff/0?URISigningPackage=...")
    (response,) = yield client.has(1)
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from twisted.internet import protocol
from twisted.internet.defer import Deferred

from thornjunction.net.event_loop.ports import Transport
from thornjunction.net.wire import fastcgi, http1

MAX_ANSWER = 300_000  # bytes of one answer


class HttpClient(protocol.Protocol):
    """HTTP/1.1 on one keep-alive connection; ``responses`` in order."""

    host = "cams.example"
    transport: Transport  # type: ignore[assignment]

    def __init__(self) -> None:
        self.reader = http1.ResponseReader(MAX_ANSWER)
        self.responses: list[Any] = []
        self.waiters: list[tuple[int, Deferred[Any]]] = []
        self.ended: Deferred[None] = Deferred()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.responses += self.reader.feed(data)
        self._tell(len(self.responses), self.responses)

    def _tell(self, count: int, told: Any) -> None:
        for wanted, waiter in list(self.waiters):
            if count >= wanted:
                self.waiters.remove((wanted, waiter))
                waiter.callback(told)

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        self.ended.callback(None)

    def has(self, count: int) -> Deferred[Any]:
        """Fires once ``count`` answers have come, with all that came."""
        waiter: Deferred[Any] = Deferred()
        self.waiters.append((count, waiter))
        self.dataReceived(b"")
        return waiter

    def ask(self, target: str, method: str = "GET", **headers: str) -> None:
        """One request; a header's underscores are written as dashes."""
        lines = [f"{method} {target} HTTP/1.1", f"Host: {self.host}"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        self.transport.write("\r\n".join([*lines, "", ""]).encode())


class FastCgiClient(HttpClient):
    """The platform's front: records as they come; ``has(n)`` fires at the n-th request's end."""

    def __init__(self) -> None:
        super().__init__()
        self.records: list[fastcgi.Record] = []
        self.cutter = fastcgi.RecordReader()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.records += self.cutter.feed(data)
        self._tell(len(self.ends()), self.records)

    def ends(self) -> list[fastcgi.Record]:
        return [record for record in self.records if record.kind == fastcgi.RecordType.END]

    def output(self, ident: int) -> bytes:
        """What one request was answered, whole."""
        told = [
            r.content for r in self.records if r.kind == fastcgi.RecordType.STDOUT and r.request_id == ident
        ]
        return b"".join(told)


def fastcgi_request(ident: int, params: dict[str, str], body: bytes = b"", keep: int = 1) -> bytes:
    """A whole FastCGI request (responder role), its parameters cut across two records as a server may."""
    content = fastcgi.encode_pairs(params.items())
    stdin: Iterable[bytes] = [body, b""] if body else [b""]
    records = [
        (fastcgi.RecordType.BEGIN, bytes([0, 1, keep, 0, 0, 0, 0, 0])),
        (fastcgi.RecordType.PARAMS, content[:9]),
    ]
    records += [
        (fastcgi.RecordType.PARAMS, content[9:]),
        (fastcgi.RecordType.PARAMS, b""),
        *((fastcgi.RecordType.STDIN, p) for p in stdin),
    ]
    return b"".join(fastcgi.encode_record(kind, ident, data) for kind, data in records)
