"""Lingering close: the sending side is shut down first, and bytes that the client still sends are discarded.

Closing a socket with unread bytes resets the connection, and the client loses a response not yet received.
"""

from __future__ import annotations

from collections.abc import Callable

from thornjunction.memory.deadlines import Deadline, Deadlines

# How long the client may take to read the last responses and to close its side.
LINGER_TIMEOUT_MS = 10_000.0

# The same limit if the client has all responses.  It covers a request sent before the client saw the close,
# which arrives within 50 ms at most.
SHORT_LINGER_TIMEOUT_MS = 1_000.0

# Bytes that are discarded before the connection is reset: the size of two of the largest requests.
MAX_DISCARDED_BYTES = 131_072


class LingeringClose:
    """Bounds the duration of one connection's lingering close and the bytes discarded during it."""

    __slots__ = ("_deadline", "discarded_bytes")

    def __init__(self) -> None:
        self.discarded_bytes = 0
        self._deadline: Deadline | None = None

    @property
    def has_begun(self) -> bool:
        """Whether the sending side was shut down."""
        return self._deadline is not None

    def begin(self, deadlines: Deadlines, due_ms: float, reset_connection: Callable[[], None]) -> None:
        """Wait for the client until ``due_ms``, then call ``reset_connection`` to reset the connection."""
        self._deadline = deadlines.add(due_ms, reset_connection)

    def count_discarded(self, data: bytes) -> bool:
        """Count discarded bytes; return whether their total is within ``MAX_DISCARDED_BYTES``."""
        self.discarded_bytes += len(data)
        return self.discarded_bytes <= MAX_DISCARDED_BYTES

    def cancel(self, deadlines: Deadlines) -> None:
        """Cancel the time limit, after the connection has ended."""
        deadlines.cancel(self._deadline)
