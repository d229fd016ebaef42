"""The byte budget of all connections: for incomplete messages, and for answers that clients have not read."""

from __future__ import annotations

from collections.abc import Callable

# Logged reason of an evicted connection's end, as the operators' pages name it.
EVICTION_REASON = "memory"

Evict = Callable[[str], None]


class ByteBudget:
    """Bytes that each connection reserves; a connection is identified by the callback that closes it.

    While the sum is above the limit, the connection with the greatest reservation is evicted.  So a peer
    that sends without end, or does not read its responses, cannot exhaust the budget of the others.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0
        self._reserved_by: dict[Evict, int] = {}

    def reserve(self, evict: Evict, size_bytes: int) -> None:
        """Replace a connection's reservation; 0 releases it.

        May call ``evict`` of this or of other connections, with the reason for the log.
        """
        self._release(evict)
        if size_bytes:
            self._reserved_by[evict] = size_bytes
            self.reserved_bytes += size_bytes
        while self.reserved_bytes > self.limit_bytes and self._reserved_by:
            evict_largest = max(self._reserved_by, key=self._reserved_by.__getitem__)
            self._release(evict_largest)
            evict_largest(EVICTION_REASON)

    def _release(self, evict: Evict) -> None:
        self.reserved_bytes -= self._reserved_by.pop(evict, 0)
