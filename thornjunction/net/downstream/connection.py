"""A client's connection, as both fronts share it: its slot, its time limits, what it holds in memory."""

from __future__ import annotations

import select
import socket
from collections.abc import Callable, Iterator
from itertools import islice

from twisted.internet import protocol
from twisted.internet.interfaces import IPushProducer
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]

from thornjunction.memory.budget import ByteBudget
from thornjunction.memory.deadlines import Deadline, Deadlines
from thornjunction.memory.slots import SlotTable
from thornjunction.net.downstream.request_scheduler import RequestScheduler
from thornjunction.net.event_loop.disconnect_reasons import disconnect_reason, log_disconnect
from thornjunction.net.event_loop.ports import Transport

LOOK_MS = 500.0  # between looks at a connection's times
SILENT_MS = 2_000.0  # for the first whole request, and for the rest of one that has begun: 3 s are owed
LINGER_MS = 10_000.0  # for the client to read what was written, and to close its side
CROSSING_MS = 1_000.0  # the same where no answer is on its way; the platform forgives a crossing of 50 ms
LINGER_SHARE = 8  # of the table, for connections that linger beside a full one: a third of all descriptors
# for clients, a third for shelfs, and this much more still leave a quarter for all else
MAX_CROSSED = 131_072  # bytes that may cross our close: two of the largest requests
READ_BYTES = 65_536  # at once, as Twisted does
IDLE_MS, STALL_MS = 30_000.0, 10_000.0  # without a request; with a client that does not read
EVICTION_LOOKS = 8  # idle connections whose socket is read, for one that may go


def _peer_has_closed(transport: object) -> bool:
    """Whether the far side of a TLS connection has shut its socket, though bytes of it lie unread."""
    below = getattr(transport, "transport", None)
    if below is None:
        return False
    look = select.poll()
    look.register(below.fileno(), select.POLLRDHUP)
    return bool(look.poll(0))


