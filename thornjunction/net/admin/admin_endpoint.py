"""The operators' door: an address of its own, where each connection carries one call and its reply."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from twisted.internet import protocol
from twisted.python.failure import Failure

from thornjunction.memory.deadlines import Deadline, Deadlines
from thornjunction.net.event_loop.disconnect_reasons import disconnect_reason, log_disconnect
from thornjunction.net.event_loop.ports import Transport
from thornjunction.net.wire import ProtocolError
from thornjunction.net.wire.admin import LineReader, encode_reply

MOST_OPEN, SILENT_MS = 16, 3_000.0  # callers at once; for a whole call to come and its reply to be read


class AdminEndpoint:
    """The calls by name, and the callers that are connected, in the order in which they came."""

    def __init__(
        self,
        calls: Mapping[str, Callable[[], bytes]],
        deadlines: Deadlines,
        clock: Callable[[], float],
        named: Mapping[str, Callable[[str], bytes]] | None = None,
    ) -> None:
        self.calls, self.deadlines, self.clock = calls, deadlines, clock
        self.named = named or {}  # calls of two words: the second is handed on
        self.links: dict[AdminConnection, None] = {}

    def add(self, link: AdminConnection) -> None:
        # Guards real calls against callers that connect and say nothing: the one who waits longest goes.
        if len(self.links) >= MOST_OPEN:
            next(iter(self.links)).close("evicted")
        self.links[link] = None

    def reply(self, line: str) -> bytes:
        if (call := self.calls.get(line)) is not None:
            return call()
        word, _, rest = line.partition(" ")
        if rest and (named := self.named.get(word)) is not None:
            return named(rest)
        return encode_reply(False, "no such call")


class AdminConnection(protocol.Protocol):
    """One caller."""

    transport: Transport  # type: ignore[assignment]

    def __init__(self, door: AdminEndpoint) -> None:
        self.door, self.reader, self.code = door, LineReader(), ""
        self.timer: Deadline | None = None

    def connectionMade(self) -> None:  # noqa: N802
        self.door.add(self)
        when = self.door.clock() + SILENT_MS
        self.timer = self.door.deadlines.add(when, lambda: self.close("silent"))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.code:
            return
        try:
            line = self.reader.feed(data)
        except ProtocolError as error:
            return self.close(str(error))
        if line is not None:
            self.code = "answered"
            self.transport.write(self.door.reply(line))
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802
        self.door.deadlines.cancel(self.timer)
        self.door.links.pop(self, None)
        log_disconnect("operators", None, self.code or disconnect_reason(reason))

    def close(self, code: str) -> None:
        self.door.links.pop(self, None)
        self.code = self.code or code
        self.transport.abortConnection()
