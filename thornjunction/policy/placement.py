"""Which server: an edge cache by a hash of the object, one of two hashed parents as source (DESIGN)."""

from __future__ import annotations

import math
import zlib
from collections.abc import Callable, Iterable

from thornjunction import interface as api
from thornjunction.estimates import Mean, mix, rendezvous
from thornjunction.limits.idempotency import discarded, window_left
from thornjunction.limits.slow_start import ColdBudgets
from thornjunction.policy.attempts import MARGIN, Job, Server

ORDERS = 8192  # preferences kept at most
CHOICES = 2  # caches by hash that a new request may go to: hot objects get a second copy (paper, section 3)
FAR = 2.0  # a far parent's first byte, times, where it is not told


class Placement:
    """The list of servers, and who of them may take what."""

    def __init__(self, settings: api.Settings, fetch: Mean, draw: Callable[[], float]) -> None:
        self.settings, self.fetch, self.draw, self.cold = settings, fetch, draw, ColdBudgets(draw)
        self.servers: dict[str, Server] = {}
        self.by_role: dict[api.Role, list[Server]] = {role: [] for role in api.Role}  # edges: of this zone
        self.caches: dict[str, list[Server]] = {}  # edges by zone
        self.orders: dict[tuple[int, str], list[Server]] = {}  # preferences, until the list changes

    def take(self, event: api.Servers, now: float) -> None:
        """A list, or its changes."""
        named, zone = {entry.server for entry in event.entries}, self.settings.zone
        if event.whole:
            self.servers = {name: server for name, server in self.servers.items() if name in named}
        for entry in event.entries:
            server = self.servers.get(entry.server)
            if entry.state is not api.State.SERVING:  # rule 3: at once, well within any grace
                self.servers.pop(entry.server, None)
            elif server is None or entry.started_ms != server.entry.started_ms:  # also a new process
                self.servers[entry.server] = Server(entry, now)
            else:
                server.entry = entry
        self.by_role = {role: [s for s in self.servers.values() if s.entry.role is role] for role in api.Role}
        self.caches = {}
        for cache in self.by_role[api.Role.EDGE]:
            self.caches.setdefault(cache.entry.zone, []).append(cache)
        self.by_role[api.Role.EDGE] = self.caches.get(zone, [])
        self.orders.clear()
        self.cold.most = {role: max(most, len(self.by_role[role])) for role, most in self.cold.most.items()}

    def avoided(self, listed: Iterable[str], now: float) -> int:
        """How many of these get nothing now: they leave, or are out after failures."""
        return sum(s is None or not s.open_to(now) for s in map(self.servers.get, listed))

    def preference(self, copy: int, servers: list[Server]) -> list[Server]:
        """Rendezvous order, by weight where it is told: a server that leaves moves its own objects only."""
        known = self.orders.get((copy, servers[0].id)) if servers else []
        if known is not None:
            return known

        def score(server: Server) -> float:
            return rendezvous(copy, server.salt, server.entry.weight if self.settings.weighted else 1.0)

        if len(self.orders) >= ORDERS:
            del self.orders[next(iter(self.orders))]
        order = self.orders[copy, servers[0].id] = sorted(servers, key=score, reverse=True)
        return order

    def first_byte(self, parent: Server) -> float:
        """Smoothed; where answers do not tell it, hits blur it, and distance counts too."""
        far = self.settings.zone_hub.get(self.settings.zone) != parent.entry.zone
        far = far and self.settings.notes is api.Notes.NONE
        return parent.first_byte.get(self.fetch.get(1.0)) * (FAR if far else 1.0)

    def source(self, job: Job, now: float) -> Server | None:
        """Of two parents the one with the lower first-byte time; where neither can, others or the origin."""
        origins = self.by_role[api.Role.ORIGIN]
        parents = self.preference(job.copy, [] if job.kind.passes else self.by_role[api.Role.PARENT])
        ordered = sorted(parents[:2], key=self.first_byte) + parents[2:]
        able = [s for s in ordered + origins if s.id not in job.tried and s.open_to(now)]
        return next((s for s in able if self.within_budget(s, job.fill, now)), next(iter(origins), None))

    def no_parents(self, source: Server) -> bool:
        """Whether misses are filled from the origin itself; it has all, so ``held_only`` spares nothing."""
        return source.entry.role is api.Role.ORIGIN and not self.by_role[api.Role.PARENT]

    def sibling(self, job: Job, target: Server, now: float) -> Server | None:
        """The cache that is likely to hold it, of each location the first by
        hash, of the own one the first two.  Near ones first; then by hash, or one would be asked by all."""
        here, hubs, may = self.settings.zone, self.settings.zone_hub, self.settings.siblings
        if may is api.Siblings.NONE:
            return None

        def far(zone: str) -> tuple[bool, bool, int]:
            return zone != here, hubs.get(zone) != hubs.get(here), mix(job.copy ^ zlib.crc32(zone.encode()))

        zones = sorted(self.caches, key=far) if may is api.Siblings.ANY else [here]
        for zone in zones:
            likely = self.preference(job.copy, self.caches.get(zone, []))
            for cache in likely[: CHOICES if zone == here else 1]:
                new = cache is not target and cache.id not in job.tried and cache.open_to(now)
                if (
                    new and self.cold.rate(cache.entry, cache.bucket, now) == math.inf
                ):  # cold ones hold little
                    return cache
        return None

    def cache(self, job: Job, now: float) -> Server | None:
        """The first by hash, bar cold ones past their budget, ejected or tried ones (unless all are) and
        those whose gate is shut.  Where both choices are shut, new ones are refused."""
        order = self.preference(job.copy, self.by_role[api.Role.EDGE])
        order = [s for s in order if self.may_resend(job, s, now) and self.within_budget(s, job.mean, now)]
        able = [s for s in order if s.open_to(now)] or [s for s in order if not s.down]
        able = [s for s in able if s.id not in job.tried] or able
        free = [s for s in able[:CHOICES] if s.gate.lets(now, self.draw, *job.weights)]
        return next(iter(free or (able if job.attempts > 0 or job.kind.passes else [])), None)

    def may_resend(self, job: Job, server: Server, now: float) -> bool:
        """Rule 2: what may have run is resent only where and while its repeat is discarded."""
        return discarded(job.kind, job.maybe, server.entry, window_left(job.kind, job.maybe, now) - MARGIN)

    def within_budget(self, server: Server, work: float, now: float, take: bool = False) -> bool:
        return self.cold.within(server.entry, server.bucket, work, now, take)

    def worth_waiting(self, job: Job, now: float) -> bool:
        """All that may take it are down, or cold and past a budget that will grow."""
        caches = [cache for cache in self.by_role[api.Role.EDGE] if self.may_resend(job, cache, now)]
        return bool(caches) and not any(self.within_budget(s, job.mean, now) and not s.down for s in caches)
