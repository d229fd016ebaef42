"""Anti-entropy: whole tables compared by digests, with what differs sent in datagrams.

Most often with a live member; each third time with one that failed, or a seed that is not among the live:
that is how two halves find each other again after a cut, and how a member joins.
"""

from __future__ import annotations

from fleet_seam import Address
from fleet_wire import MemberState, Part, Sync, to_address

from fleet_membership.core import Core
from fleet_membership.table import LIVE

LOST_EVERY = 3  # exchanges, of which one goes to the lost
PARTS_MOST = 16  # datagrams of one exchange; a larger difference takes several
EAGER = 2.0  # periods between exchanges without a majority


class Syncer:
    def __init__(self, core: Core) -> None:
        self._core = core
        self._rounds = 0

    def tick(self, now: float, majority: bool) -> None:
        core, settings = self._core, self._core.settings
        every = settings.sync_every_ms
        if not majority:
            every = min(every, EAGER * settings.probe_every_ms)
        core.agenda.at(now + every * (0.75 + 0.5 * core.draw()), "sync")
        self._rounds += 1
        live = [to_address(m.update.place) for m in core.table.others(*LIVE)]
        lost = self._lost(live)
        if not majority or not live:
            peers = core.sample(live, 1) + core.sample(lost, 2)
        else:
            peers = core.sample(lost if lost and self._rounds % LOST_EVERY == 0 else live, 1)
        for peer in peers:
            self.ask(peer)

    def ask(self, peer: Address) -> None:
        self._core.send(peer, Sync(self._core.table.digests(), answer=False), (self._core.table.own,))

    def asked(self, peer: Address, message: Sync) -> None:
        core = self._core
        told = core.table.differing(message.digests)
        if not told:
            return
        start = int(core.draw() * len(told))  # what finds no room this time may the next
        told = told[start:] + told[:start]
        for _ in range(PARTS_MOST):
            told = told[core.send(peer, Part(), told[:15]) :]
            if not told:
                break
        if not message.answer:
            core.send(peer, Sync(core.table.digests(), answer=True), (core.table.own,))

    def _lost(self, live: list[Address]) -> list[Address]:
        core = self._core
        failed = [to_address(m.update.place) for m in core.table.others(MemberState.FAILED)]
        known = {*live, *failed, core.settings.address}
        return failed + [seed for seed in core.settings.seeds if seed not in known]
