"""Further attempts: how many, and how soon.  Both are counted for the fleet: hundreds of routers that each
have a small reserve have a large one together, and spend it at the moment when what they share is full."""

from __future__ import annotations

from collections.abc import Callable

SHARE = 0.5  # further attempts for each request
FLEET_DEPTH, LEAST_DEPTH = 60.0, 2.0  # saved up by all routers together; by one at least
FIRST = 0.125  # of the aim: the wait after a first refusal; it doubles with each


class Retries:
    """A retry budget (a token bucket filled by requests).  ``depth`` is this router's part of the reserve."""

    def __init__(self, routers: int) -> None:
        self.adopt(routers)
        self.saved = self.depth

    def adopt(self, routers: int) -> None:
        """So many routers share the reserve from now on."""
        self.depth = max(FLEET_DEPTH / max(routers, 1), LEAST_DEPTH)

    def earn(self) -> None:
        """A request came."""
        self.saved = min(self.saved + SHARE, self.depth)

    def spend(self, further: bool) -> None:
        """An attempt goes out; a request's first one costs nothing."""
        self.saved -= further

    def any(self) -> bool:
        return self.saved >= 1


def wait_ms(aim_ms: float, attempts: int, draw: Callable[[], float]) -> float:
    """How long a request waits after its so-manieth attempt was refused as full: asked again at once, what is
    full stays so.  Doubled with each, and spread, or all routers come back together."""
    return FIRST * aim_ms * 2.0 ** (attempts - 1) * (0.5 + draw())
