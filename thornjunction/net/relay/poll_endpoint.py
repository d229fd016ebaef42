"""A relay's listening side: the connections that poll it, and the machine that answers them.

What a peer sends or does not read costs it alone: one poll a connection at a time, its head and target
bounded, one answer held at most, and who neither asks nor reads for a while is closed."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import replace

from twisted.internet import protocol
from twisted.internet.interfaces import IPullProducer
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]

from thornjunction.logs import get_logger
from thornjunction.memory.budget import ByteBudget
from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.event_loop.disconnect_reasons import disconnect_reason
from thornjunction.net.event_loop.ports import Transport
from thornjunction.net.wire import ProtocolError, http1
from thornjunction.net.wire.polls import Poll, decode_poll

LOOK_MS = 1_000.0  # between looks at all connections
SILENT_MS = 10_000.0  # for the next whole poll; a router that works asks again at once
UNREAD_MS = 4_000.0  # for an answer to be read
MAX_HEAD = 2_048  # bytes of a poll with its headers
HELD_BYTES = 128 << 20  # of unread answers together: past it the greatest is closed; a whole list of 440
# shelfs for 1,200 routers that come at once is 94 MB, though most of them share one
PIECE = 32_768  # bytes of an answer that are copied for a connection at once; all share the rest
JSON = {"Content-Type": "application/json"}

log = get_logger(__name__)


class PollerTable:
    """The connections of a relay by number, at most ``most``.  ``ask`` and ``gone`` tell the machine."""

    def __init__(
        self,
        most: int,
        deadlines: Deadlines,
        clock: Callable[[], float],
        ask: Callable[[int, Poll], None],
        gone: Callable[[int], None],
    ) -> None:
        self.most, self.deadlines, self.clock, self.ask, self.gone = most, deadlines, clock, ask, gone
        self.links: dict[int, PollerConnection] = {}
        self.budget, self.ends = ByteBudget(HELD_BYTES), Counter[str]()
        self.ending = False
        self._last = 0
        self._look()

    def build(self) -> protocol.Protocol:
        """For a listening port."""
        return PollerConnection(self)

    def add(self, link: PollerConnection) -> int | None:
        """Its number; None where there is no room for it."""
        if len(self.links) >= self.most:
            # Guards routers against callers that connect and say nothing: the one who is silent longest goes.
            silent = min(self.links.values(), key=lambda one: (one.poll is not None, one.since))
            if silent.poll is not None:
                return None
            silent.close("evicted")
        self._last += 1
        self.links[self._last] = link
        return self._last

    def answer(self, poller: int, body: bytes) -> None:
        """The body for its poll; nothing where it has left."""
        if (link := self.links.get(poller)) is not None:
            link.answer(200, body)

    def refuse(self, poller: int, why: str) -> None:
        """No state to serve from: its poller goes elsewhere."""
        self.ends[f"refused-{why}"] += 1
        if (link := self.links.get(poller)) is not None:
            link.answer(503, b"")

    def end(self) -> None:
        """No new polls; what waits is asked again as if its time were up, and answered with what there is."""
        self.ending = True
        for number, link in list(self.links.items()):
            if link.poll is None:
                link.leave("ending")
            else:
                self.ask(number, link.poll.without_waiting())

    def noted(self, code: str) -> None:
        """Guards the log against a flood of ends: of each code the 1st, 2nd, 4th, 8th... is written."""
        self.ends[code] += 1
        if self.ends[code].bit_count() == 1:
            log.info("end", kind="poller", code=code, times=self.ends[code], open=len(self.links))

    def _look(self) -> None:
        now = self.clock()
        for link in list(self.links.values()):
            link.look(now)
        self.deadlines.add(now + LOOK_MS, self._look)


@implementer(IPullProducer)
class PollerConnection(protocol.Protocol):
    """One connection of a router or relay below."""

    transport: Transport  # type: ignore[assignment]

    def __init__(self, pollers: PollerTable) -> None:
        self.pollers, self.reader = pollers, http1.RequestReader(0)
        self.number: int | None = None
        self.poll: Poll | None = None  # that waits for its answer
        self.code, self.since = "", pollers.clock()  # when it last asked, was answered, or read its answer
        self.keeps = False
        self._head, self._body, self._at = b"", b"", 0  # the answer, and how much of its body was written

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.number = self.pollers.add(self)
        if self.number is None:
            self.close("table-full")

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.code:
            return
        if self.poll is not None or self._head:
            # Guards what is held against polls that come before the answer to the last one was read.
            return self.close("unanswered-poll")
        try:
            request = self.reader.next(data)
        except ProtocolError as error:
            return self._reject(http1.STATUS_OF.get(str(error), 400), str(error))
        if request is not None:
            self._asked(request)
        elif self.reader.held > MAX_HEAD:
            self._reject(431, "poll-head")

    def _asked(self, request: http1.HttpRequest) -> None:
        if request.method != "GET":
            return self._reject(405, "poll-method")
        if self.reader.held:
            return self._reject(400, "pipelined")
        try:
            poll = decode_poll(request.target)
        except ProtocolError as error:
            return self._reject(404 if str(error) == "poll-path" else 400, str(error))
        if self.pollers.ending or not request.keep_alive:
            poll = poll.without_waiting()
        self.poll, self.since, self.keeps = poll, self.pollers.clock(), request.keep_alive
        assert self.number is not None
        self.pollers.ask(self.number, poll)

    def answer(self, status: int, body: bytes) -> None:
        """To the poll that waits, once."""
        if self.poll is None or self.code:
            return
        self.poll, keep = None, status == 200 and self.keeps and not self.pollers.ending
        self._write(http1.HttpResponse(status, JSON, body, keep))
        if not keep:
            self.leave("answered" if status == 200 else f"status-{status}")

    def _reject(self, status: int, code: str) -> None:
        self._write(http1.HttpResponse(status, {}, b"", False))
        self.leave(code)

    def _write(self, response: http1.HttpResponse) -> None:
        self._body, self._at, self.since = response.body, 0, self.pollers.clock()
        self._head = http1.encode_response(replace(response, head=True))
        self.pollers.budget.reserve(self.close, len(self._head) + len(self._body))
        if not self.code:
            self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:  # noqa: N802
        """The system has taken what was written: the next piece, or the end."""
        first = self._head if self._at == 0 else b""
        piece = self._body[self._at : self._at + PIECE]
        if first or piece:
            # An answer without a body has one byte of it "written" too, so that its head goes out once.
            self._at += max(len(piece), 1)
            return self.transport.write(first + piece)
        self._head = self._body = b""
        self.since = self.pollers.clock()
        self.transport.unregisterProducer()
        self.pollers.budget.reserve(self.close, 0)

    def stopProducing(self) -> None:  # noqa: N802
        """Told at the connection's end."""

    def look(self, now: float) -> None:
        """Close who holds a descriptor and asks nothing, or holds an answer and does not read it."""
        if self._head and now - self.since > UNREAD_MS:
            self.close("unread")
        elif self.poll is None and now - self.since > SILENT_MS:
            self.close("silent")

    def leave(self, code: str) -> None:
        """Close in order, once what was written has gone out."""
        if not self.code:
            self.code = code
            self.transport.loseConnection()

    def close(self, code: str) -> None:
        self.code = self.code or code
        self.transport.abortConnection()
        self._forget()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802
        self._forget()
        self.pollers.noted(self.code or disconnect_reason(reason))

    def _forget(self) -> None:
        self.pollers.budget.reserve(self.close, 0)
        if self.number is not None:
            number, self.number = self.number, None
            self.pollers.links.pop(number, None)
            self.pollers.gone(number)
