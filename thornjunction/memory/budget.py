"""The byte budget of all connections: for incomplete messages, and for answers that clients have not read."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

# Logged reason of an evicted connection's end, as the operators' pages name it.
EVICTION_REASON = "memory"

Evict = Callable[[str], None]
Measure = Callable[[], int]


class Reservation(NamedTuple):
    """The bytes of one connection.

    Attributes:
        size_bytes: the number of bytes that it buffered when it was last asked.
        measure: returns how many it buffers now; None if it reports each change.
    """

    size_bytes: int
    measure: Measure | None = None


class ByteBudget:
    """Bytes that each connection reserves; a connection is identified by the callback that closes it.

    While the sum is above the limit, the connection with the greatest reservation is evicted.  So a peer
    that sends without end, or does not read its responses, cannot exhaust the budget of the others.  Before
    that, connections whose bytes may have been sent meanwhile are measured again.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0
        self._reserved_by: dict[Evict, Reservation] = {}

    def reserve(self, evict: Evict, size_bytes: int, measure: Measure | None = None) -> None:
        """Replace a connection's reservation; 0 releases it.

        May call ``evict`` of this or of other connections, with the reason for the log.

        Args:
            evict: closes the connection, and identifies it.
            size_bytes: the number of bytes that it buffers.
            measure: returns that number at a later time, if it may fall without a call of this method.
        """
        self._replace(evict, Reservation(size_bytes, measure))
        if self.reserved_bytes > self.limit_bytes:
            self._measure_again()
        while self.reserved_bytes > self.limit_bytes and self._reserved_by:
            evict_largest = max(self._reserved_by, key=self._size_bytes)
            self._release(evict_largest)
            evict_largest(EVICTION_REASON)

    def _measure_again(self) -> None:
        for evict, reservation in list(self._reserved_by.items()):
            if reservation.measure is not None:
                self._replace(evict, Reservation(reservation.measure(), reservation.measure))

    def _replace(self, evict: Evict, reservation: Reservation) -> None:
        self._release(evict)
        if reservation.size_bytes:
            self._reserved_by[evict] = reservation
            self.reserved_bytes += reservation.size_bytes

    def _size_bytes(self, evict: Evict) -> int:
        return self._reserved_by[evict].size_bytes

    def _release(self, evict: Evict) -> None:
        reservation = self._reserved_by.pop(evict, None)
        if reservation is not None:
            self.reserved_bytes -= reservation.size_bytes
