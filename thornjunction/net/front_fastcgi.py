"""The platform's front: FastCGI connections, kept thin."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol as Port

from twisted.internet import protocol
from twisted.internet.interfaces import IPushProducer
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]

from thornjunction.core.ports import Answer, Call, Reply
from thornjunction.memory.deadlines import Deadline, Deadlines
from thornjunction.memory.slots import SlotTable
from thornjunction.net.endings import code_of, log_end
from thornjunction.net.transport import Transport
from thornjunction.net.wire import ProtocolError, fastcgi, platform

IDLE_MS, STALL_MS = 30_000.0, 10_000.0  # without a request; with a client that does not read
MAX_OPEN = 64  # requests on one connection; the platform's fronts have 32


class Core(Port):
    """What a front asks of the engine."""

    def open(self, call: Call, reply: Reply) -> int | None: ...

    def abandon(self, number: int) -> None: ...


@dataclass(slots=True)
class Pending:
    """A request of this connection that is owed its answer."""

    keep: bool
    number: int | None = None


@implementer(IPushProducer)
class ClientLink(protocol.Protocol):
    """A client's connection in a numbered slot, with its time limits: shared by the fronts."""

    transport: Transport  # type: ignore[assignment]
    kind = "client"

    def __init__(self, table: SlotTable[ClientLink], deadlines: Deadlines, clock: Callable[[], float]):
        self.table, self.deadlines, self.clock = table, deadlines, clock
        self.slot: int | None = None
        self.code, self.answered = "", 0
        self._idle: Deadline | None = None
        self._stall: Deadline | None = None

    def connectionMade(self) -> None:  # noqa: N802
        self.slot = self.table.add(self)
        if self.slot is None:
            return self.close("table-full")
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.set_idle()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802
        self.deadlines.cancel(self._idle)
        self.deadlines.cancel(self._stall)
        if self.slot is not None:
            self.table.remove(self.slot)
        log_end(self.kind, self.slot, self.code or code_of(reason), answered=self.answered)
        self.code = self.code or "gone"

    def set_idle(self) -> None:
        self.deadlines.cancel(self._idle)
        self._idle = self.deadlines.add(self.clock() + IDLE_MS, self.idle_over)

    def idle_over(self) -> None:
        if self.is_open():
            return self.set_idle()
        self.close("idle")

    def is_open(self) -> bool:
        """Whether a request of this connection is owed its answer."""
        raise NotImplementedError

    def close(self, code: str) -> None:
        self.code = self.code or code
        self.transport.abortConnection()

    def finish(self, code: str) -> None:
        """Close after what was written has gone out."""
        self.code = self.code or code
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def pauseProducing(self) -> None:  # noqa: N802
        """The client does not read: it may hold the memory of its answers for so long."""
        self.deadlines.cancel(self._stall)
        self._stall = self.deadlines.add(self.clock() + STALL_MS, lambda: self.close("stalled"))

    def resumeProducing(self) -> None:  # noqa: N802
        self.deadlines.cancel(self._stall)

    def stopProducing(self) -> None:  # noqa: N802
        self.deadlines.cancel(self._stall)


class FastCgiLink(ClientLink):
    """One connection of the platform's web servers."""

    kind = "fastcgi"

    def __init__(
        self,
        table: SlotTable[ClientLink],
        deadlines: Deadlines,
        clock: Callable[[], float],
        core: Core,
        ready: Callable[[], bool],
        busy: Callable[[], bytes],
        spent_ms: Callable[[], float],
    ) -> None:
        super().__init__(table, deadlines, clock)
        self.core, self.ready, self.busy, self.spent_ms = core, ready, busy, spent_ms
        self.reader = fastcgi.RequestReader()
        self.pending: dict[int, Pending] = {}

    def is_open(self) -> bool:
        return bool(self.pending)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        try:
            messages = self.reader.feed(data)
        except ProtocolError as error:
            return self.close(str(error))
        for message in messages:
            if not self.code:
                self._take(message)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802
        super().connectionLost(reason)
        pending, self.pending = self.pending, {}
        for request in pending.values():
            if request.number is not None:
                self.core.abandon(request.number)

    def _take(self, message: fastcgi.Message) -> None:
        match message:
            case fastcgi.Asked():
                self._ask(message)
            case fastcgi.Aborted(request_id):
                gone = self.pending.pop(request_id, None)
                if gone is not None and gone.number is not None:
                    self.core.abandon(gone.number)
            case fastcgi.Declined(request_id, protocol_status, keep):
                self._write(request_id, fastcgi.encode_end(request_id, protocol_status), keep)
            case fastcgi.Management(reply):
                self.transport.write(reply)

    def _ask(self, asked: fastcgi.Asked) -> None:
        ident = asked.request_id
        if ident in self.pending:
            return self.close("fastcgi-id-twice")
        if asked.params.get("SCRIPT_NAME") == platform.CHECK:
            said = platform.READY if self.ready() else platform.NOT_READY
            return self._write(ident, fastcgi.encode_answer(ident, said), asked.keep)
        busy = self.busy()
        if busy:
            return self._write(ident, fastcgi.encode_answer(ident, busy), asked.keep)
        try:
            call = platform.decode_call(asked.params, asked.body, self.spent_ms())
        except ProtocolError:
            return self._write(ident, fastcgi.encode_answer(ident, platform.BAD_REQUEST), asked.keep)
        pending = self.pending[ident] = Pending(asked.keep)
        number = None
        if len(self.pending) <= MAX_OPEN:
            number = self.core.open(call, lambda answer: self._reply(ident, pending, answer))
        if number is not None:
            pending.number = number
        elif self.pending.pop(ident, None) is pending:
            self._write(ident, fastcgi.encode_end(ident, fastcgi.OVERLOADED), asked.keep)

    def _reply(self, ident: int, pending: Pending, answer: Answer) -> None:
        if self.pending.get(ident) is pending:
            del self.pending[ident]
            self._write(ident, fastcgi.encode_answer(ident, platform.encode_cgi(answer)), pending.keep)

    def _write(self, ident: int, data: bytes, keep: bool) -> None:
        self.answered += 1
        self.transport.write(data)
        if not keep:
            self.finish("no-keep-conn")
        else:
            self.set_idle()
