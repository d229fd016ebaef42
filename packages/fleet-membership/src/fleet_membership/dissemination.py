"""Rumours: updates that ride on other datagrams, each a bounded number of times (SWIM, section 4.1)."""

from __future__ import annotations

from collections.abc import Sequence
from heapq import nsmallest
from math import ceil, log10

from fleet_wire import UPDATES_MOST, MemberState, Update


class Rumours:
    """An update on a member takes the place of those before; suspicions by several routers stand side by
    side."""

    def __init__(self, retransmit: float) -> None:
        self._retransmit = retransmit
        self._told: dict[str, dict[Update, int]] = {}  # by member: how often

    def put(self, update: Update) -> None:
        told = self._told.get(update.name, {})
        newest = next(iter(told), update)
        if (
            newest.incarnation != update.incarnation
            or not newest.state == update.state == MemberState.SUSPECT
        ):
            told = {}
        self._told[update.name] = {**told, update: 0}

    def pick(self) -> list[Update]:
        """As many as a datagram may carry; those told least come first."""
        pairs = [pair for told in self._told.values() for pair in told.items()]
        return [update for update, _ in nsmallest(UPDATES_MOST, pairs, key=lambda pair: pair[1])]

    def sent(self, updates: Sequence[Update], members: int) -> None:
        """These were told once more; each is forgotten after ``retransmit`` x log10 of the members."""
        most = max(1, ceil(self._retransmit * log10(members + 1)))
        for update in updates:
            told = self._told.get(update.name, {})
            if update in told:
                told[update] += 1
                if told[update] >= most:
                    del told[update]
                if not told:
                    del self._told[update.name]
