"""The wait before a failed operation is retried."""

from __future__ import annotations

# Doublings after which the wait no longer grows, even below its maximum.
MAX_DOUBLINGS = 10


def exponential_backoff(initial: float, doublings: int, maximum: float) -> float:
    """Return ``initial`` doubled ``doublings`` times, at most ``maximum``; the unit is the caller's."""
    return min(initial * 2.0 ** min(doublings, MAX_DOUBLINGS), maximum)
