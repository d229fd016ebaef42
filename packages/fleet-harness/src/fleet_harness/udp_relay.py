"""All traffic between the routers: each has one public address, held by the relay, and every datagram to it
passes the link from its sender, which may drop, delay, double, reorder or cut it.  The receiver sees the
sender's public address as the source, so that no router ever learns another's real one."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any, cast

from fleet_sim import LinkQuality
from twisted.internet import protocol

Address = tuple[str, int]
MAX_HELD, MAX_KEPT = 64, 64  # datagrams of senders not yet known; of each link, for replays
CLEAR = LinkQuality(min_delay_ms=0.0, max_delay_ms=0.0)


@dataclass(slots=True)
class Link:
    """One direction between two routers; one that is not cut carries by its quality."""

    cut: bool = False
    quality: LinkQuality = CLEAR
    kept: deque[bytes] = field(default_factory=lambda: deque(maxlen=MAX_KEPT))


class Gate(protocol.DatagramProtocol):
    """The public address of one router."""

    def __init__(self, relay: Relay, name: str) -> None:
        self.relay, self.name = relay, name

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        self.relay.arrived(addr, self.name, datagram)

    def send(self, datagram: bytes, to: Address) -> None:
        """From the public address; a full buffer is one more loss."""
        try:
            cast(Any, self.transport).write(datagram, to)
        except OSError:
            self.relay.counts["unsent"] += 1


class Relay:
    """The gates by name and the links between them.  ``counts``: ``passed``, ``dropped``, ``unsent``."""

    def __init__(self, reactor: Any, seed: int) -> None:
        self.reactor, self.random = reactor, Random(seed)
        self.gates: dict[str, Gate] = {}
        self.ports: list[Any] = []
        self.public: dict[str, Address] = {}
        self.real: dict[str, Address] = {}
        self.links: dict[tuple[str, str], Link] = {}
        self.held: deque[tuple[Address, str, bytes]] = deque(maxlen=MAX_HELD)
        self.counts = Counter[str]()
        self.on_pass: Callable[[], None] | None = None  # called with each datagram that passed

    def add(self, name: str) -> None:
        """A public address for a router, on a free port, and links from and to all others."""
        gate = Gate(self, name)
        port = self.reactor.listenUDP(0, gate, interface="127.0.0.1")
        for other in self.gates:
            self.links[name, other], self.links[other, name] = Link(), Link()
        self.gates[name], self.public[name] = gate, ("127.0.0.1", port.getHost().port)
        self.ports.append(port)

    def register(self, name: str, real: Address) -> None:
        """Where a router's life really listens; what came from there too early passes now."""
        self.real[name] = real
        held, self.held = self.held, deque(maxlen=MAX_HELD)
        for source, to, datagram in held:
            self.arrived(source, to, datagram)

    def arrived(self, source: Address, to: str, datagram: bytes) -> None:
        name = next((name for name, real in self.real.items() if real == source), None)
        if name is None:
            self.held.append((source, to, datagram))
        elif name != to:
            self._pass(name, to, datagram)

    def _pass(self, name: str, to: str, datagram: bytes) -> None:
        link, draw = self.links[name, to], self.random.random
        quality = link.quality
        link.kept.append(datagram)
        if link.cut or draw() < quality.loss:
            self.counts["dropped"] += 1
            return
        for _ in range(1 + (draw() < quality.duplicated)):
            wait_ms = quality.min_delay_ms + draw() * (quality.max_delay_ms - quality.min_delay_ms)
            wait_ms += draw() * quality.reorder_delay_ms if draw() < quality.reordered else 0.0
            if wait_ms:
                self.reactor.callLater(wait_ms / 1000.0, self._deliver, name, to, datagram)
            else:
                self._deliver(name, to, datagram)

    def _deliver(self, name: str, to: str, datagram: bytes) -> None:
        if to in self.real:
            self.counts["passed"] += 1
            self.gates[name].send(datagram, self.real[to])
            if self.on_pass is not None:
                self.on_pass()

    def clear(self) -> None:
        """All links carry as they did at first; those that are cut stay so."""
        for link in self.links.values():
            link.quality = CLEAR

    def replay(self, name: str, to: str, count: int) -> None:
        """Send again, unchanged, the last so many datagrams of a link (MAX_KEPT at most)."""
        for datagram in list(self.links[name, to].kept)[-count:]:
            self._deliver(name, to, datagram)

    async def stop(self) -> None:
        ports, self.ports = self.ports, []
        for port in ports:
            await port.stopListening()
