"""What all routers of a fleet are told alike about its shares."""

from __future__ import annotations

from dataclasses import dataclass

WHOLE = 1_000_000_000  # units of a whole budget; shares are whole numbers, so that sums are exact


@dataclass(frozen=True)
class ShareSettings:
    """The same at every router.  ``unasked`` of a budget is given to the configured ``routers`` in equal
    parts that nobody else ever takes; the rest is leased out by the ``voters`` in equal slices.

    A lease lasts ``lease_ms`` on its holder's clock.  No clock may run faster or slower than real time by
    more than ``drift``.  Raises ValueError."""

    routers: tuple[str, ...]
    voters: tuple[str, ...]
    unasked: float = 0.5
    lease_ms: float = 10_000.0
    drift: float = 0.01

    def __post_init__(self) -> None:
        if not self.routers or len(set(self.routers)) < len(self.routers):
            raise ValueError("shares need routers, each named once")
        if not self.voters or len(set(self.voters)) < len(self.voters):
            raise ValueError("shares need voters, each named once")
        if not 0.0 <= self.unasked <= 1.0 or not 0.0 <= self.drift < 1.0 or self.lease_ms <= 0.0:
            raise ValueError("unasked must be in [0, 1], drift in [0, 1), lease_ms above 0")

    def floor(self, router: str) -> int:
        """Units that a router may take unasked: none for one that is not configured."""
        return int(WHOLE * self.unasked) // len(self.routers) if router in self.routers else 0

    @property
    def slice(self) -> int:
        """Units that each voter leases out."""
        return (WHOLE - int(WHOLE * self.unasked)) // len(self.voters)

    @property
    def kept_ms(self) -> float:
        """How long a voter counts a lease, on its own clock, so that it has surely run out on its
        holder's."""
        return self.lease_ms * (1.0 + self.drift) / (1.0 - self.drift)