class DownstreamTable:
    """The connections of all fronts in numbered slots; where all are taken, the longest idle one goes."""

    def __init__(self, capacity: int, budget: ByteBudget) -> None:
        self.budget = budget
        self._slots: SlotTable[DownstreamConnection] = SlotTable(capacity)
        self._idle: dict[DownstreamConnection, None] = {}  # in the order in which they fell idle
        self.lingering: dict[DownstreamConnection, None] = {}  # in the order in which we shut our side
        self.turns = RequestScheduler()

    def __len__(self) -> int:
        return len(self._slots)

    def __iter__(self) -> Iterator[DownstreamConnection]:
        return iter(self._slots)

    @property
    def connected(self) -> int:
        """Those that linger, too."""
        return len(self._slots) + len(self.lingering)

    def add(self, link: DownstreamConnection) -> int | None:
        """Its number; None where every connection has an open request."""
        if self._slots.full:
            self._evict()
        if self._slots.full:
            return None
        number = self._slots.add(link)
        self._idle[link] = None
        self._bound()
        return number

    def _evict(self) -> None:
        """Guards against clients that ask once and hold their connection: the next ones found no room.  A
        request that lies unread, as after a long turn, makes its connection busy."""
        for link in list(islice(self._idle, EVICTION_LOOKS)):
            link.read_now()
            if not link.is_open():
                return link.finish("evicted", CROSSING_MS)

    def linger(self, link: DownstreamConnection) -> None:
        """It reads on in nobody's place, until its client has closed too."""
        self.remove(link)
        self.lingering[link] = None
        self._bound()

    def _bound(self) -> None:
        """Guards the descriptors against clients that never close: the longest lingering one is cut off."""
        most = self._slots.capacity + max(self._slots.capacity // LINGER_SHARE, 1)
        while self.lingering and self.connected > most:
            longest = next(iter(self.lingering))
            del self.lingering[longest]
            longest.close("lingering")

    def mark(self, link: DownstreamConnection, is_open: bool) -> None:
        """Told after each turn of a connection: it goes to the end of the line, or out of it."""
        self._idle.pop(link, None)
        if not is_open and link.slot is not None:
            self._idle[link] = None

    def remove(self, link: DownstreamConnection) -> None:
        self._idle.pop(link, None)
        self.lingering.pop(link, None)
        if link.slot is not None:
            self._slots.remove(link.slot)


@implementer(IPushProducer)
class DownstreamConnection(protocol.Protocol):
    """One connection; a front's own kind says what is asked on it."""

    transport: Transport  # type: ignore[assignment]
    kind = "client"

    def __init__(self, table: DownstreamTable, deadlines: Deadlines, clock: Callable[[], float]):
        self.table, self.deadlines, self.clock = table, deadlines, clock
        self.slot: int | None = None
        self.code, self.answered = "", 0
        self.ending = ""  # ends with this code once no request is open
        self.deaf = False  # what comes is no request any more
        self.refuses = False  # has no place in the table: its requests are refused, then it ends
        self._owed = False  # whether a request was open as we ended it
        self.asked = False  # whether a whole request ever came
        self._since = self._part_since = 0.0  # of the last turn; of a request that has come in part, or 0
        self._unread, self._paused = 0, False  # bytes written while the client did not read
        self._held = 0  # bytes that the budget knows of
        self._watch: Deadline | None = None
        self._stall: Deadline | None = None
        self._crossed = 0
        self._linger: Deadline | None = None

    def connectionMade(self) -> None:  # noqa: N802
        self._since = self.clock()
        self.transport.setTcpNoDelay(True)  # first: what the system holds back is lost with a reset
        self.transport.registerProducer(self, True)
        self.slot = self.table.add(self)
        if self.slot is None:
            self.refuses, self.ending = True, "table-full"
            self.table.linger(self)
        self._look()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802
        self.deadlines.cancel(self._watch)
        self.deadlines.cancel(self._stall)
        self.deadlines.cancel(self._linger)
        self.code = self.code or disconnect_reason(reason)
        self.table.remove(self)
        self._hold(0)
        owed = self._owed or self.is_open()
        log_disconnect(self.kind, self.slot, self.code, answered=self.answered, owed=owed)
        self.forget()

    def is_open(self) -> bool:
        """Whether a request of this connection is owed its answer."""
        raise NotImplementedError

    def held(self) -> int:
        """Bytes of requests that have come in part."""
        raise NotImplementedError

    def forget(self) -> None:
        """Nobody waits for its requests any more: give them up in the core, at once."""
        raise NotImplementedError

    def answer_open(self) -> None:
        """Answer what is open now: refused where the core has not had it, else failed."""
        raise NotImplementedError

    def drop_part(self) -> None:
        """Forget the request that has come in part."""
        raise NotImplementedError

    def turned(self, whole: bool = False) -> None:
        """After bytes came or an answer went out; ``whole``: a request has come whole."""
        if self.code:
            return
        now, held, self.asked = self.clock(), self.held(), self.asked or whole
        if self.ending and (self.asked or self.deaf) and not self.is_open():
            return self.finish(self.ending)
        if self.asked:
            self._since = now
        if not held:
            self._part_since = 0.0
        elif whole or not self._part_since:
            self._part_since = now
        self.table.mark(self, self.is_open())
        self._hold(held + self._unread)

    def _hold(self, size: int) -> None:
        if size or self._held:
            self._held = size
            self.table.budget.reserve(self._let_go, size)

    def _let_go(self, code: str) -> None:
        """Free what is held here, the most of all.  Answers that are not read can only be cut off; where the
        client reads, its whole requests are answered."""
        if self._paused:
            return self.close(code)
        self.ending = self.ending or code
        self.drop_part()
        self.answer_open()
        self.finish(self.ending)

    def _look(self) -> None:
        if self._overdue():
            self.read_now()
        code = self._overdue()
        if code:
            return self.finish(self.ending or code, CROSSING_MS)
        if not self.code:
            self._watch = self.deadlines.add(self.clock() + LOOK_MS, self._look)

    def _overdue(self) -> str:
        """Why this connection has to end; empty where it has not."""
        now = self.clock()
        if self.is_open():
            return ""
        if self._part_since and now - self._part_since >= SILENT_MS:
            return "half-request"
        if not self.asked and now - self._since >= SILENT_MS:
            return "silent"
        return "idle" if now - self._since >= IDLE_MS else ""

    def write(self, data: bytes) -> None:
        """An answer, whole."""
        self.answered += 1
        self.transport.write(data)
        if self._paused:
            self._unread += len(data)

    def close(self, code: str) -> None:
        """Cut off.  Only for who costs too much, and who had the time to end orderly: a close over unread
        bytes resets the connection, and the client loses an answer on its way."""
        self._end(code)
        self.transport.abortConnection()

    def _end(self, code: str) -> None:
        self.code, self._owed = self.code or code, self._owed or self.is_open()
        self.deadlines.cancel(self._watch)
        self.forget()

    def finish(self, code: str, linger_ms: float = LINGER_MS) -> None:
        """Close after what was written has gone out, our side first.  A request that crosses the close is
        read and passed over: unread, it would reset the connection, and take along an answer on its way."""
        if self._linger is not None:
            return
        self._end(code)
        self._linger = self.deadlines.add(self.clock() + linger_ms, lambda: self.close(code))
        self._hold(self._unread)
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        self.table.linger(self)

    def stop_reading(self, code: str) -> None:
        """What comes now is no request any more.  Those that came whole before keep their answers; behind the
        last of them the connection ends."""
        self.ending, self.deaf = code, True
        self.drop_part()
        self.turned()

    def pass_over(self, data: bytes) -> None:
        """What comes behind our close, or is no request.  Guards the core against a client that goes on
        sending."""
        self._crossed += len(data)
        if self._crossed <= MAX_CROSSED:
            return
        if self.code:
            return self.close(self.code)
        self._crossed = 0
        self.answer_open()
        self.finish(self.ending)

    def read_now(self) -> None:
        """Take in what has come, before it is decided whether this connection rests: a request may lie there
        for long in a process that was held up."""
        data = self.read_on()
        if data:
            self.dataReceived(data)

    def read_on(self) -> bytes:
        """What has come since Twisted read, taken in before a request goes to the core.  Guards against
        sending on for a client that has gone by then: its end shows only behind all that it sent."""
        handle, data = self.transport.getHandle(), bytearray()
        if not isinstance(handle, socket.socket):  # TLS, with bytes of its own between
            if _peer_has_closed(self.transport):
                self._end("closed-by-peer")
            return b""
        try:
            while len(data) < MAX_CROSSED:
                more = handle.recv(READ_BYTES)
                if not more:  # Twisted reads the same, and ends the connection
                    self._end("closed-by-peer")
                    break
                data += more
        except BlockingIOError:
            pass
        except OSError:
            self._end("reset")
        return bytes(data)

    def leave(self) -> None:
        """Close if nothing is under way.  A new connection, whose first request may be on its way, gets the
        time that is owed to it."""
        if not self._rests():
            return
        self.read_now()
        if self._rests():
            self.finish("drained")

    def _rests(self) -> bool:
        return self.asked and not (self.code or self.is_open() or self.held())

    def pauseProducing(self) -> None:  # noqa: N802
        """The client does not read: it may hold the memory of its answers for so long."""
        if self._paused:  # told anew with each write
            return
        self._paused = True
        self._stall = self.deadlines.add(self.clock() + STALL_MS, lambda: self.close("stalled"))

    def resumeProducing(self) -> None:  # noqa: N802
        self._paused, self._unread = False, 0
        self.deadlines.cancel(self._stall)
        self._hold(0 if self.code else self.held())

    def stopProducing(self) -> None:  # noqa: N802
        self.deadlines.cancel(self._stall)
