"""The retry budget, which all routers of a fleet share, and the backoff before a retry.

If each of hundreds of routers had a small reserve of its own, the fleet would have a large one, and use it up
on an overloaded server. So each router has a part of one reserve of the fleet.
"""

from __future__ import annotations

from collections.abc import Callable

# Retries that each request adds to the budget: at a steady rate, half as many retries as requests.
RETRIES_PER_REQUEST = 0.5
# Upper bound on the unused retries of all routers together.
MAX_FLEET_RETRIES = 60.0
# Lower bound of one router's part of ``MAX_FLEET_RETRIES``, so that it can retry at all.
MIN_ROUTER_RETRIES = 2.0
# The first backoff, as a share of the latency objective; it doubles with each attempt.
FIRST_BACKOFF_SHARE = 0.125


class RetryBudget:
    """A token bucket: each request adds a part of a token, each retry takes one."""

    def __init__(self, routers: int) -> None:
        self.adopt(routers)
        self.tokens = self.capacity

    def adopt(self, routers: int) -> None:
        """Set the capacity to this router's part of the fleet's reserve, by the number of routers."""
        self.capacity = max(MAX_FLEET_RETRIES / max(routers, 1), MIN_ROUTER_RETRIES)

    @property
    def has_token(self) -> bool:
        """Whether one more retry may be sent."""
        return self.tokens >= 1

    def deposit(self) -> None:
        """Add the part of a token for one request."""
        self.tokens = min(self.tokens + RETRIES_PER_REQUEST, self.capacity)

    def withdraw(self) -> None:
        """Take the token of a retry that is sent."""
        self.tokens -= 1


def backoff_ms(objective_ms: float, attempts: int, draw: Callable[[], float]) -> float:
    """Return how long to wait after the given number of attempts ended in a rejection for overload.

    The time doubles with each attempt, and jitter of up to half of it in either direction prevents that all
    routers retry at the same moment. ``draw`` gives a number in [0, 1).
    """
    return FIRST_BACKOFF_SHARE * objective_ms * 2.0 ** (attempts - 1) * (0.5 + draw())
