"""Which server: an edge cache by a hash of the object, one of two hashed parents as source (DESIGN)."""

from __future__ import annotations

import math
import zlib
from collections.abc import Callable, Iterable

from thornjunction import interface as api
from thornjunction.estimates import SmoothedMean, mix64, rendezvous_score
from thornjunction.limits.idempotency import is_repeat_safe, repeat_window_ms
from thornjunction.limits.slow_start import SlowStart
from thornjunction.policy.requests import PendingRequest
from thornjunction.policy.timing import ANSWER_MARGIN_MS
from thornjunction.policy.upstreams import Upstream

ORDERS = 8192  # preferences kept at most
CHOICES = 2  # caches by hash that a new request may go to: hot objects get a second copy (paper, section 3)
FAR = 2.0  # a far parent's first byte, times, where it is not told


class Placement:
    """The list of servers, and who of them may take what."""

    def __init__(self, settings: api.Settings, fetch: SmoothedMean, draw: Callable[[], float]) -> None:
        self.settings, self.fetch, self.draw, self.slow_start = settings, fetch, draw, SlowStart(draw)
        self.servers: dict[str, Upstream] = {}
        self.by_role: dict[api.Role, list[Upstream]] = {role: [] for role in api.Role}  # edges: of this zone
        self.caches: dict[str, list[Upstream]] = {}  # edges by zone
        self.orders: dict[tuple[int, str], list[Upstream]] = {}  # preferences, until the list changes

    def adopt(self, settings: api.Settings) -> None:
        """Place by these settings from now on."""
        self.settings = settings
        self.slow_start.adopt(settings)

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
                self.servers[entry.server] = Upstream(entry, now)
            else:
                server.entry = entry
        self.by_role = {role: [s for s in self.servers.values() if s.entry.role is role] for role in api.Role}
        self.caches = {}
        for cache in self.by_role[api.Role.EDGE]:
            self.caches.setdefault(cache.entry.zone, []).append(cache)
        self.by_role[api.Role.EDGE] = self.caches.get(zone, [])
        self.orders.clear()
        for role, listed in self.by_role.items():
            self.slow_start.note_listed(role, len(listed))

    def avoided(self, listed: Iterable[str], now: float) -> int:
        """How many of these get nothing now: they leave, or are out after failures."""
        return sum(s is None or not s.is_available(now) for s in map(self.servers.get, listed))

    def preference(self, copy: int, servers: list[Upstream]) -> list[Upstream]:
        """Rendezvous order, by weight where it is told: a server that leaves moves its own objects only."""
        known = self.orders.get((copy, servers[0].id)) if servers else []
        if known is not None:
            return known

        def score(server: Upstream) -> float:
            return rendezvous_score(copy, server.salt, server.entry.weight if self.settings.weighted else 1.0)

        if len(self.orders) >= ORDERS:
            del self.orders[next(iter(self.orders))]
        order = self.orders[copy, servers[0].id] = sorted(servers, key=score, reverse=True)
        return order

    def first_byte(self, parent: Upstream) -> float:
        """Smoothed; where answers do not tell it, hits blur it, and distance counts too."""
        far = self.settings.zone_hub.get(self.settings.zone) != parent.entry.zone
        far = far and self.settings.notes is api.Notes.NONE
        return parent.first_byte_ms.get(self.fetch.get(1.0)) * (FAR if far else 1.0)

    def source(self, request: PendingRequest, now: float) -> Upstream | None:
        """Of two parents the one with the lower first-byte time; where neither can, others or the origin."""
        origins = self.by_role[api.Role.ORIGIN]
        parents = self.preference(
            request.object_hash, [] if request.request_class.passes else self.by_role[api.Role.PARENT]
        )
        ordered = sorted(parents[:2], key=self.first_byte) + parents[2:]
        able = [s for s in ordered + origins if s.id not in request.tried_servers and s.is_available(now)]
        return next(
            (s for s in able if self.within_budget(s, request.fill_cost_ms, now)), next(iter(origins), None)
        )

    def no_parents(self, source: Upstream) -> bool:
        """Whether misses are filled from the origin itself; it has all, so ``held_only`` spares nothing."""
        return source.entry.role is api.Role.ORIGIN and not self.by_role[api.Role.PARENT]

    def sibling(self, request: PendingRequest, target: Upstream, now: float) -> Upstream | None:
        """The other cache that is likely to hold it: of each zone the first by hash, of this one two.

        Near zones first; then by hash, or one zone would be asked by all.
        """
        here, hubs, may = self.settings.zone, self.settings.zone_hub, self.settings.siblings
        if may is api.Siblings.NONE:
            return None

        def far(zone: str) -> tuple[bool, bool, int]:
            return (
                zone != here,
                hubs.get(zone) != hubs.get(here),
                mix64(request.object_hash ^ zlib.crc32(zone.encode())),
            )

        zones = sorted(self.caches, key=far) if may is api.Siblings.ANY else [here]
        for zone in zones:
            likely = self.preference(request.object_hash, self.caches.get(zone, []))
            for cache in likely[: CHOICES if zone == here else 1]:
                new = (
                    cache is not target and cache.id not in request.tried_servers and cache.is_available(now)
                )
                if (
                    new and self.slow_start.rate(cache.entry, cache.slow_start, now) == math.inf
                ):  # cold ones hold little
                    return cache
        return None

    def cache(self, request: PendingRequest, now: float) -> Upstream | None:
        """The first by hash that may take it.

        Cold ones past their budget, ejected or tried ones (unless all are) and those whose gate is shut are
        left out.  Where the gates of both candidates are shut, new requests are rejected.
        """
        order = self.preference(request.object_hash, self.by_role[api.Role.EDGE])
        order = [
            s
            for s in order
            if self.may_resend(request, s, now) and self.within_budget(s, request.cache_cost_ms, now)
        ]
        able = [s for s in order if s.is_available(now)] or [s for s in order if not s.is_unreachable]
        able = [s for s in able if s.id not in request.tried_servers] or able
        free = [
            s
            for s in able[:CHOICES]
            if s.gate.admits(now, self.draw, request.size_weight, request.class_size_weight)
        ]
        return next(
            iter(free or (able if request.attempts_started > 0 or request.request_class.passes else [])), None
        )

    def may_resend(self, request: PendingRequest, server: Upstream, now: float) -> bool:
        """Rule 2: what may have run is resent only where and while its repeat is discarded."""
        window_ms = (
            repeat_window_ms(request.request_class, request.possible_execution, now) - ANSWER_MARGIN_MS
        )
        return is_repeat_safe(request.request_class, request.possible_execution, server.entry, window_ms)

    def within_budget(self, server: Upstream, work: float, now: float) -> bool:
        """Whether slow start lets a server take this much transfer time, in ms."""
        return self.slow_start.admits(server.entry, server.slow_start, work, now)

    def charge(self, server: Upstream, work: float, now: float) -> None:
        """Count what is sent against the budget of a server that is cold."""
        self.slow_start.charge(server.entry, server.slow_start, work, now)

    def worth_waiting(self, request: PendingRequest, now: float) -> bool:
        """All that may take it are down, or cold and past a budget that will grow."""
        caches = [cache for cache in self.by_role[api.Role.EDGE] if self.may_resend(request, cache, now)]
        return bool(caches) and not any(
            self.within_budget(s, request.cache_cost_ms, now) and not s.is_unreachable for s in caches
        )
