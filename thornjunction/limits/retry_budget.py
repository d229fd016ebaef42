"""The retry budget and backoff, counted for the whole fleet.

Hundreds of routers that each have a small reserve have a large one together, and would spend it at the
moment when what they share is overloaded. So each has its part of one reserve.
"""

from __future__ import annotations

from collections.abc import Callable

# Retries earned by each request: at a steady rate, half as many retries as requests.
RETRIES_PER_REQUEST = 0.5
# Retries that all routers together may have saved up.
FLEET_RESERVE = 60.0
# Retries that one router may have saved up at least, or it could never retry.
MIN_RESERVE = 2.0
# The first backoff, as a share of the latency objective; it doubles with each attempt.
FIRST_BACKOFF_SHARE = 0.125


class RetryBudget:
    """A token bucket that requests fill and retries empty."""

    def __init__(self, routers: int) -> None:
        self.adopt(routers)
        self.tokens = self.capacity

    def adopt(self, routers: int) -> None:
        """Take this router's part of a reserve that so many routers share."""
        self.capacity = max(FLEET_RESERVE / max(routers, 1), MIN_RESERVE)

    @property
    def has_token(self) -> bool:
        """Whether one more retry may be sent."""
        return self.tokens >= 1

    def earn(self) -> None:
        """Count a request."""
        self.tokens = min(self.tokens + RETRIES_PER_REQUEST, self.capacity)

    def spend(self) -> None:
        """Count a retry that is sent."""
        self.tokens -= 1


def backoff_ms(objective_ms: float, attempts: int, draw: Callable[[], float]) -> float:
    """Return how long to wait after the given number of attempts ended in a rejection for overload.

    Asked again at once, an overloaded server stays so. The wait doubles with each attempt and is spread by
    half each way, or all routers would come back together. ``draw`` gives a number in [0, 1).
    """
    return FIRST_BACKOFF_SHARE * objective_ms * 2.0 ** (attempts - 1) * (0.5 + draw())
