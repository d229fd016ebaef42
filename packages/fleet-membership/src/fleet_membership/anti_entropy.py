"""Anti-entropy: members compare their tables by digests and send each other the claims that differ.

Most exchanges are with a live member; every third one is with a member that failed, or with a seed that is
not among the live ones.  These let two sides of a partition merge after it heals, and let a member join.
"""

from __future__ import annotations

from gossip_codec import MAX_UPDATES, MemberState, Sync, Update, UpdateBatch, unpack_address
from sansio_core import Address

from fleet_membership.context import MemberContext
from fleet_membership.member_table import LIVE_STATES
from fleet_membership.tasks import SynchronizeTables

# One exchange in this many is with an unreachable peer.
EXCHANGES_PER_UNREACHABLE = 3

# Maximum number of datagrams sent in one exchange; a larger difference takes several exchanges.
MAX_EXCHANGE_DATAGRAMS = 16

# Interval between exchanges, in probe intervals, while there is no majority or while tables differ.
EAGER_PROBE_INTERVALS = 2.0

# Lower bound of the random factor that is applied to the interval between exchanges.
MIN_JITTER = 0.75

# Width of the range of that factor; the jitter keeps routers from exchanging at the same time.
JITTER_RANGE = 0.5


class AntiEntropy:
    """Exchanges member tables with peers."""

    def __init__(self, context: MemberContext) -> None:
        self._context = context
        self._exchanges = 0
        self._next_unknown_sender_ms = float("-inf")
        self._due_ms = float("inf")

    def start(self, now: float) -> None:
        """Request the tables of all seeds and schedule the periodic exchanges."""
        settings = self._context.settings
        for seed in settings.seeds:
            if seed != settings.address:
                self._request(seed)
        self._schedule_next(now, eager=True)

    def run_exchange(self, now: float, has_majority: bool) -> None:
        """Run the periodic exchange; the task of an exchange that was rescheduled has no effect."""
        if now < self._due_ms:
            return
        self._schedule_next(now, eager=not has_majority)
        self._exchanges += 1
        for peer in self._choose_peers(has_majority):
            self._request(peer)

    def synchronize_with_unknown_sender(self, now: float, peer: Address) -> None:
        """Exchange tables with a sender that is not in the table, at most once per probe interval."""
        if now >= self._next_unknown_sender_ms:
            self._next_unknown_sender_ms = now + self._context.settings.probe_every_ms
            self._request(peer)

    def handle_sync(self, now: float, peer: Address, message: Sync) -> None:
        """Reply with the claims of the buckets that differ, if any, and run the next exchange earlier."""
        context = self._context
        differing = context.table.differing_claims(message.digests)
        if not differing:
            return
        if self._due_ms > now + EAGER_PROBE_INTERVALS * context.settings.probe_every_ms:
            self._schedule_next(now, eager=True)
        self._send_claims(peer, differing)
        if not message.is_reply:
            sync = Sync(context.table.digests(), is_reply=True)
            context.send(peer, sync, (context.table.local_update,))

    def _send_claims(self, peer: Address, claims: list[Update]) -> None:
        """Send claims from a random offset, so that later exchanges send those that do not fit now."""
        start = int(self._context.random() * len(claims))
        remaining = claims[start:] + claims[:start]
        for _ in range(MAX_EXCHANGE_DATAGRAMS):
            sent_count = self._context.send(peer, UpdateBatch(), remaining[:MAX_UPDATES])
            remaining = remaining[sent_count:]
            if not remaining:
                break

    def _request(self, peer: Address) -> None:
        table = self._context.table
        self._context.send(peer, Sync(table.digests(), is_reply=False), (table.local_update,))

    def _schedule_next(self, now: float, eager: bool) -> None:
        settings = self._context.settings
        interval_ms = settings.sync_every_ms
        if eager:
            interval_ms = min(interval_ms, EAGER_PROBE_INTERVALS * settings.probe_every_ms)
        self._due_ms = now + interval_ms * (MIN_JITTER + JITTER_RANGE * self._context.random())
        self._context.schedule.add(self._due_ms, SynchronizeTables())

    def _choose_peers(self, has_majority: bool) -> list[Address]:
        context = self._context
        live = [unpack_address(member.update.address) for member in context.table.others(*LIVE_STATES)]
        unreachable = self._unreachable(live)
        if not has_majority or not live:
            return context.sample(live, 1) + context.sample(unreachable, 2)
        if unreachable and self._exchanges % EXCHANGES_PER_UNREACHABLE == 0:
            return context.sample(unreachable, 1)
        return context.sample(live, 1)

    def _unreachable(self, live: list[Address]) -> list[Address]:
        """Return the addresses of failed members, and of seeds that are neither live nor failed."""
        context = self._context
        failed = [
            unpack_address(member.update.address) for member in context.table.others(MemberState.FAILED)
        ]
        known = {*live, *failed, context.settings.address}
        return failed + [seed for seed in context.settings.seeds if seed not in known]
