"""The bound on connections to servers: open ones and dials under way, and the idle ones that give way."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, Protocol, TypeVar

from thornjunction.memory.slots import SlotTable

EVICTED_SHARE = 8  # evicted connections that wait for their peer's close: capacity over this, at most


class Evictable(Protocol):
    """A connection as the table knows it."""

    slot: int | None

    def finish(self, code: str) -> None:
        """Close in order, our side first; reports itself by ``ConnectionTable.closing``."""

    def close(self, code: str) -> None:
        """Reset."""


Connection = TypeVar("Connection", bound=Evictable)


class ConnectionTable(Generic[Connection]):
    """Connections by number, at most ``capacity`` together with the dials under way.

    Idle connections are kept in the order in which they became idle.  Where no place is free, the one that
    is idle longest is closed in order and gives up its place: it waits for its peer outside the table."""

    def __init__(self, capacity: int) -> None:
        self._open: SlotTable[Connection] = SlotTable(capacity)
        self._dials = 0
        self._idle: dict[Connection, None] = {}
        self._closing: dict[Connection, None] = {}  # closed by us, still in their place
        self._evicted: dict[Connection, None] = {}  # closed by us, outside the table
        self._most_evicted = max(capacity // EVICTED_SHARE, 1)

    def __len__(self) -> int:
        return len(self._open) + len(self._evicted)

    def __iter__(self) -> Iterator[Connection]:
        return iter([*self._open, *self._evicted])

    @property
    def full(self) -> bool:
        """No place is free as things stand."""
        return len(self._open) + self._dials >= self._open.capacity

    def can_reserve(self) -> bool:
        """A place is free, or an idle connection can give up its own."""
        return not self.full or bool(self._idle or self._closing)

    def reserve(self) -> None:
        """Take a place for a dial; the caller has asked ``can_reserve``."""
        if self.full:
            self._evict(next(iter(self._closing or self._idle)))
        self._dials += 1

    def release(self) -> None:
        """The dial failed: its place is free."""
        self._dials -= 1

    def add(self, connection: Connection) -> None:
        """The dial came up: the connection has its place from now on."""
        self._dials -= 1
        connection.slot = self._open.add(connection)  # never full: each dial holds a place

    def remove(self, connection: Connection) -> None:
        """The connection has ended."""
        for group in (self._idle, self._closing, self._evicted):
            group.pop(connection, None)
        if connection.slot is not None:
            self._open.remove(connection.slot)

    def rested(self, connection: Connection) -> None:
        """Nothing is out on it any more, since now."""
        self._idle.pop(connection, None)
        self._idle[connection] = None

    def used(self, connection: Connection) -> None:
        """It is idle no longer."""
        self._idle.pop(connection, None)

    def closing(self, connection: Connection) -> None:
        """It was closed in order, and waits for its peer."""
        self._idle.pop(connection, None)
        self._closing[connection] = None

    def _evict(self, connection: Connection) -> None:
        """Move it out of the table.  Who has waited longest there for its peer is reset past the bound."""
        if connection in self._idle:
            connection.finish("evicted")
        for group in (self._idle, self._closing):
            group.pop(connection, None)
        assert connection.slot is not None
        self._open.remove(connection.slot)
        self._evicted[connection] = None
        if len(self._evicted) > self._most_evicted:
            longest = next(iter(self._evicted))
            del self._evicted[longest]
            longest.close("evicted")
