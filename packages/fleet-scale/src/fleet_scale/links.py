"""Ways between places: TCP relays that delay, hold back (one way or both) and sever.

A way that is cut holds bytes back in the system's buffers, so that both ends see silence, as on a network
that repeats what was lost; on healing they come.  A connection that was opened across a cut never came up:
on healing it is reset.  Who has left across a cut is gone for the other side only once it is healed."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Any

from twisted.internet import protocol
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer  # type: ignore[import-untyped]

from thornjunction.net.event_loop.transport import BuildFactory

IN_FLIGHT = 1_000_000  # bytes of one way of one connection that are held for the delay
MAX_PAIRS = 8192  # connections of one process
DIAL_S = 5


@implementer(IPushProducer)
class End(protocol.Protocol):
    """One of a connection's two ends; what it reads goes out at the other."""

    transport: Any

    def __init__(self, pair: Pair) -> None:
        self.pair, self.lost = pair, False
        self.stopped: set[str] = set()  # why it is not read: ``cut``, ``full``, ``flight``, ``alone``
        self._flight: deque[bytes] = deque()
        self._bytes = 0

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.pair.came(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        route = self.pair.route
        route.counts["bytes"] += len(data)
        if not route.delay_ms and not self._flight:
            return self._out(data)
        self._flight.append(data)
        self._bytes += len(data)
        self.stop("flight", self._bytes > IN_FLIGHT)
        route.reactor.callLater(route.delay_ms / 1000.0, self._landed)

    def _landed(self) -> None:
        data = self._flight.popleft()
        self._bytes -= len(data)
        self._out(data)
        self.stop("flight", self._bytes > IN_FLIGHT)

    def _out(self, data: bytes) -> None:
        other = self.pair.other(self)
        if other is not None and not other.lost:
            other.transport.write(data)

    def stop(self, why: str, stopped: bool) -> None:
        """Read on only where nothing speaks against it."""
        was = bool(self.stopped)
        (self.stopped.add if stopped else self.stopped.discard)(why)
        if bool(self.stopped) is not was and not self.lost:
            (self.transport.pauseProducing if self.stopped else self.transport.resumeProducing)()

    def pauseProducing(self) -> None:  # noqa: N802
        self.stop("full", True)

    def resumeProducing(self) -> None:  # noqa: N802
        self.stop("full", False)

    def stopProducing(self) -> None:  # noqa: N802
        pass

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.lost = True
        self.pair.ended()


class Pair:
    """One connection of a route: ``near`` was accepted, ``far`` is dialled."""

    def __init__(self, route: Route) -> None:
        self.route, self.near = route, End(self)
        self.far: End | None = None
        self._dialling: Any = None

    def other(self, end: End) -> End | None:
        return self.far if end is self.near else self.near

    def came(self, end: End) -> None:
        if end is self.near:
            self.route.pairs.add(self)
            self.near.stop("alone", True)
            if not self.route.cut:
                self.dial()
            return
        self.far = end
        end.transport.registerProducer(self.near, True)
        self.near.transport.registerProducer(end, True)
        self.near.stop("alone", False)
        self.held()

    def dial(self) -> None:
        endpoint: Any = TCP4ClientEndpoint(self.route.reactor, *self.route.target, timeout=DIAL_S)
        self._dialling = endpoint.connect(BuildFactory(lambda: End(self)))
        self._dialling.addErrback(lambda _: self.sever())

    def held(self) -> None:
        """Hold back what the route holds back."""
        for end, way in ((self.near, "forth"), (self.far, "back")):
            if end is not None:
                end.stop("cut", way in self.route.cut)

    def healed(self) -> None:
        if self.far is None and self._dialling is None:
            return self.sever()  # it came during the cut
        self.held()
        self.ended()

    def ended(self) -> None:
        """One end has left: the other one hears of it, unless the route is cut."""
        ends = [end for end in (self.near, self.far) if end is not None]
        if not any(end.lost for end in ends):
            return
        if all(end.lost for end in ends) or not self.route.cut:
            self.route.pairs.discard(self)
            for end in ends:
                if not end.lost:
                    end.transport.loseConnection()

    def sever(self) -> None:
        for end in (self.near, self.far):
            if end is not None and not end.lost:
                end.transport.abortConnection()


@dataclass(eq=False)
class Route:
    """A port that leads to a target.  ``cut``: the ways that are held back, ``forth`` and ``back``."""

    reactor: Any
    target: tuple[str, int]
    delay_ms: float
    counts: Counter[str]
    cut: frozenset[str] = frozenset()
    pairs: set[Pair] = field(default_factory=set)
    port: int = 0

    def listen(self) -> int:
        accept: Any = self._accept  # none of a full table, which Twisted takes for a refusal
        listening = self.reactor.listenTCP(0, BuildFactory(accept), backlog=2048, interface="127.0.0.1")
        self.port = int(listening.getHost().port)
        return self.port

    def _accept(self) -> End | None:
        if len(self.pairs) >= MAX_PAIRS:
            return None
        self.counts["connections"] += 1
        return Pair(self).near

    def hold(self, ways: frozenset[str]) -> None:
        """Cut these ways and heal the others."""
        healed = bool(self.cut) and not ways
        self.cut = ways
        for pair in list(self.pairs):
            pair.healed() if healed else pair.held()

    def sever(self) -> None:
        """Reset all connections at once."""
        for pair in list(self.pairs):
            pair.sever()
