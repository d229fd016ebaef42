"""One budget for the bytes that all connections buffer: incomplete messages, and answers not read yet."""

from __future__ import annotations

from collections.abc import Callable

# Reason of the connection's end, as the operators' pages name it.
EVICTION_REASON = "memory"

Evict = Callable[[str], None]


class ByteBudget:
    """Bytes reserved by each connection, which is identified by its method that closes it.

    Beyond the limit the connection with the greatest reservation is evicted: it sends without end or does not
    read, and must not starve those that share the budget with it.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0
        self._reserved_by: dict[Evict, int] = {}

    def reserve(self, evict: Evict, size_bytes: int) -> None:
        """Set what a connection reserves, in place of what it reserved before; 0 releases it.

        May call ``evict`` of this or another connection, with the reason for the log.
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
