"""Twisted clients of both fronts: HTTP/1.1 with signed URLs, and the platform's FastCGI.

A client keeps what it receives and returns a Deferred that fires after a given number of answers::

    client = yield TCP4ClientEndpoint(reactor, "127.0.0.1", port).connect(Factory.forProtocol(HttpClient))
    client.send_request("/clips/1/00000000000000ff/0?URISigningPackage=...")
    (response,) = yield client.wait_for_answers(1)
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Generic, TypeVar

from twisted.internet import protocol
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from thornjunction.net.event_loop.ports import Transport
from thornjunction.net.wire import fastcgi, http1

# Upper bound on the bytes of one answer.
MAX_ANSWER_BYTES = 300_000

# The ``Host`` header of requests; the tests' signed URLs have the same host.
REQUEST_HOST = "cams.example"

# Bytes of the parameters that the first of two records has.
FIRST_PARAMS_RECORD_BYTES = 9

# The parts of a begin record's body, around the byte of the flags; the role is responder.
BEGIN_ROLE = bytes([0, 1])
BEGIN_PADDING = bytes(5)

MessageT = TypeVar("MessageT")


class FrontClient(protocol.Protocol, Generic[MessageT]):
    """A client that can wait for a number of answers; ``connection_lost`` fires when the connection ends."""

    transport: Transport  # type: ignore[assignment]

    def __init__(self) -> None:
        self.connection_lost: Deferred[None] = Deferred()
        self._messages: list[MessageT] = []
        self._waiters: list[tuple[int, Deferred[list[MessageT]]]] = []

    def answer_count(self) -> int:
        """Return how many complete answers have been received."""
        return len(self._messages)

    def wait_for_answers(self, count: int) -> Deferred[list[MessageT]]:
        """Return a Deferred that fires with all messages once ``count`` answers have been received."""
        waiter: Deferred[list[MessageT]] = Deferred()
        self._waiters.append((count, waiter))
        self._notify_waiters()
        return waiter

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: ARG002, N802
        """Fire ``connection_lost`` (called by Twisted)."""
        self.connection_lost.callback(None)

    def _notify_waiters(self) -> None:
        count = self.answer_count()
        for wanted_count, waiter in list(self._waiters):
            if count >= wanted_count:
                self._waiters.remove((wanted_count, waiter))
                waiter.callback(self._messages)


class HttpClient(FrontClient[http1.HttpResponse]):
    """A client of the signed front on one keep-alive connection; ``responses`` has all so far, in order."""

    def __init__(self) -> None:
        super().__init__()
        self.responses = self._messages
        self._reader = http1.ResponseReader(MAX_ANSWER_BYTES)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Decode the responses that are complete now (called by Twisted)."""
        self.responses += self._reader.feed(data)
        self._notify_waiters()

    def send_request(self, target: str, method: str = "GET", **headers: str) -> None:
        """Send one request; underscores in header names become dashes."""
        lines = [f"{method} {target} HTTP/1.1", f"Host: {REQUEST_HOST}"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        self.transport.write("\r\n".join([*lines, "", ""]).encode())


class FastCgiClient(FrontClient[fastcgi.Record]):
    """A client of the platform's front; ``records`` has all received ones, and each END is an answer."""

    def __init__(self) -> None:
        super().__init__()
        self.records = self._messages
        self._reader = fastcgi.RecordReader()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Decode the records that are complete now (called by Twisted)."""
        self.records += self._reader.feed(data)
        self._notify_waiters()

    def answer_count(self) -> int:
        """Return how many requests have ended."""
        return len(self.end_records())

    def end_records(self) -> list[fastcgi.Record]:
        """Return the records that ended a request."""
        return [record for record in self.records if record.kind == fastcgi.RecordType.END]

    def output(self, request_id: int) -> bytes:
        """Return the output of one request that has been received so far."""
        return b"".join(
            record.content
            for record in self.records
            if record.kind == fastcgi.RecordType.STDOUT and record.request_id == request_id
        )


def encode_fastcgi_request(
    request_id: int, params: Mapping[str, str], body: bytes = b"", keep_connection: bool = True
) -> bytes:
    """Encode a FastCGI request; its parameters are split into two records, as a web server may do."""
    content = fastcgi.encode_pairs(params.items())
    begin = BEGIN_ROLE + bytes([keep_connection]) + BEGIN_PADDING
    records = [
        (fastcgi.RecordType.BEGIN, begin),
        (fastcgi.RecordType.PARAMS, content[:FIRST_PARAMS_RECORD_BYTES]),
        (fastcgi.RecordType.PARAMS, content[FIRST_PARAMS_RECORD_BYTES:]),
        (fastcgi.RecordType.PARAMS, b""),
    ]
    if body:
        records.append((fastcgi.RecordType.STDIN, body))
    records.append((fastcgi.RecordType.STDIN, b""))
    return b"".join(fastcgi.encode_record(kind, request_id, data) for kind, data in records)
