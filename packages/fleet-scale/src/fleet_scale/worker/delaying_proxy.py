"""TCP proxies between pollers and sources, which delay bytes, block directions, and reset connections.

Bytes of a blocked direction stay in the kernel's socket buffers, so that neither end sees an error, as on a
network with total packet loss; unblocking delivers them.  A connection that was opened while a direction was
blocked is never established: unblocking resets it.  If one end
closes while a direction is blocked, the other end sees it once nothing is blocked.
"""

from __future__ import annotations

from collections import deque
from enum import Enum, auto
from typing import Any

from twisted.internet import protocol
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer  # type: ignore[import-untyped]

from fleet_scale.messages import Direction, ProxyCounters
from thornjunction.net.event_loop.ports import Reactor, Transport
from thornjunction.net.event_loop.transport import BuildFactory
from thornjunction.runtime.addresses import Address

# Delayed bytes of one direction of one connection above which its reads pause.
MAX_DELAYED_BYTES = 1_000_000
# Limit on the connections through one proxy.
MAX_CONNECTIONS = 8192
# Connections that the kernel queues until the process accepts them.
LISTEN_BACKLOG = 2048
CONNECT_TIMEOUT_S = 5


class PauseReason(Enum):
    """Why reads on one side of a connection are paused."""

    DIRECTION_BLOCKED = auto()
    OTHER_SIDE_FULL = auto()
    DELAY_BUFFER_FULL = auto()
    NOT_CONNECTED = auto()


