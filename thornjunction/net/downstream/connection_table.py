"""The table of all client connections: its slots, eviction of idle ones and the bound on lingering ones."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain, islice
from typing import Protocol

from thornjunction.memory.budget import ByteBudget
from thornjunction.memory.slots import SlotTable
from thornjunction.net.downstream.lingering_close import SHORT_LINGER_TIMEOUT_MS
from thornjunction.net.downstream.overhead import OverheadMeter
from thornjunction.net.downstream.request_scheduler import RequestScheduler
from thornjunction.net.event_loop.disconnect_reasons import DisconnectReason

# A full table's capacity divided by this is the number of further connections that may linger.  A third of
# all descriptors are for clients, a third for servers, and this share still leaves a quarter for other uses.
LINGERING_CAPACITY_DIVISOR = 8

# Idle connections whose sockets are read to find one without an unread request, which can be evicted.
MAX_EVICTION_CANDIDATES = 8


class TableConnection(Protocol):
    """The interface of a client connection that the table and its users need."""

    @property
    def slot(self) -> int | None:
        """Its number in the table; None if it has no slot."""

    def has_open_request(self) -> bool:
        """Whether a request on this connection has no response yet."""

    def has_unread_responses(self) -> bool:
        """Whether the client has not received all responses, or one may still be written."""

    def unsent_bytes(self) -> int:
        """Return the number of bytes of responses that the system has not accepted yet."""

    def handle_pending_input(self) -> None:
        """Read and handle the bytes that arrived since the event loop last read."""

    def close_if_idle(self) -> None:
        """Close the connection if no request is open or partly received."""

    def close_lingering(self, reason: str, timeout_ms: float = ...) -> None:
        """Shut down the sending side, and wait until the client closes its side."""

    def abort(self, reason: str) -> None:
        """Reset the connection."""


class DownstreamTable:
    """The connections of all fronts in numbered slots; a full table evicts the longest-idle connection.

    Attributes:
        budget: bounds the bytes that all connections together buffer.
        lingering: connections without a slot that wait for their clients to close, longest wait first.
        overhead_meter: bounds the processor time of all connections without requests that reach the core.
        scheduler: divides the core's time among the connections.
    """

    def __init__(self, capacity: int, budget: ByteBudget, overhead_meter: OverheadMeter) -> None:
        self.budget = budget
        self.overhead_meter = overhead_meter
        self.lingering: dict[TableConnection, None] = {}
        self.scheduler = RequestScheduler()
        self._slots: SlotTable[TableConnection] = SlotTable(capacity)
        # Connections without an open request, longest idle first.
        self._idle: dict[TableConnection, None] = {}

    def __len__(self) -> int:
        return len(self._slots)

    def __iter__(self) -> Iterator[TableConnection]:
        return iter(self._slots)

    @property
    def connection_count(self) -> int:
        """The number of connections, with a slot or lingering."""
        return len(self._slots) + len(self.lingering)

    def has_unsent_responses(self) -> bool:
        """Whether the system has not accepted all responses of a connection, with a slot or lingering."""
        return any(connection.unsent_bytes() for connection in chain(self._slots, self.lingering))

    def add(self, connection: TableConnection) -> int | None:
        """Put a connection into a slot and return the slot's number; None if no slot can be freed."""
        if self._slots.full:
            self._evict_idle()
        if self._slots.full:
            return None
        number = self._slots.add(connection)
        self._idle[connection] = None
        self._bound_lingering()
        return number

    def _evict_idle(self) -> None:
        """Close the longest-idle connection.

        Guards against clients that send one request and keep their connections open, which left no slots for
        new clients.  A connection with an unread request, as after a long event-loop iteration, is not idle.
        """
        for connection in list(islice(self._idle, MAX_EVICTION_CANDIDATES)):
            connection.handle_pending_input()
            if not connection.has_open_request():
                connection.close_lingering(DisconnectReason.EVICTED, SHORT_LINGER_TIMEOUT_MS)
                return

    def move_to_lingering(self, connection: TableConnection) -> None:
        """Free the slot of a connection that only waits for its client to close its side."""
        self.remove(connection)
        self.lingering[connection] = None
        self._bound_lingering()

    def _bound_lingering(self) -> None:
        """Reset the longest-lingering connections over the bound.

        Guards against clients that never close and would use up the descriptors.  Clients that have read all
        responses come first.
        """
        capacity = self._slots.capacity
        max_connections = capacity + max(capacity // LINGERING_CAPACITY_DIVISOR, 1)
        while self.lingering and self.connection_count > max_connections:
            evicted = self._longest_lingering()
            del self.lingering[evicted]
            evicted.abort(DisconnectReason.LINGER_EVICTED)

    def _longest_lingering(self) -> TableConnection:
        for connection in islice(self.lingering, MAX_EVICTION_CANDIDATES):
            if not connection.has_unread_responses():
                return connection
        return next(iter(self.lingering))

    def update_idle(self, connection: TableConnection, has_open_request: bool) -> None:
        """After progress on a connection, make it the last candidate for eviction, or none if it is busy."""
        self._idle.pop(connection, None)
        if not has_open_request and connection.slot is not None:
            self._idle[connection] = None

    def remove(self, connection: TableConnection) -> None:
        """Remove a connection, and free its slot if it has one."""
        self._idle.pop(connection, None)
        self.lingering.pop(connection, None)
        if connection.slot is not None:
            self._slots.remove(connection.slot)
