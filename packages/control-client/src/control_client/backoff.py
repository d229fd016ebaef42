"""Waits that grow, and waits with jitter."""

from __future__ import annotations

from sansio_core import RandomSource

MAX_DOUBLINGS = 16
"""Keeps the power of two small; every maximum in use is reached before."""


def exponential_backoff(first_ms: float, doublings: int, max_ms: float) -> float:
    """Return ``first_ms`` doubled so many times, at most ``max_ms``."""
    exponent = min(max(doublings, 0), MAX_DOUBLINGS)
    return min(first_ms * 2.0**exponent, max_ms)


def jittered(duration_ms: float, draw: RandomSource) -> float:
    """Return a time drawn between half and all of a duration."""
    return duration_ms * (0.5 + draw() / 2)
