"""Rumours: updates that ride on other datagrams, each a bounded number of times (SWIM, section 4.1)."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from itertools import islice
from math import ceil, log10

from gossip_codec import MAX_UPDATES, MemberState, Update


class Rumours:
    """An update on a member takes the place of those before; suspicions by several routers stand side by
    side.  New ones go first, the others in turn."""

    def __init__(self, retransmit: float) -> None:
        self._retransmit = retransmit
        self._told: OrderedDict[Update, int] = OrderedDict()  # how often
        self._of: dict[str, list[Update]] = {}

    def put(self, update: Update) -> None:
        for other in list(self._of.get(update.name, ())):
            both = other.state == update.state == MemberState.SUSPECT
            if other == update or not both or other.incarnation != update.incarnation:
                self._drop(other)
        self._told[update] = 0
        self._told.move_to_end(update, last=False)
        self._of.setdefault(update.name, []).append(update)

    def pick(self) -> list[Update]:
        """As many as a datagram may carry."""
        return list(islice(self._told, MAX_UPDATES))

    def sent(self, updates: Sequence[Update], members: int) -> None:
        """These were told once more; each is forgotten after ``retransmit`` x log10 of the members."""
        most = max(1, ceil(self._retransmit * log10(members + 1)))
        for update in updates:
            if update not in self._told:
                continue
            self._told[update] += 1
            self._told.move_to_end(update)
            if self._told[update] >= most:
                self._drop(update)

    def _drop(self, update: Update) -> None:
        del self._told[update]
        self._of[update.name].remove(update)
        if not self._of[update.name]:
            del self._of[update.name]
