"""The bound on connections to servers: open ones and connects under way, and eviction of idle ones."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, Protocol, TypeVar

from thornjunction.memory.slots import SlotTable
from thornjunction.net.event_loop.disconnect_reasons import DisconnectReason

# Evicted connections that wait for their peer's close: at most the capacity over this.
EVICTED_DIVISOR = 8


class Evictable(Protocol):
    """A connection as the table knows it."""

    slot: int | None

    def shut_down(self, reason: str) -> None:
        """Close in order, our side first; it reports itself by ``ConnectionTable.mark_closing``."""

    def abort(self, reason: str) -> None:
        """Reset the connection."""


Connection = TypeVar("Connection", bound=Evictable)


class ConnectionTable(Generic[Connection]):
    """Connections by slot, at most ``capacity`` together with the connects under way.

    Idle connections are kept in the order in which they became idle.  Where no slot is free, the one that has
    been idle longest is closed in order and frees its slot: it waits for its peer outside the table.
    """

    def __init__(self, capacity: int) -> None:
        self._open: SlotTable[Connection] = SlotTable(capacity)
        self._reserved = 0
        self._idle: dict[Connection, None] = {}
        self._closing: dict[Connection, None] = {}  # closed by this side, still in their slots
        self._evicted: dict[Connection, None] = {}  # closed by this side, outside the table
        self._max_evicted = max(capacity // EVICTED_DIVISOR, 1)

    def __len__(self) -> int:
        return len(self._open) + len(self._evicted)

    def __iter__(self) -> Iterator[Connection]:
        return iter([*self._open, *self._evicted])

    @property
    def is_full(self) -> bool:
        """Whether no slot is free without an eviction."""
        return len(self._open) + self._reserved >= self._open.capacity

    def can_reserve(self) -> bool:
        """Whether a slot is free, or an idle connection can free its own."""
        return not self.is_full or bool(self._idle or self._closing)

    def reserve(self) -> None:
        """Take a slot for a connect, where ``can_reserve`` holds."""
        if self.is_full:
            self._evict(next(iter(self._closing or self._idle)))
        self._reserved += 1

    def release(self) -> None:
        """Free the slot of a connect that failed or was cancelled."""
        self._reserved -= 1

    def add(self, connection: Connection) -> None:
        """Give a new connection the slot that was reserved for its connect."""
        self._reserved -= 1
        connection.slot = self._open.add(connection)  # never full: each connect holds a slot

    def remove(self, connection: Connection) -> None:
        """Free the slot of a connection that has ended."""
        self._idle.pop(connection, None)
        self._closing.pop(connection, None)
        self._evicted.pop(connection, None)
        if connection.slot is not None:
            self._open.remove(connection.slot)

    def mark_idle(self, connection: Connection) -> None:
        """Note that a connection has no stream in flight since now."""
        self._idle.pop(connection, None)
        self._idle[connection] = None

    def mark_in_use(self, connection: Connection) -> None:
        """Note that a connection must not be evicted as an idle one."""
        self._idle.pop(connection, None)

    def mark_closing(self, connection: Connection) -> None:
        """Note that a connection was closed in order and waits for its peer."""
        self._idle.pop(connection, None)
        self._closing[connection] = None

    def _evict(self, connection: Connection) -> None:
        """Move a connection out of the table; past the bound there, abort the one that has waited longest."""
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
