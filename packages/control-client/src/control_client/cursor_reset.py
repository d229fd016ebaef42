"""Detects that a source has restarted its event numbers."""

from __future__ import annotations

# Consecutive responses with a lower cursor after which a reset is plausible.
MIN_LOWER_CURSORS = 3

# Minimum time between the first and the last of these responses.
MIN_LOWER_CURSOR_MS = 1500.0


class CursorResetDetector:
    """Verifies a plausible reset by a poll for the complete state, so that one wrong cursor has no effect."""

    def __init__(self) -> None:
        self._lower_cursor_count = 0
        self._lower_since_ms = 0.0
        self._cursor_to_verify: int | None = None

    @property
    def is_verifying(self) -> bool:
        """Whether the next poll has to request the complete state."""
        return self._cursor_to_verify is not None

    def clear(self) -> None:
        """Forget the observed cursors, because the event numbers have changed."""
        self._lower_cursor_count = 0
        self._cursor_to_verify = None

    def observe(self, now: float, cursor: int, last_cursor: int) -> bool:
        """Return whether a response with this cursor confirms that the event numbers have restarted."""
        if self._cursor_to_verify is not None:
            is_reset = cursor < self._cursor_to_verify
            self._cursor_to_verify = None
            return is_reset
        if cursor >= last_cursor:
            self._lower_cursor_count = 0
            return False
        if self._lower_cursor_count == 0:
            self._lower_since_ms = now
        self._lower_cursor_count += 1
        if (
            self._lower_cursor_count >= MIN_LOWER_CURSORS
            and now - self._lower_since_ms >= MIN_LOWER_CURSOR_MS
        ):
            self._lower_cursor_count = 0
            self._cursor_to_verify = last_cursor
        return False
