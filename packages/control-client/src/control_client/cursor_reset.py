"""Detects that a source has started its event numbers anew."""

from __future__ import annotations

MIN_LOWER_CURSORS = 3
"""Consecutive responses with a lower cursor that make a reset plausible."""

MIN_LOWER_CURSOR_MS = 1500.0
"""The least time that they have to span."""


class CursorResetDetector:
    """Verifies a plausible reset by a poll for everything, so that a single wrong cursor has no effect."""

    def __init__(self) -> None:
        self._lower_cursors = 0
        self._lower_since_ms = 0.0
        self._cursor_to_verify: int | None = None

    @property
    def is_verifying(self) -> bool:
        """Whether the next poll has to ask for everything."""
        return self._cursor_to_verify is not None

    def clear(self) -> None:
        """Forget what was observed, because the numbers are other ones now."""
        self._lower_cursors = 0
        self._cursor_to_verify = None

    def observe(self, now: float, cursor: int, own_cursor: int) -> bool:
        """Return whether a response with this cursor confirms that the numbers started anew."""
        if self._cursor_to_verify is not None:
            is_reset = cursor < self._cursor_to_verify
            self._cursor_to_verify = None
            return is_reset
        if cursor >= own_cursor:
            self._lower_cursors = 0
            return False
        if self._lower_cursors == 0:
            self._lower_since_ms = now
        self._lower_cursors += 1
        if self._lower_cursors >= MIN_LOWER_CURSORS and now - self._lower_since_ms >= MIN_LOWER_CURSOR_MS:
            self._lower_cursors = 0
            self._cursor_to_verify = own_cursor
        return False
