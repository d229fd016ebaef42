"""The byte budget of all connections: for incomplete messages, open requests and responses not yet sent."""

from __future__ import annotations

from collections.abc import Callable
from itertools import islice

# Logged reason of an evicted connection's end, as the operators' pages name it.
EVICTION_REASON = "memory"

# Share of the limit for open requests and unsent responses, whoever holds them.
HELD_SHARE = 0.5

# Share of the limit up to which a connection below its fair share may hold more of them.
MAX_HELD_SHARE = 0.75

# Connections that are measured again in one call.
MAX_MEASUREMENTS = 16

Evict = Callable[[str], None]
Measure = Callable[[], int]


class ByteBudget:
    """Bytes that each connection buffers, of incomplete messages, open requests and unsent responses.

    A connection that buffers an incomplete message can be evicted: while the sum is above the limit, the one
    with the largest message is.  So a peer that sends without end cannot exhaust the budget of the others.

    Open requests and unsent responses are held: they are never evicted, because the requests would be lost.
    Instead the owner of a connection asks before it takes a request or adds a response, and refuses the one
    and shortens the other if there is no room.  So clients that send large requests or read slowly leave
    room for incomplete messages and for other clients.

    Args:
        limit_bytes: greatest sum of all bytes.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self._incomplete_bytes = 0
        self._incomplete_by: dict[Evict, int] = {}
        self._held_bytes = 0
        # The connections that were measured last come last.
        self._held_by: dict[Measure, int] = {}

    @property
    def reserved_bytes(self) -> int:
        """The sum of all bytes, by their last measurements."""
        return self._incomplete_bytes + self._held_bytes

    def reserve(self, evict: Evict, size_bytes: int) -> None:
        """Replace the size of a connection's incomplete message; 0 releases it.

        May call ``evict`` of this or of other connections, with the reason for the log.

        Args:
            evict: closes the connection, and identifies it.
            size_bytes: the number of bytes that it buffers.
        """
        self._release(evict)
        if size_bytes:
            self._incomplete_by[evict] = size_bytes
            self._incomplete_bytes += size_bytes
        if self.reserved_bytes > self.limit_bytes:
            self._measure_again()
        while self.reserved_bytes > self.limit_bytes and self._incomplete_by:
            evict_largest = max(self._incomplete_by, key=self._incomplete_by.__getitem__)
            self._release(evict_largest)
            evict_largest(EVICTION_REASON)

    def _release(self, evict: Evict) -> None:
        self._incomplete_bytes -= self._incomplete_by.pop(evict, 0)

    def measure_held(self, measure: Measure) -> None:
        """Count what a connection holds, which ``measure`` returns and identifies."""
        self.release_held(measure)
        size_bytes = measure()
        if size_bytes:
            self._held_by[measure] = size_bytes
            self._held_bytes += size_bytes

    def release_held(self, measure: Measure) -> None:
        """Count nothing for a connection any more: it has ended."""
        self._held_bytes -= self._held_by.pop(measure, 0)

    def admits(self, measure: Measure, size_bytes: int) -> bool:
        """Return whether a connection may hold further bytes.

        Args:
            measure: returns how many bytes the connection holds, and identifies it.
            size_bytes: the number of further bytes.
        """
        if self._has_room(measure, size_bytes):
            return True
        self.measure_held(measure)
        self._measure_again()
        return self._has_room(measure, size_bytes)

    def _has_room(self, measure: Measure, size_bytes: int) -> bool:
        held_bytes = self._held_bytes + size_bytes
        if self.reserved_bytes + size_bytes > self.limit_bytes:
            return False
        if held_bytes <= self.limit_bytes * HELD_SHARE:
            return True
        holders = len(self._held_by) + (measure not in self._held_by)
        fair_bytes = self.limit_bytes * HELD_SHARE / holders
        is_below_fair_share = self._held_by.get(measure, 0) + size_bytes <= fair_bytes
        return is_below_fair_share and held_bytes <= self.limit_bytes * MAX_HELD_SHARE

    def _measure_again(self) -> None:
        """Measure the connections again whose last measurements are the oldest."""
        for measure in list(islice(self._held_by, MAX_MEASUREMENTS)):
            self.measure_held(measure)
