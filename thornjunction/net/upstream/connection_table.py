"""Bounds the connections to servers, including connects in progress, and evicts idle connections."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, Protocol, TypeVar

from thornjunction.memory.slots import SlotTable
from thornjunction.net.event_loop.disconnect_reasons import DisconnectReason

# The table's capacity divided by this is the maximum number of evicted connections that wait for their peers.
EVICTED_CAPACITY_DIVISOR = 8


class Evictable(Protocol):
    """The interface of a connection that the table needs."""

    slot: int | None

    def shut_down(self, reason: str) -> None:
        """Close in order, this side first, and call ``ConnectionTable.mark_closing``."""

    def abort(self, reason: str) -> None:
        """Reset the connection."""


Connection = TypeVar("Connection", bound=Evictable)


class ConnectionTable(Generic[Connection]):
    """Connections by slot; together with the connects in progress they are at most ``capacity``.

    Idle connections are kept in the order in which they became idle.  If no slot is free, the longest-idle
    one is closed in order and frees its slot; it waits without a slot for its peer to close.
    """

    def __init__(self, capacity: int) -> None:
        self._open: SlotTable[Connection] = SlotTable(capacity)
        self._reserved = 0
        self._idle: dict[Connection, None] = {}
        self._closing: dict[Connection, None] = {}  # closed by this side, with a slot
        self._evicted: dict[Connection, None] = {}  # closed by this side, without a slot
        self._max_evicted = max(capacity // EVICTED_CAPACITY_DIVISOR, 1)

    def __len__(self) -> int:
        return len(self._open) + len(self._evicted)

    def __iter__(self) -> Iterator[Connection]:
        return iter([*self._open, *self._evicted])

    @property
    def is_full(self) -> bool:
        """Whether no slot is free without an eviction."""
        return len(self._open) + self._reserved >= self._open.capacity

    def can_reserve(self) -> bool:
        """Whether a slot is free or can be freed by evicting an idle or closing connection."""
        return not self.is_full or bool(self._idle or self._closing)

    def reserve(self) -> None:
        """Reserve a slot for a connect; ``can_reserve`` must be true."""
        if self.is_full:
            self._evict(next(iter(self._closing or self._idle)))
        self._reserved += 1

    def release(self) -> None:
        """Free the reserved slot of a connect that failed or was cancelled."""
        self._reserved -= 1

    def add(self, connection: Connection) -> None:
        """Give a new connection the slot that was reserved for its connect."""
        self._reserved -= 1
        connection.slot = self._open.add(connection)  # never full, as each connect has reserved a slot

    def remove(self, connection: Connection) -> None:
        """Remove a connection that has ended, and free its slot if it has one."""
        self._idle.pop(connection, None)
        self._closing.pop(connection, None)
        self._evicted.pop(connection, None)
        if connection.slot is not None:
            self._open.remove(connection.slot)

    def mark_idle(self, connection: Connection) -> None:
        """Note that a connection became idle now."""
        self._idle.pop(connection, None)
        self._idle[connection] = None

    def mark_in_use(self, connection: Connection) -> None:
        """Note that a connection is not idle and must not be evicted."""
        self._idle.pop(connection, None)

    def mark_closing(self, connection: Connection) -> None:
        """Note that this side has closed a connection in order, which waits for its peer to close."""
        self._idle.pop(connection, None)
        self._closing[connection] = None

    def _evict(self, connection: Connection) -> None:
        """Free the slot of a connection; if too many evicted ones wait for their peers, abort the oldest."""
        if connection in self._idle:
            connection.shut_down(DisconnectReason.EVICTED)
        self._idle.pop(connection, None)
        self._closing.pop(connection, None)
        assert connection.slot is not None
        self._open.remove(connection.slot)
        self._evicted[connection] = None
        if len(self._evicted) > self._max_evicted:
            oldest = next(iter(self._evicted))
            del self._evicted[oldest]
            oldest.abort(DisconnectReason.EVICTED)
