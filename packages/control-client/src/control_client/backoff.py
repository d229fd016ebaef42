"""Exponential backoff and jitter."""

from __future__ import annotations

from sansio_core import RandomSource

# Upper bound of the exponent; every backoff in use reaches its maximum duration earlier.
MAX_DOUBLINGS = 16


def exponential_backoff(first_ms: float, doublings: int, max_ms: float) -> float:
    """Return ``first_ms``, doubled ``doublings`` times but at most ``max_ms``."""
    exponent = min(max(doublings, 0), MAX_DOUBLINGS)
    return min(first_ms * 2.0**exponent, max_ms)


def jittered(duration_ms: float, draw: RandomSource) -> float:
    """Return a random time between half of a duration and all of it."""
    return duration_ms * (0.5 + draw() / 2)
