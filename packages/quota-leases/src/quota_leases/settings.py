"""The settings of quota leases, which must be the same at every router of a fleet."""

from __future__ import annotations

from dataclasses import dataclass

from fleet_membership import InvalidSettingError

# Units of a full budget; quotas are integer numbers of units, so that their sums are exact.
BUDGET_UNITS = 1_000_000_000


@dataclass(frozen=True)
class QuotaSettings:
    """How a budget is divided.

    ``floor_fraction`` of it is divided into equal floors for the configured ``routers``, which no other
    router ever gets; the rest is divided into equal slices, which the ``voters`` lease out.

    A lease lasts ``lease_ms`` on its holder's clock.  No clock may run faster or slower than real time by
    more than the fraction ``max_clock_drift``.  Raises InvalidSettingError.
    """

    routers: tuple[str, ...]
    voters: tuple[str, ...]
    floor_fraction: float = 0.5
    lease_ms: float = 10_000.0
    max_clock_drift: float = 0.01

    def __post_init__(self) -> None:
        if not self.routers or len(set(self.routers)) < len(self.routers):
            raise InvalidSettingError("routers", "must not be empty or have duplicates")
        if not self.voters or len(set(self.voters)) < len(self.voters):
            raise InvalidSettingError("voters", "must not be empty or have duplicates")
        if not 0.0 <= self.floor_fraction <= 1.0:
            raise InvalidSettingError("floor_fraction", "must be in [0, 1]")
        if not 0.0 <= self.max_clock_drift < 1.0:
            raise InvalidSettingError("max_clock_drift", "must be in [0, 1)")
        if self.lease_ms <= 0.0:
            raise InvalidSettingError("lease_ms", "must be above 0")

    def floor_units(self, router: str) -> int:
        """Return the units that a router may use without a lease; 0 if it is not a configured router."""
        if router not in self.routers:
            return 0
        return self._all_floors_units // len(self.routers)

    @property
    def slice_units(self) -> int:
        """The units that each voter leases out."""
        return (BUDGET_UNITS - self._all_floors_units) // len(self.voters)

    @property
    def issuer_lease_ms(self) -> float:
        """Duration of a lease on its voter's clock, after which it has certainly expired at its holder."""
        return self.lease_ms * (1.0 + self.max_clock_drift) / (1.0 - self.max_clock_drift)

    @property
    def _all_floors_units(self) -> int:
        return int(BUDGET_UNITS * self.floor_fraction)
