"""Leases on quotas of the fleet's budgets, which never add up to more than a budget in any partition.

The invariant: at every moment of real time, the quotas of all routers add up to at most ``BUDGET_UNITS``.

1. Floors.  Each configured router may always use its floor without a lease.  Floors are fixed parts that no
   other router ever gets, so they do not depend on partitions, pauses or views.  They add up to
   ``floor_fraction`` of the budget.
2. Slices.  The remainder is divided into one fixed slice for each voter, and a voter leases out its own slice
   only.  So voters need not agree on anything: it is enough that no slice is ever leased out twice.
3. One slice.  For each router a voter counts the largest lease it issued that may still be valid, and issues
   no more than the slice minus those of the other routers (``LeaseIssuer.issue``).  Its view of the live
   routers only determines the size that it aims at.
4. Time.  For its holder a lease begins when it *requested* it and lasts ``lease_ms`` of its clock: at most
   ``lease_ms / (1 - max_clock_drift)`` of real time.  For the voter it begins when it *issued* it, which is
   later, and lasts ``lease_ms * (1 + max_clock_drift) / (1 - max_clock_drift)`` of its own clock: at least
   ``lease_ms / (1 - max_clock_drift)`` of real time.  So a lease expires at its voter last.  An answer that
   is lost, late, duplicated or reordered only shortens the lease.
5. Restarts.  A voter that starts issues nothing for the time that a lease lasts at a voter: by then all
   leases of its previous incarnation have expired.  A holder that starts has no leases; its requests
   carry its incarnation, so no answer to an older incarnation is accepted.

Cost: the floor of a failed router stays unused, since it cannot be distinguished from a partitioned one that
uses it.  The slice of a failed voter stays unused until the voter is restarted or replaced.  Floors of 1/N
cannot be combined with giving the quotas of failed routers to others: they already add up to the budget.

Assumptions: one process at a time under each name, the same settings at every router, and clocks that advance
while the process or its host is stopped (a suspended virtual machine needs one that includes that time).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass

from quota_leases.settings import QuotaSettings

# Maximum number of unanswered requests to one voter that are kept; the oldest is dropped first.
MAX_PENDING_REQUESTS = 16


@dataclass(frozen=True, slots=True)
class _Lease:
    """Units of a voter's slice; ``expires_ms`` is on the clock of the process that holds this object."""

    expires_ms: float
    units: int


class LeaseIssuer:
    """The slice of one voter and the leases issued on it.

    ``started_ms`` is the start time of this incarnation, on the same clock as ``now``.
    """

    def __init__(self, settings: QuotaSettings, started_ms: float) -> None:
        self._settings = settings
        self._issue_from_ms = started_ms + settings.issuer_lease_ms
        # By router, in order of expiry; the first lease is the largest and expires first.
        self._leases: dict[str, deque[_Lease]] = {}

    def issue(self, now: float, router: str, live_routers: Collection[str]) -> int:
        """Issue a lease; return its units, at most the slice divided by the number of live routers."""
        if now < self._issue_from_ms:
            return 0
        for name in list(self._leases):
            self._drop_expired(name, now)
        issued_to_others = sum(leases[0].units for name, leases in self._leases.items() if name != router)
        fair_units = self._settings.slice_units // len({*live_routers, router})
        units = min(fair_units, self._settings.slice_units - issued_to_others)
        if units > 0:
            self._record(router, _Lease(now + self._settings.issuer_lease_ms, units))
        return units

    def _record(self, router: str, lease: _Lease) -> None:
        leases = self._leases.setdefault(router, deque())
        while leases and leases[-1].units <= lease.units:  # it expires sooner and is not larger
            leases.pop()
        leases.append(lease)

    def _drop_expired(self, router: str, now: float) -> None:
        leases = self._leases[router]
        while leases and leases[0].expires_ms <= now:
            leases.popleft()
        if not leases:
            del self._leases[router]


class LeaseHolder:
    """The floor and leases of one router; ``incarnation`` must be higher at each start under a name."""

    def __init__(self, settings: QuotaSettings, name: str, incarnation: int) -> None:
        self.incarnation = incarnation
        self._settings = settings
        self._floor_units = settings.floor_units(name)
        self._request_id = 0
        self._requested_ms: dict[str, dict[int, float]] = {voter: {} for voter in settings.voters}
        self._leases: dict[str, _Lease] = {}  # by voter

    def request(self, now: float, voter: str) -> int:
        """Record a request sent to a voter now, and return its id."""
        self._request_id += 1
        pending = self._requested_ms[voter]
        pending[self._request_id] = now
        if len(pending) > MAX_PENDING_REQUESTS:
            del pending[min(pending)]
        return self._request_id

    def accept(self, voter: str, incarnation: int, request_id: int, units: int) -> None:
        """Accept a lease, unless it is for another incarnation or not newer than one accepted before."""
        pending = self._requested_ms.get(voter, {})
        if incarnation != self.incarnation or request_id not in pending:
            return
        self._leases[voter] = _Lease(pending[request_id] + self._settings.lease_ms, units)
        self._requested_ms[voter] = {newer: at_ms for newer, at_ms in pending.items() if newer > request_id}

    def quota_units(self, now: float) -> int:
        """Return the units that this router may use now.

        This is its floor, plus its leases while it holds valid leases of a majority of the voters.
        """
        valid = [lease.units for lease in self._leases.values() if now < lease.expires_ms]
        if len(valid) <= len(self._settings.voters) // 2:
            return self._floor_units
        return self._floor_units + sum(valid)
