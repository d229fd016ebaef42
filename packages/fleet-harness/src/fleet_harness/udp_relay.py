"""A UDP relay between the routers, with faults on each link.

Each router has one public address, which the relay binds.  A datagram to it passes the link from its sender,
which may drop, delay, duplicate or reorder it.  The receiver sees the sender's public address as the
source, so that no router learns the address on which another router's process listens.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any, cast

from fleet_sim import LinkQuality
from sansio_core import Address
from twisted.internet import protocol

# Upper bound on the stored datagrams of unknown sources: a router logs its port only after it has sent its
# first datagrams.
MAX_UNATTRIBUTED = 64

# Upper bound on the last datagrams of each link that are kept for a replay.
MAX_REPLAYABLE = 64

# The quality of a link unless a scenario changes it: nothing is lost or delayed.
PERFECT_QUALITY = LinkQuality(min_delay_ms=0.0, max_delay_ms=0.0)


@dataclass(slots=True)
class RelayedLink:
    """One direction between two routers; ``sent`` has the last datagrams, including dropped ones."""

    cut: bool = False
    quality: LinkQuality = PERFECT_QUALITY
    sent: deque[bytes] = field(default_factory=lambda: deque(maxlen=MAX_REPLAYABLE))


@dataclass(slots=True)
class RelayCounters:
    """Counts of datagrams that were forwarded, dropped by a fault, or not accepted by the socket."""

    forwarded: int = 0
    dropped: int = 0
    send_failures: int = 0


@dataclass(frozen=True, slots=True)
class UnattributedDatagram:
    """A datagram from an address that is not yet known to belong to a router."""

    source: Address
    target: str
    data: bytes


class PublicSocket(protocol.DatagramProtocol):
    """The socket at the public address of one router."""

    def __init__(self, relay: UdpRelay, name: str) -> None:
        self._relay = relay
        self._name = name

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Relay a datagram to this router (called by Twisted)."""
        self._relay.route(addr, self._name, datagram)

    def send(self, datagram: bytes, destination: Address) -> None:
        """Send from the public address; a send error is counted and the datagram is lost."""
        try:
            cast(Any, self.transport).write(datagram, destination)
        except OSError:
            self._relay.counters.send_failures += 1


class UdpRelay:
    """The public sockets by router, and the links between the routers.

    ``router_addresses`` are the addresses on which the running routers listen; ``on_forwarded`` is called
    after each datagram that was forwarded.
    """

    def __init__(self, reactor: Any, seed: int) -> None:
        self.public_sockets: dict[str, PublicSocket] = {}
        self.public_addresses: dict[str, Address] = {}
        self.router_addresses: dict[str, Address] = {}
        self.links: dict[tuple[str, str], RelayedLink] = {}
        self.counters = RelayCounters()
        self.on_forwarded: Callable[[], None] | None = None
        self._reactor = reactor
        self._random = Random(seed)
        self._ports: list[Any] = []
        self._unattributed: deque[UnattributedDatagram] = deque(maxlen=MAX_UNATTRIBUTED)

    def add_router(self, name: str) -> None:
        """Bind a public address for a router on a free port, and add its links to all others."""
        public_socket = PublicSocket(self, name)
        port = self._reactor.listenUDP(0, public_socket, interface="127.0.0.1")
        for other in self.public_sockets:
            self.links[name, other] = RelayedLink()
            self.links[other, name] = RelayedLink()
        self.public_sockets[name] = public_socket
        self.public_addresses[name] = ("127.0.0.1", port.getHost().port)
        self._ports.append(port)

    def set_router_address(self, name: str, address: Address) -> None:
        """Set the address of a router's process, and relay the datagrams that it has sent before."""
        self.router_addresses[name] = address
        unattributed = list(self._unattributed)
        self._unattributed.clear()
        for datagram in unattributed:
            self.route(datagram.source, datagram.target, datagram.data)

    def remove_router_address(self, name: str) -> None:
        """Remove the address of a process that has ended; datagrams to it are discarded from now on."""
        self.router_addresses.pop(name, None)

    def route(self, source: Address, target: str, data: bytes) -> None:
        """Relay a datagram that arrived at a router's public address."""
        sender = self._router_at(source)
        if sender is None:
            self._unattributed.append(UnattributedDatagram(source, target, data))
        elif sender != target:
            self._transmit(sender, target, data)

    def reset_quality(self) -> None:
        """Set the quality of all links to ``PERFECT_QUALITY``; cut links stay cut."""
        for link in self.links.values():
            link.quality = PERFECT_QUALITY

    def replay(self, source: str, target: str, count: int) -> None:
        """Send the last ``count`` datagrams of a link again, unchanged; at most ``MAX_REPLAYABLE``."""
        for data in list(self.links[source, target].sent)[-count:]:
            self._forward(source, target, data)

    async def stop(self) -> None:
        """Close all sockets."""
        ports = self._ports
        self._ports = []
        for port in ports:
            await port.stopListening()

    def _router_at(self, address: Address) -> str | None:
        for name, router_address in self.router_addresses.items():
            if router_address == address:
                return name
        return None

    def _transmit(self, source: str, target: str, data: bytes) -> None:
        """Apply the faults of a link to one datagram, and forward it unless it is dropped."""
        link = self.links[source, target]
        link.sent.append(data)
        if link.cut or self._random.random() < link.quality.loss:
            self.counters.dropped += 1
            return
        copies = 2 if self._random.random() < link.quality.duplicated else 1
        for _ in range(copies):
            delay_ms = self._draw_delay_ms(link.quality)
            if delay_ms:
                self._reactor.callLater(delay_ms / 1000.0, self._forward, source, target, data)
            else:
                self._forward(source, target, data)

    def _draw_delay_ms(self, quality: LinkQuality) -> float:
        span_ms = quality.max_delay_ms - quality.min_delay_ms
        delay_ms = quality.min_delay_ms + self._random.random() * span_ms
        if self._random.random() < quality.reordered:
            delay_ms += self._random.random() * quality.reorder_delay_ms
        return delay_ms

    def _forward(self, source: str, target: str, data: bytes) -> None:
        if target not in self.router_addresses:
            return
        self.counters.forwarded += 1
        self.public_sockets[source].send(data, self.router_addresses[target])
        if self.on_forwarded is not None:
            self.on_forwarded()
