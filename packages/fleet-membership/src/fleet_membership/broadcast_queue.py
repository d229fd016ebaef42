"""Dissemination: piggybacks each update on a bounded number of other datagrams.

This follows SWIM, section 4.1.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from itertools import islice
from math import ceil, log10

from gossip_codec import MAX_UPDATES, MemberState, Update


class BroadcastQueue:
    """The updates to piggyback: new ones first, then the least recently sent ones.

    An update about a member replaces earlier ones about it.  Only suspicions of the same incarnation by
    different accusers are all kept, since they confirm each other.
    """

    def __init__(self, retransmit_multiplier: float) -> None:
        self._retransmit_multiplier = retransmit_multiplier
        self._transmissions: OrderedDict[Update, int] = OrderedDict()
        self._by_member: dict[str, list[Update]] = {}

    def enqueue(self, update: Update) -> None:
        """Put an update at the head of the queue and remove the updates that it replaces."""
        for queued in list(self._by_member.get(update.name, ())):
            if queued == update or not _confirm_each_other(queued, update):
                self._remove(queued)
        self._transmissions[update] = 0
        self._transmissions.move_to_end(update, last=False)
        self._by_member.setdefault(update.name, []).append(update)

    def next_batch(self) -> list[Update]:
        """Return the first ``MAX_UPDATES`` updates."""
        return list(islice(self._transmissions, MAX_UPDATES))

    def mark_sent(self, updates: Sequence[Update], live_members: int) -> None:
        """Count a transmission of each update; drop those sent multiplier * log10(members + 1) times."""
        limit = max(1, ceil(self._retransmit_multiplier * log10(live_members + 1)))
        for update in updates:
            if update not in self._transmissions:
                continue
            self._transmissions[update] += 1
            self._transmissions.move_to_end(update)
            if self._transmissions[update] >= limit:
                self._remove(update)

    def _remove(self, update: Update) -> None:
        del self._transmissions[update]
        self._by_member[update.name].remove(update)
        if not self._by_member[update.name]:
            del self._by_member[update.name]


def _confirm_each_other(first: Update, second: Update) -> bool:
    both_suspect = first.state is MemberState.SUSPECT and second.state is MemberState.SUSPECT
    return both_suspect and first.incarnation == second.incarnation
