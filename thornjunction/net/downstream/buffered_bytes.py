"""The bytes that a client connection buffers: partly received requests and responses not yet sent."""

from __future__ import annotations

from thornjunction.memory.budget import ByteBudget, Evict, Measure


class BufferedBytes:
    """The bytes that one connection reserves in the byte budget shared by all client connections.

    Attributes:
        is_write_paused: whether the socket's send buffer is full, so that responses wait in this process.
    """

    __slots__ = ("_budget", "_reserved_bytes", "is_write_paused")

    def __init__(self, budget: ByteBudget) -> None:
        self.is_write_paused = False
        self._budget = budget
        self._reserved_bytes = 0

    def reserve(self, evict: Evict, measure: Measure) -> None:
        """Reserve the bytes buffered now; the budget may call ``evict`` of this or another connection.

        Neither function is stored here, because that would create a reference cycle with its connection.
        """
        size_bytes = measure()
        if size_bytes or self._reserved_bytes:
            self._reserved_bytes = size_bytes
            self._budget.reserve(evict, size_bytes, measure)

    def release(self, evict: Evict) -> None:
        """Release all reserved bytes, after the connection has ended."""
        if self._reserved_bytes:
            self._reserved_bytes = 0
            self._budget.reserve(evict, 0)
