"""Lingering close: the sending side is shut first, and what the client still sends is read and discarded.

A socket that is closed over unread bytes resets its connection, and the client loses a response on its way.
"""

from __future__ import annotations

from collections.abc import Callable

from thornjunction.memory.deadlines import Deadline, Deadlines

# For the client to read the last responses and to close its side.
LINGER_TIMEOUT_MS = 10_000.0

# The same where no response is on its way: only a request may cross the close, which takes 50 ms at most.
SHORT_LINGER_TIMEOUT_MS = 1_000.0

# Bytes that are discarded before the connection is cut off: two of the largest requests.
MAX_DISCARDED_BYTES = 131_072


class LingeringClose:
    """The bounds of one connection's lingering close: its time, and the bytes that are discarded."""

    __slots__ = ("_deadline", "discarded_bytes")

    def __init__(self) -> None:
        self.discarded_bytes = 0
        self._deadline: Deadline | None = None

    @property
    def has_begun(self) -> bool:
        """Whether the sending side was shut."""
        return self._deadline is not None

    def begin(self, deadlines: Deadlines, due_ms: float, cut_off: Callable[[], None]) -> None:
        """Wait for the client until this time, then cut the connection off."""
        self._deadline = deadlines.add(due_ms, cut_off)

    def discard(self, data: bytes) -> bool:
        """Count bytes that are not read as requests; returns whether they are within the bound."""
        self.discarded_bytes += len(data)
        return self.discarded_bytes <= MAX_DISCARDED_BYTES

    def cancel(self, deadlines: Deadlines) -> None:
        """The connection is gone: wait no longer."""
        deadlines.cancel(self._deadline)
