"""Limits how often a complete state is requested again."""

from __future__ import annotations

import math

# Minimum time between the first two requests.
MIN_RESYNC_INTERVAL_MS = 1000.0

# Upper bound of that time, which doubles with each request.
MAX_RESYNC_INTERVAL_MS = 30_000.0

# A resynchronization this long after the end of the last interval resets the interval to its minimum.
STABLE_MS = 60_000.0


class ResyncLimiter:
    """Doubles the interval between resynchronizations; resets it after ``STABLE_MS`` without one."""

    def __init__(self) -> None:
        self._next_allowed_ms = -math.inf
        self._interval_ms = MIN_RESYNC_INTERVAL_MS

    def try_acquire(self, now: float) -> bool:
        """Return whether a resynchronization is allowed now, and count it if so."""
        if now < self._next_allowed_ms:
            return False
        if now - self._next_allowed_ms >= STABLE_MS:
            self._interval_ms = MIN_RESYNC_INTERVAL_MS
        self._next_allowed_ms = now + self._interval_ms
        self._interval_ms = min(self._interval_ms * 2, MAX_RESYNC_INTERVAL_MS)
        return True
