"""A loopback rig round the real core, for tests and benchmarks: shelfs that answer by script, both fronts,
and their clients.  Only loopback addresses; every loop is the caller's to bound."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import protocol
from twisted.internet import reactor as _reactor
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.task import deferLater

from fakes.clients import HttpClient as Client
from fakes.unresponsive_listener import UnresponsiveListener
from thornjunction import interface as api
from thornjunction.core.counters import Counters
from thornjunction.core.engine import Engine
from thornjunction.memory.budget import ByteBudget
from thornjunction.net.downstream.connection import DownstreamTable
from thornjunction.net.downstream.fastcgi_front import FastCgiConnection
from thornjunction.net.downstream.signed_front import SignedConnection, SignedRequestContext
from thornjunction.net.event_loop.ports import Transport
from thornjunction.net.event_loop.timer_service import TimerService, core_ms
from thornjunction.net.event_loop.transport import BuildFactory
from thornjunction.net.upstream.connection_pool import ConnectionPool, Limits
from thornjunction.net.wire.commands import Host
from thornjunction.net.wire.resp import ArrayReader, encode_array
from thornjunction.policy.router import Router
from thornjunction.signing import tokens
from thornjunction.signing.replay import ReplayWindow

reactor: Any = _reactor


@inlineCallbacks
def until(holds: Callable[[], bool]) -> Any:
    """Turn the reactor until something holds; the caller's own time limit ends it."""
    while not holds():
        yield deferLater(reactor, 0.001, lambda: None)


class ShelfStandIn(protocol.Protocol):
    """Answers each want by the rig's script: bytes of an answer's word, or None to stay silent."""

    transport: Transport  # type: ignore[assignment]

    def __init__(self, rig: Rig) -> None:
        self.rig, self.reader = rig, ArrayReader()
        self.ended: Any = None  # why, once the connection has ended
        rig.links.append(self)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.ended = reason.value

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        for verb, ident, *rest in self.reader.feed(data):
            self.rig.heard.append((verb.decode(), ident, *rest))
            if verb == b"want":
                self.rig.wanted(self, ident)

    def say(self, ident: bytes, word: bytes, body: bytes = b"") -> None:
        self.transport.write(encode_array((ident, word, b"rev=t1,since=5" if body else b"-", body)))


class Rig:
    """The real core, pool and both fronts on loopback sockets, with a scripted edge cache and origin behind:
    ``ports`` are the edge, the origin, the signed front and the platform's front.  The decisions run on the
    settings given; tokens are checked against ``trust`` at the Unix time ``now``."""

    def __init__(
        self, settings: api.Settings, classes: tuple[api.RequestClass, ...], trust: tokens.Trust, base: str
    ) -> None:
        self.trust, self.base = trust, base
        self.now = 1_000_000.0  # Unix seconds, for the tokens alone
        self.heard: list[tuple[Any, ...]] = []
        self.links: list[ShelfStandIn] = []
        self.script: list[tuple[bytes, bytes] | None] = []
        self.asked: list[tuple[ShelfStandIn, bytes]] = []
        self.waiters: list[Deferred[None]] = []
        self.doors: list[UnresponsiveListener] = []
        self.alarm = TimerService(reactor)
        limits = Limits(max_streams=4, dial_ms=400.0, idle_ms=15_000.0, connections=20)
        budget = ByteBudget(1_000_000)
        self.pool = ConnectionPool(reactor, limits, self.alarm.deadlines, core_ms, budget)
        self.counters = Counters(classes={kind.name for kind in classes})
        router = Router(settings, 7)
        deadlines = self.alarm.deadlines
        self.engine = Engine(router, settings.max_attempts, core_ms, deadlines, self.pool, self.counters)
        self.pool.ends = self.engine
        self.clients = DownstreamTable(10, budget)
        by_name = {kind.name: kind for kind in classes}
        self.door = SignedRequestContext(self.engine, by_name, base, trust, ReplayWindow(), lambda: self.now)
        self.ports = [self.listen(lambda: ShelfStandIn(self)) for _ in range(2)]
        self.ports.append(self.listen(lambda: SignedConnection(self.clients, deadlines, core_ms, self.door)))
        self.ports.append(
            self.listen(
                lambda: FastCgiConnection(
                    self.clients, deadlines, core_ms, self.engine, lambda: True, bytes, print, float
                )
            )
        )
        self.list_servers()

    def listen(self, build: Any) -> Any:
        return reactor.listenTCP(0, BuildFactory(build), interface="127.0.0.1")

    def list_servers(
        self, state: api.ServerState = api.ServerState.SERVING, **moved: tuple[str, int]
    ) -> None:
        """All of them, the edge in that state; who was moved, at the new address."""
        roles = {"edge1": api.Role.EDGE, "origin": api.Role.ORIGIN}
        hosts, entries = [], []
        for (name, role), port in zip(roles.items(), self.ports[:2], strict=True):
            address = moved.get(name, ("127.0.0.1", port.getHost().port))
            told = state if name == "edge1" else api.ServerState.SERVING
            hosts.append(Host(name, address, "here", "x", 0, told, 8.0, 0.0))
            entries.append(api.ServerEntry(name, role, "here", told, weight=8.0))
        self.pool.update(tuple(hosts), True)
        self.engine.feed(api.EndpointListUpdate(tuple(entries)))

    def deafen(self, name: str) -> UnresponsiveListener:
        """Move a server to a port at which connects hang."""
        door = UnresponsiveListener(lambda: ShelfStandIn(self))
        self.doors.append(door)
        self.list_servers(api.ServerState.SERVING, **{name: door.address})
        return door

    def later(self, ms: float) -> None:
        """What is due by then is due now, for the pool."""
        clock, self.pool.clock = self.pool.clock, lambda: core_ms() + ms
        self.alarm.deadlines.run_due(core_ms() + ms)
        self.pool.clock = clock

    @inlineCallbacks
    def part(self) -> Any:
        """End the pool's connections."""
        for link in self.pool.links:
            link.close("test")
        yield self.until(lambda: not len(self.pool.links))

    def wanted(self, link: ShelfStandIn, ident: bytes) -> None:
        self.asked.append((link, ident))
        step = self.script.pop(0) if self.script else (b"DONE", b"wave")
        if step is not None:
            link.say(ident, *step)
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            waiter.callback(None)

    def next_want(self) -> Deferred[None]:
        waiter: Deferred[None] = Deferred()
        self.waiters.append(waiter)
        return waiter

    def wants(self) -> list[tuple[Any, ...]]:
        return [heard for heard in self.heard if heard[0] == "want"]

    def client(self, front: int = 2, build: Any = Client) -> Deferred[Any]:
        port = self.ports[front].getHost().port
        endpoint: Any = TCP4ClientEndpoint(reactor, "127.0.0.1", port)
        return endpoint.connect(BuildFactory(build))  # type: ignore[no-any-return]

    def token(self, target: str, lifetime_s: int = 60, **claims: Any) -> str:
        return tokens.issue(
            self.trust, "hash:" + tokens.uri_hash(self.base + target), self.now, lifetime_s, **claims
        )

    def signed(self, target: str, **claims: Any) -> str:
        return f"{target}?URISigningPackage={self.token(target, **claims)}"

    def until(self, holds: Callable[[], bool]) -> Any:
        return until(holds)

    @inlineCallbacks
    def stop(self) -> Any:
        self.alarm.stop()
        for port in (*self.ports, *self.doors):
            yield port.stopListening()
        for link in (*self.clients, *self.clients.lingering):
            link.close("test")
        yield self.part()
        yield self.until(lambda: not self.clients.connected)
        self.alarm.stop()
