"""How long to wait before an operation that failed is retried."""

from __future__ import annotations

# Doublings after which the wait no longer grows, whatever its bound is.
MAX_DOUBLINGS = 10


def exponential_backoff(initial: float, doublings: int, maximum: float) -> float:
    """Return the initial wait, doubled this many times, up to a maximum."""
    return min(initial * 2.0 ** min(doublings, MAX_DOUBLINGS), maximum)
