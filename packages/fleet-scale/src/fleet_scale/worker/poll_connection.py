"""One poller's connection to a fake discovery."""

from __future__ import annotations

import re
from typing import Protocol

from twisted.internet import protocol
from twisted.internet.interfaces import IPullProducer
from zope.interface import implementer  # type: ignore[import-untyped]

from thornjunction.net.event_loop.ports import Transport

POLL = re.compile(rb"GET /cmd/next\?([^ \r\n]{1,400}) HTTP/1\.1\r\n(?:[^\r\n]{1,400}\r\n){0,16}\r\n")
RESUME = re.compile(rb"(?:^|&)resume=(\d{1,18})")
BLOCK_MS = re.compile(rb"(?:^|&)block=(\d{1,6})")
MAX_POLL_BYTES = 4096
# Upper bound of the block time of a poll.
MAX_BLOCK_MS = 5000.0
# Size of the chunks in which a long answer is written.
CHUNK_BYTES = 65_536


class PollHandler(Protocol):
    """Receives the events of poll connections."""

    def connected(self, connection: PollConnection) -> None:
        """Handle a new connection."""

    def received(self, byte_count: int) -> None:
        """Handle the receipt of ``byte_count`` bytes from a poller."""

    def polled(self, connection: PollConnection, resume: int, block_ms: float) -> None:
        """Handle a poll for the events after ``resume``, which may be kept open for ``block_ms``."""

    def disconnected(self, connection: PollConnection) -> None:
        """Handle the end of a connection."""


@implementer(IPullProducer)
class PollConnection(protocol.Protocol):
    """Parses polls and writes their answers."""

    transport: Transport  # type: ignore[assignment]

    def __init__(self, handler: PollHandler) -> None:
        self._handler = handler
        self._received = b""
        self._unsent = memoryview(b"")

    def connectionMade(self) -> None:  # noqa: N802
        """Register with the handler."""
        self.transport.setTcpNoDelay(True)
        self._handler.connected(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse one poll at a time; reset the connection on any other input."""
        self._received += data
        self._handler.received(len(data))
        poll = POLL.fullmatch(self._received)
        if poll is None:
            if len(self._received) > MAX_POLL_BYTES:
                self.transport.abortConnection()
            return
        self._received = b""
        resume = RESUME.search(poll[1])
        block_ms = BLOCK_MS.search(poll[1])
        if resume is None or block_ms is None:
            self.transport.abortConnection()
            return
        self._handler.polled(self, int(resume[1]), min(float(block_ms[1]), MAX_BLOCK_MS))

    def answer(self, data: bytes) -> None:
        """Write an answer; a long one in chunks, so that pollers share its bytes and none buffers a copy."""
        if len(data) <= CHUNK_BYTES:
            self.transport.write(data)
            return
        self._unsent = memoryview(data)
        self.transport.registerProducer(self, False)

    def abort(self) -> None:
        """Reset the connection."""
        self.transport.abortConnection()

    def resumeProducing(self) -> None:  # noqa: N802
        """Write the next chunk of a long answer."""
        self.transport.write(bytes(self._unsent[:CHUNK_BYTES]))
        self._unsent = self._unsent[CHUNK_BYTES:]
        if not self._unsent:
            self.transport.unregisterProducer()

    def stopProducing(self) -> None:  # noqa: N802
        """Discard the unsent chunks: the connection has ended."""
        self._unsent = memoryview(b"")

    def connectionLost(self, reason: object = None) -> None:  # noqa: ARG002, N802
        """Deregister from the handler."""
        self._handler.disconnected(self)
