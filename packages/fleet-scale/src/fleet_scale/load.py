"""A small steady load on whole routers, through the platform's front: so that what control costs a request is
seen."""

from __future__ import annotations

import time
from collections import Counter
from typing import Any

from fakes.raw_socket import asked
from twisted.internet import protocol
from twisted.internet.endpoints import TCP4ClientEndpoint

from fleet_scale.fit import quantile
from thornjunction.net.event_loop.transport import BuildFactory
from thornjunction.net.wire import fastcgi

TTL_MS = 2000
AGAIN_S = 0.1  # between dials of a front that is not there yet
KEPT = 100_000  # latencies


class Client(protocol.Protocol):
    """One connection to one router: a request at a time for each of its numbers."""

    transport: Any

    def __init__(self, load: Load, front: tuple[str, int]) -> None:
        self.load, self.front, self.cutter = load, front, fastcgi.RecordReader()
        self.out: dict[int, tuple[float, bytes]] = {}
        self._last = 0

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.load.clients.append(self)

    def ask(self) -> None:
        self._last = self._last % 60_000 + 1
        self.out[self._last] = time.monotonic(), b""
        self.load.asked += 1
        self.transport.write(asked(self._last, "clips", ttl_ms=TTL_MS))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        for record in self.cutter.feed(data):
            since, begun = self.out.get(record.request_id, (0.0, b""))
            if record.kind == fastcgi.RecordType.STDOUT and len(begun) < 16:
                self.out[record.request_id] = since, begun + record.content[:16]
            elif record.kind == fastcgi.RecordType.END:
                del self.out[record.request_id]
                self.load.answered(since, begun)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.load.clients.remove(self)
        self.load.counts["lost"] += len(self.out)
        self.load.dial(self.front)


class Load:
    """``counts``: answers by their status, and ``lost`` with a connection."""

    def __init__(self, reactor: Any, fronts: list[tuple[str, int]], rate: float) -> None:
        self.reactor, self.rate = reactor, rate
        self.clients: list[Client] = []
        self.counts, self.asked = Counter[str](), 0
        self.times: list[float] = []
        for front in fronts:
            self.dial(front)
        self._tick()

    def dial(self, front: tuple[str, int]) -> None:
        endpoint: Any = TCP4ClientEndpoint(self.reactor, *front, timeout=5)
        connecting = endpoint.connect(BuildFactory(lambda: Client(self, front)))
        connecting.addErrback(lambda _: self.reactor.callLater(AGAIN_S, self.dial, front))

    def _tick(self) -> None:
        for client in self.clients if self.rate > 0 else []:
            client.ask()
        self.reactor.callLater(1.0 / self.rate if self.rate > 0 else AGAIN_S, self._tick)

    def answered(self, since: float, begun: bytes) -> None:
        self.counts[begun[:11].decode("latin-1")] += 1
        if len(self.times) < KEPT:
            self.times.append((time.monotonic() - since) * 1000.0)

    def clear(self) -> None:
        self.times.clear()

    def figures(self) -> dict[str, Any]:
        served = self.counts["Status: 200"]
        out = sum(len(client.out) for client in self.clients)
        more = {"p50_ms": quantile(self.times, 0.5), "p99_ms": quantile(self.times, 0.99)}
        kinds = dict(self.counts)
        return (
            {"asked": self.asked, "served": served, "out": out, "connected": len(self.clients)}
            | more
            | {"kinds": kinds}
        )
