"""The platform's front: FastCGI connections, kept thin."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol as Port

from thornjunction.core.ports import (
    Answer,
    ClientRequest,
    Failed,
    Rejected,
    ReplyCallback,
    RequestTableFullError,
)
from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.downstream.connection import DownstreamConnection, DownstreamTable
from thornjunction.net.event_loop.disconnect_reasons import ConnectionKind
from thornjunction.net.wire import ProtocolError, cgi, fastcgi

MAX_OPEN = fastcgi.MAX_OPEN_REQUESTS  # requests on one connection: as many as the platform's fronts have
MISUSES = 16  # requests in a row that can't be used, after which their connection is closed


class Core(Port):
    """What a front asks of the engine."""

    def open(self, call: ClientRequest, reply: ReplyCallback) -> int: ...

    def abandon(self, number: int) -> None: ...


@dataclass(slots=True)
class Pending:
    """A request of this connection that is owed its answer."""

    keep: bool
    number: int | None = None


class FastCgiConnection(DownstreamConnection):
    """One connection of the platform's web servers."""

    kind = ConnectionKind.CLIENT_FASTCGI

    def __init__(
        self,
        table: DownstreamTable,
        deadlines: Deadlines,
        clock: Callable[[], float],
        core: Core,
        ready: Callable[[], bool],
        busy: Callable[[], bytes],
        turned_away: Callable[[str, Answer], None],
        spent_ms: Callable[[], float],
    ) -> None:
        super().__init__(table, deadlines, clock)
        self.core, self.ready, self.busy, self.spent_ms = core, ready, busy, spent_ms
        self.turned_away = turned_away
        self.reader = fastcgi.RequestReader()
        self.pending: dict[int, Pending] = {}
        self.waiting: deque[tuple[fastcgi.Request, float]] = deque()  # for the core, and since when
        self.misuses = 0
        self._batch = False  # requests that came together: the connection ends behind all of them

    def is_open(self) -> bool:
        return bool(self.pending or self.waiting)

    def held(self) -> int:
        return self.reader.held

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.code or self.deaf:
            return self.pass_over(data)
        self._read(data)
        if self.waiting:
            self.table.turns.take(self)

    def look_again(self) -> None:
        data = self.read_on()
        if data and not self.code and not self.deaf:
            self._read(data)

    def step(self) -> bool:
        if self.waiting:
            asked, since = self.waiting.popleft()
            self._ask(asked, self.clock() - since)
        return bool(self.waiting)

    def drop_part(self) -> None:
        self.reader = fastcgi.RequestReader()

    def answer_open(self) -> None:
        failed = cgi.encode_response(Failed(timed_out=False))
        while self.waiting:
            asked, _ = self.waiting.popleft()
            self._overloaded(asked)
        while self.pending:
            ident, pending = self.pending.popitem()
            if pending.number is not None:
                self.core.abandon(pending.number)
            self._write(ident, fastcgi.encode_answer(ident, failed), pending.keep)

    def forget(self) -> None:
        self.table.turns.leave(self)
        self.waiting.clear()
        self.drop_part()
        pending, self.pending = self.pending, {}
        for request in pending.values():
            if request.number is not None:
                self.core.abandon(request.number)

    def _read(self, data: bytes) -> None:
        whole, fault, self._batch = False, "", True
        try:
            while messages := self.reader.feed(data):
                data = b""
                for message in messages:
                    self._take(message)
                    whole = whole or isinstance(message, fastcgi.Request | fastcgi.RequestDeclined)
        except ProtocolError as error:
            fault = str(error)
        self._batch = False
        if fault:
            return self.stop_reading(fault)
        self.turned(whole)

    def _take(self, message: fastcgi.Message) -> None:
        match message:
            case fastcgi.Request() if self.refuses or len(self.pending) + len(self.waiting) >= MAX_OPEN:
                self._overloaded(message)
            case fastcgi.Request():
                self.waiting.append((message, self.clock()))
            case fastcgi.RequestAborted(request_id):
                kept = [entry for entry in self.waiting if entry[0].request_id != request_id]
                self.waiting = deque(kept)
                gone = self.pending.pop(request_id, None)
                if gone is not None and gone.number is not None:
                    self.core.abandon(gone.number)
            case fastcgi.RequestDeclined(request_id, protocol_status, keep):
                self._write(request_id, fastcgi.encode_end(request_id, protocol_status), keep)
            case fastcgi.ManagementReply(reply):
                self.transport.write(reply)

    def _overloaded(self, asked: fastcgi.Request) -> None:
        self._count(asked, Rejected(0.0))
        end = fastcgi.encode_end(asked.request_id, fastcgi.ProtocolStatus.OVERLOADED)
        self._write(asked.request_id, end, asked.keep_alive)

    def _ask(self, asked: fastcgi.Request, waited_ms: float) -> None:
        ident = asked.request_id
        if ident in self.pending:
            return self.stop_reading("fastcgi-id-twice")  # and not answerable beside the first
        if asked.params.get("SCRIPT_NAME") == cgi.HEALTH_CHECK_PATH:
            said = cgi.READY if self.ready() else cgi.NOT_READY
            return self._write(ident, fastcgi.encode_answer(ident, said), asked.keep_alive)
        busy = self.busy()
        if busy:
            self._count(asked, Rejected(0.0))
            return self._write(ident, fastcgi.encode_answer(ident, busy), asked.keep_alive)
        try:
            call = cgi.decode_request(asked.params, asked.body, max(self.spent_ms(), waited_ms))
        except ProtocolError:
            self._count(asked, Failed(timed_out=False))
            return self._misused(ident, asked.keep_alive)
        self.misuses = 0
        pending = self.pending[ident] = Pending(asked.keep_alive)
        try:
            number = self.core.open(call, lambda answer: self._reply(ident, pending, answer))
        except RequestTableFullError:
            if self.pending.pop(ident, None) is pending:
                self._overloaded(asked)
            return
        if self.pending.get(ident) is pending:
            pending.number = number
        else:  # answered, or its connection ended while the core decided
            self.core.abandon(number)

    def _count(self, asked: fastcgi.Request, answer: Answer) -> None:
        """A request that never reached the core, which counts the others."""
        self.turned_away(asked.params.get("SCRIPT_NAME", "").removeprefix(cgi.REQUEST_PREFIX), answer)

    def _misused(self, ident: int, keep: bool) -> None:
        """Guards the core's time against a client that sends the same again as soon as it is turned away."""
        self.misuses += 1
        self._write(ident, fastcgi.encode_answer(ident, cgi.BAD_REQUEST), keep)
        if self.misuses >= MISUSES and not self.is_open() and not self.code:
            self.finish("misuse")

    def _reply(self, ident: int, pending: Pending, answer: Answer) -> None:
        if self.pending.get(ident) is pending:
            del self.pending[ident]
            self._write(ident, fastcgi.encode_answer(ident, cgi.encode_response(answer)), pending.keep)

    def _write(self, ident: int, data: bytes, keep: bool) -> None:
        self.write(data)
        if not keep:
            self.ending = self.ending or "no-keep-conn"
        if not self._batch:
            self.turned()
