"""Lingering close: the sending side is shut down first, and bytes that the client still sends are discarded.

Closing a socket with unread bytes resets the connection, and the client loses a response not yet received.
"""

from __future__ import annotations

from collections.abc import Callable

from thornjunction.memory.deadlines import Deadline, Deadlines
from thornjunction.net.downstream.unread_responses import READ_CHECK_INTERVAL_MS, Reading

# How long a client that has read all responses may take to close its side.
LINGER_TIMEOUT_MS = 10_000.0

# The same limit where descriptors are needed or the client was idle.  It covers a request sent before the
# client saw the close, which arrives within 50 ms at most.
SHORT_LINGER_TIMEOUT_MS = 1_000.0

# Bytes that are discarded before the connection is reset: the size of two of the largest requests.
MAX_DISCARDED_BYTES = 131_072


class LingeringClose:
    """Bounds the duration of one connection's lingering close and the bytes discarded during it.

    The time limit begins once the client has read all responses, or has stopped reading them.

    Attributes:
        discarded_bytes: number of bytes discarded.
        has_begun: whether the sending side was shut down.
    """

    __slots__ = ("_clock", "_deadline", "_deadlines", "discarded_bytes", "has_begun")

    def __init__(self, deadlines: Deadlines, clock: Callable[[], float]) -> None:
        self.discarded_bytes = 0
        self.has_begun = False
        self._deadlines = deadlines
        self._clock = clock
        self._deadline: Deadline | None = None

    def begin(
        self, timeout_ms: float, reading: Callable[[], Reading], reset_connection: Callable[[], None]
    ) -> None:
        """Wait until the client has read all responses, and ``timeout_ms`` more; then reset the connection.

        Args:
            timeout_ms: the time limit.
            reading: returns whether the client has read all responses.
            reset_connection: resets the connection.
        """

        def check() -> None:
            match reading():
                case Reading.IN_PROGRESS:
                    self._deadline = self._deadlines.add(self._clock() + READ_CHECK_INTERVAL_MS, check)
                case Reading.COMPLETE:
                    self._deadline = self._deadlines.add(self._clock() + timeout_ms, reset_connection)
                case Reading.STALLED:
                    reset_connection()

        self.has_begun = True
        check()

    def count_discarded(self, data: bytes) -> bool:
        """Count discarded bytes; return whether their total is within ``MAX_DISCARDED_BYTES``."""
        self.discarded_bytes += len(data)
        return self.discarded_bytes <= MAX_DISCARDED_BYTES

    def cancel(self) -> None:
        """Cancel the time limit, after the connection has ended."""
        self._deadlines.cancel(self._deadline)
