"""One connection to a shelf, a parent or the origin: what is out on it, and what was given up there.

Guards against bytes that reach a shelf late: each write goes to the system at once, and a connection that
holds some back takes nothing new until they have gone.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol as Port

from twisted.internet import protocol
from twisted.internet.interfaces import IPullProducer
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]

from thornjunction.core.ports import UpstreamRequest
from thornjunction.memory.budget import ByteBudget
from thornjunction.memory.deadlines import Deadline, Deadlines
from thornjunction.net.event_loop.disconnect_reasons import disconnect_reason, log_disconnect
from thornjunction.net.event_loop.ports import Transport
from thornjunction.net.upstream.connection_table import ConnectionTable
from thornjunction.net.wire import ProtocolError, upstream
from thornjunction.net.wire.resp import MAX_BULK, ArrayReader

WORN = 256  # idents given up on a connection, past which it gets no more
PART_MS = 500.0  # for the rest of an answer that has begun, past the time that its bytes take
IDLE_SHARE = 0.8  # of the platform's idle time: we close first, so that no request crosses a close
LINGER_MS = 500.0  # for the shelf to close its side after ours: a round trip, on the slowest path
HELD_MS = 80.0  # for bytes of what was given up to go out: what begins 100 ms later is a break
SECOND_MS = 200.0  # after an answer, in which its ident is not used again here: a second one comes soon
STRAYS = 32  # answers in a row to nothing that was asked: a connection's streams, each answered twice


@dataclass(frozen=True, slots=True)
class Limits:
    """What the platform allows."""

    max_streams: int
    dial_ms: float
    idle_ms: float
    connections: int  # to all shelfs together
    part_ms: float = PART_MS  # for the rest of an answer that has begun


@dataclass(slots=True, eq=False)
class Sent:
    """What is out on a connection, or waits for one: an attempt or (no order) a probe."""

    order: UpstreamRequest | None
    at: float
    start_by: float = math.inf  # not to begin after that
    timer: Deadline | None = None  # a probe's end
    bound: Deadline | None = None  # while it waits

    def left_ms(self, now: float) -> float:
        """Of the time that the decision gave it."""
        return self.order.fetch.timeout_ms - (now - self.at) if self.order is not None else math.inf


class Pool(Port):
    """Who owns the connections, and is told what comes of them."""

    limits: Limits
    deadlines: Deadlines
    clock: Callable[[], float]
    budget: ByteBudget
    links: ConnectionTable[UpstreamConnection]

    def roomy(self, link: UpstreamConnection) -> None:
        """It may take more."""

    def answered(self, link: UpstreamConnection, sent: Sent, answer: upstream.UpstreamResponse) -> None: ...

    def lost(self, link: UpstreamConnection) -> None:
        """It ended; what is out on it may have run."""


@implementer(IPullProducer)
class UpstreamConnection(protocol.Protocol):
    """One connection; idents of what is out on it, and of what was given up."""

    transport: Transport  # type: ignore[assignment]

    def __init__(self, pool: Pool, name: str) -> None:
        self.pool, self.name = pool, name
        self.slot: int | None = None
        self.reader = ArrayReader()
        self.out: dict[str, Sent] = {}
        # By ident, what was given up, and whether its answer may still come: late, it must not pass for a
        # new attempt's.
        self.dropped: dict[str, bool] = {}
        self.used: dict[str, float] = {}  # by ident: until when a second answer may come
        self.heard, self.suspect, self.code = pool.clock(), False, ""
        self.retired = False  # by the list: stays under suspicion
        self.unsent = False  # bytes that the system did not take when they were written
        self.idle: Deadline | None = None
        self.part: Deadline | None = None  # while an answer has come in part
        self.stuck: Deadline | None = None  # by then what is unsent has to be out
        self.linger: Deadline | None = None
        self.served = self.strays = self._crossed = 0
        self._stuck_at = math.inf

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, False)  # so that we are told whenever all has gone out

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.code:
            return self._pass_over(data)
        try:
            for items in self.reader.feed(data):
                self._whole()
                self._answer(upstream.decode_response(items))
                if self.code:
                    return
        except ProtocolError as error:
            return self.close(str(error))
        if self.reader.held:
            self._in_part()

    def _in_part(self) -> None:
        if self.part is None:
            # Guards against a false length that swallows the answers behind it, and one that stops short.
            when = self.pool.clock() + self.pool.limits.part_ms
            self.part = self.pool.deadlines.add(when, lambda: self.close("part-answer"))
        self.pool.budget.reserve(self.close, self.reader.held)

    def _whole(self) -> None:
        """Only a whole answer is a sign of life."""
        self.heard, self.suspect = self.pool.clock(), self.retired
        if self.part is not None:
            self.pool.deadlines.cancel(self.part)
            self.pool.budget.reserve(self.close, 0)
            self.part = None

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802
        for timer in (self.idle, self.part, self.stuck, self.linger):
            self.pool.deadlines.cancel(timer)
        self.pool.budget.reserve(self.close, 0)
        self.code = self.code or disconnect_reason(reason)
        log_disconnect("shelf", self.slot, self.code, shelf=self.name, served=self.served, open=len(self.out))
        self.pool.lost(self)

    def free(self) -> bool:
        shut = self.suspect or self.code or self.unsent or len(self.dropped) >= WORN
        return not shut and len(self.out) < self.pool.limits.max_streams

    def has_room(self, ident: str) -> bool:
        if not self.free() or ident in self.out or ident in self.dropped:
            return False
        return ident not in self.used or self.pool.clock() > self.used[ident]

    def load(self) -> int:
        return len(self.out)

    def put(self, ident: str, sent: Sent, data: bytes) -> None:
        self.pool.deadlines.cancel(self.idle)
        self.idle = None
        self.pool.links.used(self)
        self.out[ident] = sent
        self._write(data)
        if self.unsent and sent.start_by < math.inf:
            self._unstick_by(sent.start_by)

    def _write(self, data: bytes) -> None:
        """To the system at once, and not at the reactor's next turn.  What fails here fails there again."""
        self.transport.write(data)
        self.transport.doWrite()
        self.unsent = bool(self.transport.dataBuffer)

    def resumeProducing(self) -> None:  # noqa: N802
        """All that was written has gone to the system."""
        if self.unsent:
            self.unsent, self._stuck_at = False, math.inf
            self.pool.deadlines.cancel(self.stuck)
            self.pool.roomy(self)

    def stopProducing(self) -> None:  # noqa: N802
        pass

    def _unstick_by(self, when: float) -> None:
        """Guards against a shelf that does not read, and would get later what has been given up by then."""
        if when < self._stuck_at:
            self.pool.deadlines.cancel(self.stuck)
            self._stuck_at = when
            self.stuck = self.pool.deadlines.add(when, lambda: self.close("held-back"))

    def drop(self, ident: str) -> None:
        """Give up on one; a connection that has said nothing since is not trusted with more."""
        sent, now = self.out.pop(ident), self.pool.clock()
        if not self.code:
            self.dropped[ident] = True
            self._write(upstream.encode_cancel(ident))
            self.hurry()
        # Guards against a machine that vanished: its connections stay open and silent.
        if now - max(sent.at, self.heard) >= self.pool.limits.dial_ms:
            self.suspect = True
        self.rest()

    def hurry(self) -> None:
        """What is unsent must not begin later on."""
        if self.unsent:
            self._unstick_by(self.pool.clock() + HELD_MS)

    def retire(self) -> None:
        """No new work; it ends with what is out on it."""
        self.suspect = self.retired = True
        self.hurry()
        self.rest()

    def rest(self) -> None:
        """Nothing may be out any more: close what is under suspicion or worn, else in time."""
        if self.out or self.code:
            return
        if self.suspect and not self.retired:
            return self.close("silent")
        if self.retired or len(self.dropped) > self.pool.limits.max_streams:
            return self.finish("list" if self.retired else "worn")  # bounds the idents that are kept
        when = self.pool.clock() + IDLE_SHARE * self.pool.limits.idle_ms
        self.pool.deadlines.cancel(self.idle)
        self.idle = self.pool.deadlines.add(when, lambda: self.finish("idle"))
        self.pool.links.rested(self)

    def finish(self, code: str) -> None:
        """Close a connection on which nothing is out, our side first.  What crosses the close is read and
        passed over: unread, it would reset the connection under the shelf."""
        if self.unsent:
            return self.close(code)
        self.code = self.code or code
        self.pool.links.closing(self)
        self.pool.deadlines.cancel(self.idle)
        self.linger = self.pool.deadlines.add(self.pool.clock() + LINGER_MS, lambda: self.close(code))
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()

    def _pass_over(self, data: bytes) -> None:
        """What comes behind our close is not used; more of it than the largest answer ends the wait."""
        self._crossed += len(data)
        if self._crossed > MAX_BULK:
            self.close(self.code)

    def close(self, code: str) -> None:
        self.code = self.code or code
        self.pool.links.used(self)  # what is reset already can't be evicted
        self.transport.abortConnection()

    def _answer(self, answer: upstream.UpstreamResponse) -> None:
        sent = self.out.pop(answer.request_id, None)
        if sent is None:
            return self._stray(answer.request_id)
        self.served, self.strays = self.served + 1, 0
        if answer.code is not upstream.ResponseCode.DONE:  # others may be followed by a try
            self._remember(answer.request_id)
        self.rest()
        self.pool.roomy(self)
        self.pool.answered(self, sent, answer)

    def _remember(self, ident: str) -> None:
        """Guards against a second answer, which must not pass for that to the next attempt of its name."""
        now = self.pool.clock()
        while self.used and (len(self.used) >= WORN or next(iter(self.used.values())) < now):
            del self.used[next(iter(self.used))]
        self.used[ident] = now + SECOND_MS

    def _stray(self, ident: str) -> None:
        """Late, a second one, or to nothing that was ever asked.  Guards against such without end."""
        if self.dropped.get(ident):
            self.dropped[ident] = False
            return
        self.strays += 1
        if self.strays > STRAYS:
            self.close("unasked")
