"""The table of all client connections: its slots, eviction of idle ones and the bound on lingering ones."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice
from typing import Protocol

from thornjunction.memory.budget import ByteBudget
from thornjunction.memory.slots import SlotTable
from thornjunction.net.downstream.lingering_close import SHORT_LINGER_TIMEOUT_MS
from thornjunction.net.downstream.request_scheduler import RequestScheduler
from thornjunction.net.event_loop.disconnect_reasons import DisconnectReason

# A part of the capacity, for connections that linger beside a full table: a third of all descriptors are for
# clients, a third for servers, and this many more still leave a quarter for everything else.
LINGERING_CAPACITY_DIVISOR = 8

# Idle connections whose socket is read in search of one to evict.
MAX_EVICTION_CANDIDATES = 8


class TableConnection(Protocol):
    """A client connection as the table and its users see it."""

    @property
    def slot(self) -> int | None:
        """Its number in the table; None where it has no slot."""

    def has_open_request(self) -> bool:
        """Whether a request of this connection is owed its response."""

    def handle_pending_input(self) -> None:
        """Read and handle what has arrived since the event loop last read."""

    def close_if_idle(self) -> None:
        """End the connection if nothing is in progress on it."""

    def close_lingering(self, reason: str, timeout_ms: float = ...) -> None:
        """Shut the sending side, and wait until the client closes its side."""

    def abort(self, reason: str) -> None:
        """Cut the connection off."""


class DownstreamTable:
    """The connections of all fronts in numbered slots; a full table evicts the one that is idle longest.

    Attributes:
        budget: bounds the bytes that all connections buffer.
        lingering: connections without a slot that wait for their clients to close, the longest wait first.
        scheduler: shares the core's time between the connections.
    """

    def __init__(self, capacity: int, budget: ByteBudget) -> None:
        self.budget = budget
        self.lingering: dict[TableConnection, None] = {}
        self.scheduler = RequestScheduler()
        self._slots: SlotTable[TableConnection] = SlotTable(capacity)
        # Without an open request, the one that is idle longest first.
        self._idle: dict[TableConnection, None] = {}

    def __len__(self) -> int:
        return len(self._slots)

    def __iter__(self) -> Iterator[TableConnection]:
        return iter(self._slots)

    @property
    def connection_count(self) -> int:
        """Connections with a slot, and lingering ones."""
        return len(self._slots) + len(self.lingering)

    def add(self, connection: TableConnection) -> int | None:
        """Put a connection into a slot and return its number; None where all have an open request."""
        if self._slots.full:
            self._evict_idle()
        if self._slots.full:
            return None
        number = self._slots.add(connection)
        self._idle[connection] = None
        self._bound_lingering()
        return number

    def _evict_idle(self) -> None:
        """End the connection that is idle longest.

        Guards against clients that send one request and keep their connection open: new clients found no
        slot.  A request that arrived but is not read yet, as after a long turn of the event loop, makes its
        connection busy.
        """
        for connection in list(islice(self._idle, MAX_EVICTION_CANDIDATES)):
            connection.handle_pending_input()
            if not connection.has_open_request():
                connection.close_lingering(DisconnectReason.EVICTED, SHORT_LINGER_TIMEOUT_MS)
                return

    def move_to_lingering(self, connection: TableConnection) -> None:
        """Free the slot of a connection that only waits for its client to close."""
        self.remove(connection)
        self.lingering[connection] = None
        self._bound_lingering()

    def _bound_lingering(self) -> None:
        """Guards the descriptors against clients that never close: the longest lingering one is cut off."""
        capacity = self._slots.capacity
        max_connections = capacity + max(capacity // LINGERING_CAPACITY_DIVISOR, 1)
        while self.lingering and self.connection_count > max_connections:
            longest = next(iter(self.lingering))
            del self.lingering[longest]
            longest.abort(DisconnectReason.LINGER_EVICTED)

    def update_idle(self, connection: TableConnection, has_open_request: bool) -> None:
        """After progress on a connection: it becomes the last candidate for eviction, or none."""
        self._idle.pop(connection, None)
        if not has_open_request and connection.slot is not None:
            self._idle[connection] = None

    def remove(self, connection: TableConnection) -> None:
        """Forget a connection."""
        self._idle.pop(connection, None)
        self.lingering.pop(connection, None)
        if connection.slot is not None:
            self._slots.remove(connection.slot)
