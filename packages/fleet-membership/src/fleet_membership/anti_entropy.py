"""Anti-entropy: whole tables compared by digests, with what differs sent in datagrams.

Most often with a live member; each third time with one that failed, or a seed that is not among the live:
that is how two halves find each other again after a cut, and how a member joins.
"""

from __future__ import annotations

from gossip_codec import MemberState, Sync, UpdateBatch, unpack_address
from sansio_core import Address

from fleet_membership.context import Core
from fleet_membership.member_table import LIVE

LOST_EVERY = 3  # exchanges, of which one goes to the lost
PARTS_MOST = 16  # datagrams of one exchange; a larger difference takes several
EAGER = 2.0  # periods between exchanges without a majority


class Syncer:
    def __init__(self, core: Core) -> None:
        self._core = core
        self._rounds = 0
        self._next_meeting = float("-inf")
        self._due = float("inf")  # of the next exchange

    def tick(self, now: float, majority: bool) -> None:
        core = self._core
        if now < self._due:
            return  # it was brought forward, and done
        self._plan(now, eager=not majority)
        self._rounds += 1
        live = [unpack_address(m.update.address) for m in core.table.others(*LIVE)]
        lost = self._lost(live)
        if not majority or not live:
            peers = core.sample(live, 1) + core.sample(lost, 2)
        else:
            peers = core.sample(lost if lost and self._rounds % LOST_EVERY == 0 else live, 1)
        for peer in peers:
            self.ask(peer)

    def ask(self, peer: Address) -> None:
        self._core.send(peer, Sync(self._core.table.digests(), is_reply=False), (self._core.table.own,))

    def meet(self, now: float, peer: Address) -> None:
        """Exchange tables with one that is not known, at most one in a period."""
        if now >= self._next_meeting:
            self._next_meeting = now + self._core.settings.probe_every_ms
            self.ask(peer)

    def begin(self, now: float) -> None:
        """Ask the seeds, and go on from there."""
        for seed in self._core.settings.seeds:
            if seed != self._core.settings.address:
                self.ask(seed)
        self._plan(now, eager=True)

    def asked(self, now: float, peer: Address, message: Sync) -> None:
        """Send what differs.  While tables do, the next exchange comes soon."""
        core = self._core
        told = core.table.differing(message.digests)
        if not told:
            return
        if self._due > now + EAGER * core.settings.probe_every_ms:
            self._plan(now, eager=True)
        start = int(core.draw() * len(told))  # what finds no room this time may the next
        told = told[start:] + told[:start]
        for _ in range(PARTS_MOST):
            told = told[core.send(peer, UpdateBatch(), told[:15]) :]
            if not told:
                break
        if not message.is_reply:
            core.send(peer, Sync(core.table.digests(), is_reply=True), (core.table.own,))

    def _plan(self, now: float, eager: bool) -> None:
        settings = self._core.settings
        every = settings.sync_every_ms
        if eager:
            every = min(every, EAGER * settings.probe_every_ms)
        self._due = now + every * (0.75 + 0.5 * self._core.draw())
        self._core.agenda.at(self._due, "sync")

    def _lost(self, live: list[Address]) -> list[Address]:
        core = self._core
        failed = [unpack_address(m.update.address) for m in core.table.others(MemberState.FAILED)]
        known = {*live, *failed, core.settings.address}
        return failed + [seed for seed in core.settings.seeds if seed not in known]
