"""A discovery of the plain protocol for many pollers at once: it tells a planned log, answers held polls with
bytes that were encoded once, and counts."""

from __future__ import annotations

import heapq
import re
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from twisted.internet import protocol
from twisted.internet.interfaces import IPullProducer
from zope.interface import implementer  # type: ignore[import-untyped]

from fleet_scale.event_log import EventLog, Line, digest
from fleet_scale.plan import Changes, Purges, share_of
from thornjunction.net.event_loop.transport import BuildFactory

POLL = re.compile(rb"GET /cmd/next\?([^ \r\n]{1,400}) HTTP/1\.1\r\n(?:[^\r\n]{1,400}\r\n){0,16}\r\n")
RESUME, BLOCK = re.compile(rb"(?:^|&)resume=(\d{1,18})"), re.compile(rb"(?:^|&)block=(\d{1,6})")
MOST_HEAD = 4096  # bytes of a poll
SWEEP_S, MOST_BLOCK_MS = 0.02, 5000.0  # between looks at who has waited long enough
AT_ONCE_MS = 20.0  # a poll with a shorter block is answered at once
PIECE = 65_536  # of a long answer, at a time


@implementer(IPullProducer)
class Poller(protocol.Protocol):
    """One connection."""

    transport: Any

    def __init__(self, discovery: Discovery) -> None:
        self.discovery, self._head, self._long = discovery, b"", memoryview(b"")

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.discovery.pollers.add(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._head += data
        self.discovery.counts["bytes_in"] += len(data)
        found = POLL.fullmatch(self._head)
        if found is None:
            if len(self._head) > MOST_HEAD:
                self.transport.abortConnection()
            return
        self._head = b""
        resume, block = RESUME.search(found[1]), BLOCK.search(found[1])
        if resume is None or block is None:
            return self.transport.abortConnection()  # type: ignore[no-any-return]
        self.discovery.polled(self, int(resume[1]), min(float(block[1]), MOST_BLOCK_MS))

    def answer(self, data: bytes) -> None:
        """Long ones go piece by piece: all pollers share the bytes, and none has a copy of its own."""
        if len(data) <= PIECE:
            return self.transport.write(data)  # type: ignore[no-any-return]
        self._long = memoryview(data)
        self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:  # noqa: N802
        piece, self._long = self._long[:PIECE], self._long[PIECE:]
        self.transport.write(bytes(piece))
        if not self._long:
            self.transport.unregisterProducer()

    def stopProducing(self) -> None:  # noqa: N802
        self._long = memoryview(b"")

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.discovery.pollers.discard(self)
        self.discovery.held.pop(self, None)


class Discovery:
    """``counts``: ``polls``, ``answers``, ``bytes_in``, ``bytes_out``, ``connections`` (ever)."""

    def __init__(self, reactor: Any, hosts: list[Line], clock: Callable[[], float] = time.monotonic) -> None:
        self.reactor, self.clock, self.log = reactor, clock, EventLog(hosts)
        self.pollers: set[Poller] = set()
        self.held: dict[Poller, tuple[int, float]] = {}  # resume, and until when on the clock
        self.counts = Counter[str]()
        self._planned: list[tuple[float, int, Purges | Changes, int]] = []  # due, plan's place, plan, number
        self._plans, self._call = 0, None
        self._listening: Any = None
        self.port = 0
        self.up()
        self._sweep()

    def up(self) -> None:
        """Listen, on the port of before."""
        self._listening = self.reactor.listenTCP(
            self.port, BuildFactory(self._built), backlog=2048, interface="127.0.0.1"
        )
        self.port = int(self._listening.getHost().port)

    def _built(self) -> Poller:
        self.counts["connections"] += 1
        return Poller(self)

    def down(self) -> None:
        """Refuse who comes, and reset who is there."""
        self._listening.stopListening()
        for poller in list(self.pollers):
            poller.transport.abortConnection()

    def restart(self) -> None:
        """New numbers: what was told so far is history."""
        self.log.restart()
        self._release()

    def polled(self, poller: Poller, resume: int, block_ms: float) -> None:
        self.counts["polls"] += 1
        if resume < self.log.cursor or block_ms <= AT_ONCE_MS:
            return self._answer(poller, resume)
        self.held[poller] = resume, self.clock() + block_ms / 1000.0

    def _answer(self, poller: Poller, resume: int) -> None:
        data = self.log.answer(resume)
        self.counts["answers"] += 1
        self.counts["bytes_out"] += len(data)
        poller.answer(data)

    def _release(self) -> None:
        held, self.held = self.held, {}
        for poller, (resume, _) in held.items():
            self._answer(poller, resume)

    def _sweep(self) -> None:
        now = self.clock()
        for poller, (resume, until) in list(self.held.items()):
            if until <= now:
                del self.held[poller]
                self._answer(poller, resume)
        self.reactor.callLater(SWEEP_S, self._sweep)

    # -- the plan --

    def plan(self, what: Purges | Changes) -> None:
        """Tell these at their times."""
        self._plans += 1
        if what.count:
            heapq.heappush(self._planned, (what.due(what.first), self._plans, what, what.first))
        self._arm()

    def _arm(self) -> None:
        if self._call is not None:
            self._call.cancel()
        self._call = None
        if self._planned:
            wait_s = max(self._planned[0][0] - self.clock(), 0.0)
            self._call = self.reactor.callLater(wait_s, self._due)

    def _due(self) -> None:
        """All that is due by now; then whoever waits hears of it once."""
        self._call, now = None, self.clock()
        while self._planned and self._planned[0][0] <= now:
            due, place, what, number = heapq.heappop(self._planned)
            if isinstance(what, Purges) and not what.rate:
                self.log.past((one, self._unix_ms(what, one)) for one in what.numbers())
                continue
            self._tell(what, number)
            if number + 1 < what.first + what.count:
                heapq.heappush(self._planned, (what.due(number + 1), place, what, number + 1))
        self._release()
        self._arm()

    def _tell(self, what: Purges | Changes, number: int) -> None:
        if isinstance(what, Purges):
            return self.log.purge(number, self._unix_ms(what, number))
        names = [name for name in self.log.hosts if name != "origin"]
        name = names[what.shelf(number, len(names))]
        self.log.change(name, health=what.state(number), share=share_of(number))

    def _unix_ms(self, what: Purges, number: int) -> float:
        return (time.time() - self.clock() + what.purged(number)) * 1000.0

    def figures(self) -> dict[str, Any]:
        """Counts since the start, and how it stands."""
        serving = {n: float(h["share"]) for n, h in self.log.hosts.items() if h["health"] == "active"}
        told = {"cursor": self.log.cursor, "open": len(self.pollers), "held": len(self.held)}
        return dict(self.counts) | told | {"digest": digest(serving), "planned": len(self._planned)}
