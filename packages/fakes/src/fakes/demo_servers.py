"""A fake cache server and a fake discovery for the demo, which use the platform's published protocols.

The cache server answers every request with bytes derived from the object's name; discovery lists the servers
once and then holds each poll for its block time.  The size of messages from a peer is bounded.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol, TypeVar

from twisted.internet import protocol

from fakes.cache_server_messages import DONE, CommandReader, encode_server_answer
from fakes.event_log import EventLog, encode_events, parse_poll
from thornjunction.net.event_loop.ports import Transport
from thornjunction.net.wire import ProtocolError, http1

# Bytes of each answer's body.
BODY_BYTES = 16_384

# Upper bound on the time that a poll is kept open (ms).
MAX_BLOCK_MS = 2000.0

# The fields of every answer of the demo's cache server: one revision, which dates from the Unix epoch.
DEMO_FIELDS = b"rev=demo1,since=0"

MessageT = TypeVar("MessageT", covariant=True)


class Scheduler(Protocol):
    """The part of the reactor's interface that a pending poll needs."""

    def callLater(self, _delay_s: float, _function: Callable[..., object], /, *args: object) -> object:  # noqa: N802
        """Call the function after a delay (s)."""


class MessageReader(Protocol[MessageT]):
    """Decodes the bytes of one connection into messages."""

    def feed(self, data: bytes) -> Sequence[MessageT]:
        """Return the messages that are complete now; raises ProtocolError."""


def response_body(description: bytes) -> bytes:
    """Return the body for a request: the same bytes every time, so that a client can verify them."""
    seed = hashlib.sha256(description).digest()
    return (seed * (BODY_BYTES // len(seed) + 1))[:BODY_BYTES]


def read_or_close(transport: Transport, reader: MessageReader[MessageT], data: bytes) -> Sequence[MessageT]:
    """Return the messages in a peer's bytes; close its connection on a protocol error."""
    try:
        return reader.feed(data)
    except ProtocolError:
        transport.loseConnection()
        return []


class DemoCacheServer(protocol.Protocol):
    """A connection of a cache server that answers each request at once."""

    transport: Transport  # type: ignore[assignment]

    def __init__(self) -> None:
        self._reader = CommandReader()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Answer the requests that are complete now (called by Twisted)."""
        for command in read_or_close(self.transport, self._reader, data):
            if command.is_request:
                description = command.arguments[0] if command.arguments else command.request_id
                body = response_body(description)
                self.transport.write(encode_server_answer(command.request_id, DONE, DEMO_FIELDS, body))


class DemoDiscovery(protocol.Protocol):
    """A connection of a discovery whose list of servers never changes."""

    transport: Transport  # type: ignore[assignment]

    def __init__(self, hosts: Sequence[Mapping[str, str]], scheduler: Scheduler) -> None:
        self._log = EventLog()
        self._log.append({"nodes": {"whole": True, "hosts": list(hosts)}})
        self._scheduler = scheduler
        self._reader = http1.RequestReader(0)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Answer or hold the polls that are complete now (called by Twisted)."""
        for request in read_or_close(self.transport, self._reader, data):
            self._handle_poll(request.target)

    def _handle_poll(self, target: str) -> None:
        poll = parse_poll(target)
        if poll.resume == 0:
            self._send(self._log.encode_events_after(poll.resume))
            return
        block_s = min(poll.block_ms, MAX_BLOCK_MS) / 1000
        self._scheduler.callLater(block_s, self._send, encode_events([], poll.resume))

    def _send(self, body: bytes) -> None:
        if self.connected:
            self.transport.write(http1.encode_response(http1.HttpResponse(200, {}, body, True)))