@implementer(IPushProducer)
class ProxySide(protocol.Protocol):
    """One of the two sides of a proxied connection; the bytes that it reads are written to the other side."""

    transport: Transport  # type: ignore[assignment]

    def __init__(self, connection: ProxiedConnection) -> None:
        self.is_closed = False
        self._connection = connection
        self._pause_reasons: set[PauseReason] = set()
        self._delayed: deque[bytes] = deque()
        self._delayed_bytes = 0

    def connectionMade(self) -> None:  # noqa: N802
        """Register with the proxied connection."""
        self.transport.setTcpNoDelay(True)
        self._connection.side_connected(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forward the bytes after the proxy's delay."""
        proxy = self._connection.proxy
        proxy.counters.bytes_forwarded += len(data)
        if not proxy.delay_ms and not self._delayed:
            self._forward(data)
            return
        self._delayed.append(data)
        self._delayed_bytes += len(data)
        self._check_delay_buffer()
        proxy.reactor.callLater(proxy.delay_ms / 1000.0, self._forward_delayed)

    def _forward_delayed(self) -> None:
        data = self._delayed.popleft()
        self._delayed_bytes -= len(data)
        self._forward(data)
        self._check_delay_buffer()

    def _check_delay_buffer(self) -> None:
        self.set_paused(PauseReason.DELAY_BUFFER_FULL, self._delayed_bytes > MAX_DELAYED_BYTES)

    def _forward(self, data: bytes) -> None:
        other = self._connection.other_side(self)
        if other is not None and not other.is_closed:
            other.transport.write(data)

    def set_paused(self, reason: PauseReason, is_paused: bool) -> None:
        """Add or remove a reason to pause reads; the side is read while there is none."""
        was_paused = bool(self._pause_reasons)
        if is_paused:
            self._pause_reasons.add(reason)
        else:
            self._pause_reasons.discard(reason)
        if bool(self._pause_reasons) is was_paused or self.is_closed:
            return
        if self._pause_reasons:
            self.transport.pauseProducing()
        else:
            self.transport.resumeProducing()

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause reads: the write buffer of the other side is full."""
        self.set_paused(PauseReason.OTHER_SIDE_FULL, True)

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume reads: the write buffer of the other side has room."""
        self.set_paused(PauseReason.OTHER_SIDE_FULL, False)

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: ``connectionLost`` of the other side closes this one."""

    def connectionLost(self, reason: object = None) -> None:  # noqa: ARG002, N802
        """Close the other side as well, unless a direction is blocked."""
        self.is_closed = True
        self._connection.close_if_side_closed()


class ProxiedConnection:
    """An accepted client connection and the corresponding connection to the target."""

    def __init__(self, proxy: DelayingProxy) -> None:
        self.proxy = proxy
        self.client_side = ProxySide(self)
        self._target_side: ProxySide | None = None
        self._connecting: Deferred[Any] | None = None

    def _sides(self) -> list[ProxySide]:
        sides = (self.client_side, self._target_side)
        return [side for side in sides if side is not None]

    def other_side(self, side: ProxySide) -> ProxySide | None:
        """The opposite side, or None before the target is connected."""
        return self._target_side if side is self.client_side else self.client_side

    def side_connected(self, side: ProxySide) -> None:
        """Connect to the target for a new client side; start reads on both sides for a new target side."""
        if side is self.client_side:
            self.proxy.connections.add(self)
            side.set_paused(PauseReason.NOT_CONNECTED, True)
            if not self.proxy.blocked:
                self._connect()
            return
        self._target_side = side
        side.transport.registerProducer(self.client_side, True)
        self.client_side.transport.registerProducer(side, True)
        self.client_side.set_paused(PauseReason.NOT_CONNECTED, False)
        self.apply_block()

    def _connect(self) -> None:
        target = self.proxy.target
        endpoint: Any = TCP4ClientEndpoint(
            self.proxy.reactor, target.host, target.port, timeout=CONNECT_TIMEOUT_S
        )
        connecting: Deferred[Any] = endpoint.connect(BuildFactory(lambda: ProxySide(self)))
        self._connecting = connecting
        connecting.addErrback(lambda _: self.reset())

    def apply_block(self) -> None:
        """Pause reads on each side whose direction is blocked, and resume the others."""
        blocked = self.proxy.blocked
        self.client_side.set_paused(PauseReason.DIRECTION_BLOCKED, Direction.FORWARD in blocked)
        if self._target_side is not None:
            self._target_side.set_paused(PauseReason.DIRECTION_BLOCKED, Direction.BACKWARD in blocked)

    def unblock(self) -> None:
        """Resume reads on both sides; reset the connection if it was opened while the proxy blocked."""
        if self._target_side is None and self._connecting is None:
            self.reset()
            return
        self.apply_block()
        self.close_if_side_closed()

    def close_if_side_closed(self) -> None:
        """Close the open side if the other one is closed and no direction is blocked."""
        sides = self._sides()
        open_sides = [side for side in sides if not side.is_closed]
        if len(open_sides) == len(sides):
            return
        if open_sides and self.proxy.blocked:
            return
        self.proxy.connections.discard(self)
        for side in open_sides:
            side.transport.loseConnection()

    def reset(self) -> None:
        """Reset both sides."""
        for side in self._sides():
            if not side.is_closed:
                side.transport.abortConnection()


class DelayingProxy:
    """A listening port that forwards to a target; ``delay_ms`` is the one-way delay."""

    def __init__(self, reactor: Reactor, target: Address, delay_ms: float, counters: ProxyCounters) -> None:
        self.reactor = reactor
        self.target = target
        self.delay_ms = delay_ms
        self.counters = counters
        self.blocked: frozenset[Direction] = frozenset()
        self.connections: set[ProxiedConnection] = set()
        self.port = 0

    def listen(self) -> None:
        """Accept connections on a free loopback port."""
        accept: Any = self._accept  # returns None to refuse, which the factory's type does not allow
        listening = self.reactor.listenTCP(
            0, BuildFactory(accept), backlog=LISTEN_BACKLOG, interface="127.0.0.1"
        )
        self.port = int(listening.getHost().port)

    def _accept(self) -> ProxySide | None:
        if len(self.connections) >= MAX_CONNECTIONS:
            return None
        self.counters.connections += 1
        return ProxiedConnection(self).client_side

    def block(self, directions: frozenset[Direction]) -> None:
        """Block these directions and unblock the others."""
        is_unblocked = bool(self.blocked) and not directions
        self.blocked = directions
        for connection in list(self.connections):
            if is_unblocked:
                connection.unblock()
            else:
                connection.apply_block()

    def reset_connections(self) -> None:
        """Reset all connections."""
        for connection in list(self.connections):
            connection.reset()
