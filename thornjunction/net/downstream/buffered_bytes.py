"""What a client connection buffers: a request that has come in part, and responses that are not read."""

from __future__ import annotations

from thornjunction.memory.budget import ByteBudget, Evict

# For a client to read on, once the system takes no more of its responses.
STALL_TIMEOUT_MS = 10_000.0


class BufferedBytes:
    """The bytes that one connection reserves of the budget of all.

    Attributes:
        is_write_paused: whether the client does not read, so that the system takes no more responses.
        unsent_bytes: size of the responses that were written since then.
    """

    __slots__ = ("_budget", "_reserved_bytes", "is_write_paused", "unsent_bytes")

    def __init__(self, budget: ByteBudget) -> None:
        self.is_write_paused = False
        self.unsent_bytes = 0
        self._budget = budget
        self._reserved_bytes = 0

    def reserve(self, evict: Evict, partial_request_bytes: int) -> None:
        """Reserve what is buffered now; the budget may call ``evict`` of this or another connection.

        ``evict`` is not kept here, as it would make a reference cycle with its connection.
        """
        size_bytes = partial_request_bytes + self.unsent_bytes
        if size_bytes or self._reserved_bytes:
            self._reserved_bytes = size_bytes
            self._budget.reserve(evict, size_bytes)

    def release(self, evict: Evict) -> None:
        """The connection is gone, and buffers nothing."""
        if self._reserved_bytes:
            self._reserved_bytes = 0
            self._budget.reserve(evict, 0)

    def resume_writing(self) -> None:
        """The client reads again, and all its responses were sent."""
        self.is_write_paused = False
        self.unsent_bytes = 0
