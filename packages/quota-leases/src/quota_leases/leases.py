"""Shares of the fleet's budgets that never add up to more than one, whatever the routers believe.

The claim: at every moment of real time, the shares of all routers add up to at most ``WHOLE``.

1. Floors.  Each configured router may spend its floor unasked, for ever.  Floors are fixed parts that no
other router is ever given, so cuts, pauses and views do not matter to them.  They add up to ``unasked``. 2.
Slices.  The rest is cut into one fixed slice for each voter, and a voter leases out its own slice
alone.  So nothing has to be agreed between voters: it is enough that no slice is ever over-leased. 3. One
slice.  A voter counts for each router the largest lease it gave that may still be held, and gives no more
than what is left beside the others' (``Granter.asked``).  Its view of who lives sets only the size it aims
at. 4. Time.  A holder counts its lease from when it *asked*, for ``lease_ms`` of its clock: at most
``lease_ms / (1 - drift)`` of real time.  The voter counts it from when it *gave*, which is later, for
``lease_ms * (1 + drift) / (1 - drift)`` of its own clock: at least ``lease_ms / (1 - drift)`` of real time.
So the voter's count ends last.  An answer lost, late, doubled or out of order only shortens what is held.
5. Lives.  A voter that starts gives nothing for that same time: all that its life before gave has run out
then. A holder that starts holds nothing; its asks carry its life, so that no answer to an older life is
taken.

What it costs: a dead router's floor stays unspent, since nobody can tell it from one that is cut off and
spends it; and a dead voter's slice stays unspent until the voter is back or replaced.  A floor of 1/N with
survivors that take the share of the dead is not to be had: the floors alone would add up to the whole.

What it rests on: one process at a time under each name, the same settings everywhere, and clocks that go on
while the process, or its machine, is stopped (a suspended virtual machine needs one that counts that time).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection

from quota_leases.settings import ShareSettings

PENDING = 16  # asks of one voter that may still be answered


class Granter:
    """One voter's slice, as it leases it out.  ``started`` is when this life began, on the clock of
    ``now``."""

    def __init__(self, settings: ShareSettings, started: float) -> None:
        self._settings = settings
        self._quiet_until = started + settings.kept_ms
        self._leases: dict[str, deque[tuple[float, int]]] = {}  # end and units, the larger and older first

    def asked(self, now: float, router: str, live: Collection[str]) -> int:
        """Units leased to a router from now on; ``live`` are those that the slice is meant for."""
        if now < self._quiet_until:
            return 0
        for name in list(self._leases):
            self._drop(name, now)
        others = sum(leases[0][1] for name, leases in self._leases.items() if name != router)
        fair = self._settings.slice // len({*live, router})
        units = min(fair, self._settings.slice - others)
        if units > 0:
            leases = self._leases.setdefault(router, deque())
            while leases and leases[-1][1] <= units:  # ends sooner and is no larger
                leases.pop()
            leases.append((now + self._settings.kept_ms, units))
        return units

    def _drop(self, name: str, now: float) -> None:
        leases = self._leases[name]
        while leases and leases[0][0] <= now:
            leases.popleft()
        if not leases:
            del self._leases[name]


class Holder:
    """One router's share.  ``life`` has to be higher at each start under the same name."""

    def __init__(self, settings: ShareSettings, name: str, life: int) -> None:
        self._settings = settings
        self._floor = settings.floor(name)
        self.life = life
        self._number = 0
        self._asked: dict[str, dict[int, float]] = {voter: {} for voter in settings.voters}
        self._held: dict[str, tuple[float, int]] = {}  # by voter: end and units

    def ask(self, now: float, voter: str) -> int:
        """The number of an ask that goes out now."""
        self._number += 1
        asked = self._asked[voter]
        asked[self._number] = now
        if len(asked) > PENDING:
            del asked[min(asked)]
        return self._number

    def granted(self, voter: str, life: int, number: int, units: int) -> None:
        """An answer; one to an older life, or older than one taken before, is passed over."""
        asked = self._asked.get(voter, {})
        if life != self.life or number not in asked:
            return
        self._held[voter] = asked[number] + self._settings.lease_ms, units
        self._asked[voter] = {other: at for other, at in asked.items() if other > number}

    def share(self, now: float) -> int:
        """Units of ``WHOLE`` that this router may spend now: its floor, and its leases while it holds some
        from a majority of the voters."""
        valid = [units for end, units in self._held.values() if now < end]
        if len(valid) <= len(self._settings.voters) // 2:
            return self._floor
        return self._floor + sum(valid)
