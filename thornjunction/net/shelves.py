"""The pool of connections to shelfs, parents and the origin.

Maps every end of an attempt exactly: a connection that never came up proves that nothing ran, one that broke
does not, and an answer says it by its word.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from typing import Protocol as Port

from twisted.internet import protocol
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from thornjunction import interface as api
from thornjunction.core.ports import Content, Order
from thornjunction.memory.budget import Budget
from thornjunction.memory.deadlines import Deadline, Deadlines
from thornjunction.memory.slots import SlotTable
from thornjunction.net.endings import code_of, log_end
from thornjunction.net.transport import Transport, dial
from thornjunction.net.wire import ProtocolError, shelf
from thornjunction.net.wire.commands import Host
from thornjunction.net.wire.resp import ArrayReader
from thornjunction.settings import read_report

PREFERRED, NEEDED, AT_MOST = 4, 8, 10  # connections to one shelf: opened beside others with room; where
# none has room (32 streams each, and a large box's share at the peak is over 128); with those under suspicion
CROWDED = 2  # out on the least used connection, past which another is opened beside it
WORN = 256  # idents given up on a connection, past which it gets no more
PART_MS = 500.0  # for the rest of an answer that has begun; the largest takes 65 ms on the slowest link
IDLE_SHARE = 0.8  # of the platform's idle time: we close first, so that no request crosses a close
WAITING = 256  # attempts that may wait for one dial

STATUSES = {
    shelf.Word.DONE: api.Status.DONE,
    shelf.Word.KEEP: api.Status.DONE,
    shelf.Word.LACK: api.Status.MISS,
    shelf.Word.WAIT: api.Status.BUSY,
    shelf.Word.BROKE: api.Status.ERROR,
    shelf.Word.PAST: api.Status.SKIPPED,
}


class Ends(Port):
    """Where ends are reported: the engine."""

    def ended(
        self,
        number: int,
        status: api.Status,
        content: Content | None = None,
        report: api.Report | None = None,
    ) -> None: ...

    def probed(self, server: str, status: api.Status, took_ms: float, report: api.Report | None) -> None: ...


@dataclass(frozen=True, slots=True)
class Limits:
    """What the platform allows."""

    max_streams: int
    dial_ms: float
    idle_ms: float
    connections: int  # to all shelfs together


@dataclass(slots=True)
class Sent:
    """What is out on a connection: an attempt or (no order) a probe."""

    order: Order | None
    at: float
    timer: Deadline | None = None


class ShelfLink(protocol.Protocol):
    """One connection; idents of what is out on it, and of what was given up."""

    transport: Transport  # type: ignore[assignment]

    def __init__(self, pool: ShelfPool, name: str) -> None:
        self.pool, self.name = pool, name
        self.slot: int | None = None
        self.reader = ArrayReader()
        self.out: dict[str, Sent] = {}
        self.dropped: set[str] = set()  # a late answer to one of these must not pass for a new attempt's
        self.heard, self.suspect, self.code = pool.clock(), False, ""
        self.retired = False  # by the list: stays under suspicion
        self.idle: Deadline | None = None
        self.part: Deadline | None = None  # while an answer has come in part
        self.served = 0

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        try:
            for items in self.reader.feed(data):
                self._whole()
                self._answer(shelf.decode_answer(items))
        except ProtocolError as error:
            return self.close(str(error))
        if self.reader.held and not self.code:
            self._in_part()

    def _in_part(self) -> None:
        if self.part is None:
            # Guards against a false length that swallows the answers behind it, and one that stops short.
            when = self.pool.clock() + PART_MS
            self.part = self.pool.deadlines.add(when, lambda: self.close("part-answer"))
        self.pool.budget.hold(self.close, self.reader.held)

    def _whole(self) -> None:
        """Only a whole answer is a sign of life."""
        self.heard, self.suspect = self.pool.clock(), self.retired
        if self.part is not None:
            self.pool.deadlines.cancel(self.part)
            self.pool.budget.hold(self.close, 0)
            self.part = None

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802
        self.pool.lost(self, self.code or code_of(reason))

    def has_room(self, ident: str) -> bool:
        taken = ident in self.out or ident in self.dropped or len(self.dropped) >= WORN
        return not (self.suspect or self.code or taken) and len(self.out) < self.pool.limits.max_streams

    def load(self) -> int:
        return len(self.out)

    def put(self, ident: str, sent: Sent, data: bytes) -> None:
        self.pool.deadlines.cancel(self.idle)
        self.idle = None
        self.out[ident] = sent
        self.pool.relayed += sent.order is not None
        self.transport.write(data)

    def drop(self, ident: str) -> None:
        """Give up on one; a connection that has said nothing since is not trusted with more."""
        sent = self.out.pop(ident)
        if not self.code:
            self.transport.write(shelf.encode_never_mind(ident))
            self.dropped.add(ident)
        # Guards against a machine that vanished: its connections stay open and silent.
        if self.pool.clock() - max(sent.at, self.heard) >= self.pool.limits.dial_ms:
            self.suspect = True
        self.rest()

    def rest(self) -> None:
        """Nothing may be out any more: close what is under suspicion or worn, else in time."""
        if self.out or self.code:
            return
        if self.suspect:
            return self.close("silent")
        if len(self.dropped) > self.pool.limits.max_streams:
            return self.close("worn")  # bounds the idents that are kept
        when = self.pool.clock() + IDLE_SHARE * self.pool.limits.idle_ms
        self.pool.deadlines.cancel(self.idle)
        self.idle = self.pool.deadlines.add(when, lambda: self.close("idle"))

    def close(self, code: str) -> None:
        self.code = self.code or code
        self.transport.abortConnection()

    def _answer(self, answer: shelf.ShelfAnswer) -> None:
        sent = self.out.pop(answer.ident, None)
        if sent is None:  # late
            return
        self.served += 1
        self.rest()
        self.pool.answered(self.name, sent, answer)


@dataclass(slots=True)
class Shelf:
    """One server of the list and the ways to it."""

    host: Host
    links: list[ShelfLink] = field(default_factory=list)
    waiting: dict[str, tuple[Sent, bytes]] = field(default_factory=dict)  # for the dial, by ident
    dial: Deferred[Any] | None = None


class ShelfPool:
    """Sends attempts and probes, and reports each end to the engine once."""

    ends: Ends

    def __init__(
        self, reactor: Any, limits: Limits, deadlines: Deadlines, clock: Callable[[], float], budget: Budget
    ) -> None:
        self.reactor, self.limits, self.deadlines, self.clock = reactor, limits, deadlines, clock
        self.budget = budget
        self.links: SlotTable[ShelfLink] = SlotTable(limits.connections)
        self.shelves: dict[str, Shelf] = {}
        self._where: dict[int, tuple[Shelf, str]] = {}  # by attempt: the shelf and the ident there
        self._probes = 0
        self.relayed = 0  # attempts written whole, since the start

    def update(self, hosts: tuple[Host, ...], whole: bool) -> None:
        """Take in a change of the list.  A shelf at a new address, or a new process, gets new connections."""
        if whole:
            for name in set(self.shelves) - {host.name for host in hosts}:
                self._forget(name)
        for host in hosts:
            known = self.shelves.get(host.name)
            if host.state is api.State.GONE:
                self._forget(host.name)
            elif known is None:
                self.shelves[host.name] = Shelf(host)
            else:
                if host.address not in (None, known.host.address):
                    self._retire(known)
                known.host = host if host.address is not None else known.host

    def send(self, order: Order) -> None:
        self._send(order.fetch.server, order.call.name, Sent(order, self.clock()), shelf.encode_want(order))

    def give_up(self, number: int) -> None:
        where = self._where.pop(number, None)
        if where is None:
            return
        found, ident = where
        if found.waiting.pop(ident, None) is not None:
            return
        for link in found.links:
            sent = link.out.get(ident)
            if sent is not None and sent.order is not None and sent.order.number == number:
                return link.drop(ident)

    def probe(self, server: str) -> None:
        self._probes += 1
        tag, sent = f"probe-{self._probes}", Sent(None, self.clock())
        sent.timer = self.deadlines.add(
            sent.at + self.limits.dial_ms, lambda: self._probe_over(server, tag, sent)
        )
        self._send(server, tag, sent, shelf.encode_busy(tag))

    def _probe_over(self, server: str, tag: str, sent: Sent) -> None:
        found = self.shelves.get(server)
        if found is not None:
            found.waiting.pop(tag, None)
            for link in found.links:
                if tag in link.out:
                    link.drop(tag)
        self._end(server, sent, api.Status.TIMEOUT)

    def _send(self, server: str, ident: str, sent: Sent, data: bytes) -> None:
        found = self.shelves.get(server)
        if found is None or found.host.address is None:
            return self._end(server, sent, api.Status.REFUSED)
        if sent.order is not None:
            self._where[sent.order.number] = (found, ident)
        # The least used: a spoilt answer ends all that is out on its connection.
        link = min((way for way in found.links if way.has_room(ident)), key=ShelfLink.load, default=None)
        if link is not None:
            link.put(ident, sent, data)
            if link.load() > CROWDED and found.dial is None and self._may_dial(found, PREFERRED):
                self._dial(found)
            return
        if ident in found.waiting or len(found.waiting) >= WAITING or not self._may_dial(found, NEEDED):
            # Guards against blame: BUSY would count against the shelf's source, which this pool never asked.
            return self._end(server, sent, api.Status.SKIPPED)
        found.waiting[ident] = (sent, data)
        if found.dial is None:
            self._dial(found)

    def _may_dial(self, found: Shelf, most: int) -> bool:
        if found.dial is not None:
            return True
        trusted = sum(not link.suspect and not link.code for link in found.links)
        return trusted < most and len(found.links) < AT_MOST and not self.links.full

    def _dial(self, found: Shelf) -> None:
        assert found.host.address is not None
        name, until = found.host.name, self.clock() + self.limits.dial_ms

        def up(link: ShelfLink) -> None:
            found.dial = None
            self._dialled(found, link)

        def down(_: Failure) -> None:
            found.dial = None
            log_end("shelf", None, "dial-failed", shelf=name)
            self._fail_waiting(found, api.Status.REFUSED)

        found.dial = dial(
            self.reactor, found.host.address, lambda: ShelfLink(self, name), self.deadlines, until
        )
        found.dial.addCallbacks(up, down)

    def _dialled(self, found: Shelf, link: ShelfLink) -> None:
        link.slot = self.links.add(link)
        if link.slot is None or self.shelves.get(found.host.name) is not found:
            link.close("table-full" if link.slot is None else "list")
            return self._fail_waiting(found, api.Status.SKIPPED)
        found.links.append(link)
        for ident in list(found.waiting):
            if not link.has_room(ident):
                break
            sent, data = found.waiting.pop(ident)
            link.put(ident, sent, data)
        link.rest()
        if found.waiting and self._may_dial(found, NEEDED):
            return self._dial(found)
        self._fail_waiting(found, api.Status.SKIPPED)

    def _fail_waiting(self, found: Shelf, status: api.Status) -> None:
        waiting, found.waiting = found.waiting, {}
        for sent, _ in waiting.values():
            self._end(found.host.name, sent, status)

    def _forget(self, name: str) -> None:
        found = self.shelves.pop(name, None)
        if found is not None:
            self._retire(found)

    def _retire(self, found: Shelf) -> None:
        """No new work on these connections; they end with what is out on them."""
        if found.dial is not None:
            found.dial.cancel()
        for link in list(found.links):
            link.suspect = link.retired = True
            link.rest()

    def lost(self, link: ShelfLink, code: str) -> None:
        """A connection ended: what was out on it may have run."""
        self.deadlines.cancel(link.idle)
        self.deadlines.cancel(link.part)
        self.budget.hold(link.close, 0)
        link.code = link.code or code
        if link.slot is not None:
            self.links.remove(link.slot)
        found = self.shelves.get(link.name)
        if found is not None and link in found.links:
            found.links.remove(link)
        log_end("shelf", link.slot, code, shelf=link.name, served=link.served, open=len(link.out))
        out, link.out = link.out, {}
        for sent in out.values():
            self._end(link.name, sent, api.Status.RESET)

    def answered(self, name: str, sent: Sent, answer: shelf.ShelfAnswer) -> None:
        told = answer.fields.get("report")
        report = read_report(shelf.decode_report(told)) if told else None
        if sent.order is None:
            fit = answer.word is shelf.Word.FIT
            return self._end(name, sent, api.Status.DONE if fit else api.Status.ERROR, report=report)
        status, content = STATUSES.get(answer.word, api.Status.ERROR), None
        if status is api.Status.DONE:
            same = answer.word is shelf.Word.KEEP
            content = Content(answer.body, answer.fields.get("rev", ""), same)
            if same and not sent.order.call.have:  # "your copy holds" to a client that has none
                status, content = api.Status.ERROR, None
        self._end(name, sent, status, content, report)

    def _end(
        self,
        name: str,
        sent: Sent,
        status: api.Status,
        content: Content | None = None,
        report: api.Report | None = None,
    ) -> None:
        if sent.order is not None:
            self._where.pop(sent.order.number, None)
            return self.ends.ended(sent.order.number, status, content, report)
        self.deadlines.cancel(sent.timer)
        self.ends.probed(name, status, self.clock() - sent.at, report)
