"""The bytes that a client connection buffers: partly received requests and responses not yet sent."""

from __future__ import annotations

from thornjunction.memory.budget import ByteBudget, Evict

# How long a client may leave its responses unread, once the socket's send buffer is full.
STALL_TIMEOUT_MS = 10_000.0


class BufferedBytes:
    """The bytes that one connection reserves in the byte budget shared by all client connections.

    Attributes:
        is_write_paused: whether the socket's send buffer is full because the client does not read.
        unsent_bytes: size of the responses that were written since the send buffer became full.
    """

    __slots__ = ("_budget", "_reserved_bytes", "is_write_paused", "unsent_bytes")

    def __init__(self, budget: ByteBudget) -> None:
        self.is_write_paused = False
        self.unsent_bytes = 0
        self._budget = budget
        self._reserved_bytes = 0

    def reserve(self, evict: Evict, partial_request_bytes: int) -> None:
        """Reserve the bytes buffered now; the budget may call ``evict`` of this or another connection.

        ``evict`` is not stored here, because that would create a reference cycle with its connection.
        """
        size_bytes = partial_request_bytes + self.unsent_bytes
        if size_bytes or self._reserved_bytes:
            self._reserved_bytes = size_bytes
            self._budget.reserve(evict, size_bytes)

    def release(self, evict: Evict) -> None:
        """Release all reserved bytes, after the connection has ended."""
        if self._reserved_bytes:
            self._reserved_bytes = 0
            self._budget.reserve(evict, 0)

    def resume_writing(self) -> None:
        """Note that all buffered responses were sent, after the client read again."""
        self.is_write_paused = False
        self.unsent_bytes = 0
