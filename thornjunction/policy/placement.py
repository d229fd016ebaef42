"""Which server takes a request: an edge cache by a hash of the object, one of two hashed parents as source.

The ordinary path follows Song et al., section 3.  ``candidates.py`` ranks the servers for an object; here it
is decided which of them may take this request now.  The ranking is iterated over lazily: a decision examines
the first few servers, and ``SERVERS_EXAMINED`` of them only where none of these is usable.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Callable, Iterable, Iterator
from enum import IntEnum
from itertools import islice

from thornjunction import interface as api
from thornjunction.estimates import SmoothedMean, mix64
from thornjunction.limits.idempotency import is_repeat_safe, repeat_window_ms
from thornjunction.limits.slow_start import SlowStart
from thornjunction.policy.candidates import CANDIDATES_KEPT
from thornjunction.policy.requests import PendingRequest
from thornjunction.policy.server_list import ServerList
from thornjunction.policy.timing import ANSWER_MARGIN_MS
from thornjunction.policy.upstreams import Upstream

# Caches that a new request may go to: hot objects get a second copy (paper, section 3).
CACHE_CHOICES = 2
# Parents of which the faster one is the source (paper, section 3).
PARENT_CHOICES = 2
# Servers that a decision examines at most: where a tenth is usable, all but 1 decision in 10**11 find one.
SERVERS_EXAMINED = 256
# A far parent's first byte over a near one's, where outcomes do not tell it.
FAR_FACTOR = 2.0
# Time to the first byte of any source, until one was measured; only its being the same matters.
DEFAULT_FIRST_BYTE_MS = 1.0


class Fitness(IntEnum):
    """How fit a cache is for the next attempt of a request; lower is better."""

    UNTRIED = 0  # in service, and it has not failed this request
    TRIED = 1  # in service
    EJECTED_UNTRIED = 2  # out of service after failures, though its process was not found to be away
    EJECTED_TRIED = 3


class Placement:
    """Who of the listed servers may take what."""

    def __init__(
        self,
        settings: api.Settings,
        mean_fetch_ms: SmoothedMean,
        draw: Callable[[], float],
        router_hash: int,
    ) -> None:
        """Start without servers; ``router_hash`` tells this router from the others of its site."""
        self.settings = settings
        self.slow_start = SlowStart(draw)
        self.server_list = ServerList(settings.zone)
        self._mean_fetch_ms = mean_fetch_ms  # to the first byte of a fill, of all sources
        self._draw = draw
        self._router_hash = router_hash

    def adopt(self, settings: api.Settings) -> None:
        """Place by these settings from now on."""
        self.settings = settings
        self.slow_start.adopt(settings)

    def update(self, event: api.EndpointListUpdate, now_ms: float) -> None:
        """Take in a list of servers, or its changes."""
        self.server_list.update(event, self.settings, now_ms)
        self.slow_start.note_listed(api.Role.EDGE, len(self.server_list.site_caches))
        for role, group in self.server_list.sources.items():
            self.slow_start.note_listed(role, len(group))

    def _ranked_caches(self, object_hash: int, skipped_blocks: int = 0) -> Iterator[Upstream]:
        """The caches of this zone in the order in which this router asks them for an object."""
        return self.server_list.site_caches.candidates(
            object_hash, self.settings.servers_weighted, self._router_hash, skipped_blocks
        )

    def _likely_holders(self, object_hash: int, zone: str) -> Iterator[Upstream]:
        """The caches of a zone that are likely to hold an object, the likeliest first.

        In each block of another zone one holds it; which block is asked depends on the object.
        """
        if zone == self.settings.zone:
            return self._ranked_caches(object_hash)
        return self.server_list.caches[zone].candidates(
            object_hash, self.settings.servers_weighted, asker_hash=object_hash
        )

    def _expected_first_byte_ms(self, parent: Upstream) -> float:
        """Smoothed ms to a parent's first byte.

        Where outcomes do not tell it, hits blur it, so distance counts too.
        """
        measured = parent.first_byte_ms.get(self._mean_fetch_ms.get(DEFAULT_FIRST_BYTE_MS))
        is_far = self.settings.hub_by_zone.get(self.settings.zone) != parent.entry.zone
        if is_far and self.settings.fill_reporting is api.FillReporting.NONE:
            return measured * FAR_FACTOR
        return measured

    def choose_source(self, request: PendingRequest, now_ms: float) -> Upstream | None:
        """Where a miss is filled from: of two parents the one with the lower first-byte time.

        Where neither can, another parent, or an origin.
        """
        for server in self._sources(request):
            usable = server.id not in request.tried_servers and server.is_available(now_ms)
            if usable and self.within_budget(server, request.fill_cost_ms, now_ms):
                return server
        return next(iter(self.server_list.sources[api.Role.ORIGIN]), None)

    def _sources(self, request: PendingRequest) -> Iterator[Upstream]:
        """All sources for a request, the best first."""
        if not request.request_class.uncacheable:
            ranked = self.server_list.sources[api.Role.PARENT].candidates(
                request.object_hash, self.settings.servers_weighted
            )
            parents = islice(ranked, SERVERS_EXAMINED)
            yield from sorted(islice(parents, PARENT_CHOICES), key=self._expected_first_byte_ms)
            yield from parents
        yield from self.server_list.sources[api.Role.ORIGIN]

    def fills_from_origin(self, source: Upstream) -> bool:
        """Whether misses are filled from the origin itself; it has all, so ``cached_only`` spares nothing."""
        return source.entry.role is api.Role.ORIGIN and not self.server_list.sources[api.Role.PARENT]

    def choose_peer(self, request: PendingRequest, target: Upstream, now_ms: float) -> Upstream | None:
        """The cache, other than the target, that is likely to hold an object.

        Of each zone the first by hash counts, of this router's zone the first two. Cold caches hold little.
        """
        for zone in self._peer_zones(request):
            choices = CACHE_CHOICES if zone == self.settings.zone else 1
            for cache in islice(self._likely_holders(request.object_hash, zone), choices):
                if cache is target or cache.id in request.tried_servers:
                    continue
                is_warm = self.slow_start.rate(cache.entry, cache.slow_start_window, now_ms) == math.inf
                if is_warm and cache.is_available(now_ms):
                    return cache
        return None

    def _peer_zones(self, request: PendingRequest) -> Iterator[str]:
        """Zones whose caches may be asked: this router's first, then those of the same hub.

        Among these they are ordered by hash, or one zone would be asked by all.
        """
        own_zone = self.settings.zone
        hubs = self.settings.hub_by_zone
        if self.settings.peer_fill is api.PeerFill.NONE:
            return
        if own_zone in self.server_list.caches:
            yield own_zone
        if self.settings.peer_fill is not api.PeerFill.ANY:
            return

        def distance(zone: str) -> tuple[bool, int]:
            zone_hash = mix64(request.object_hash ^ zlib.crc32(zone.encode()))
            return hubs.get(zone) != hubs.get(own_zone), zone_hash

        yield from sorted(self.server_list.caches.keys() - {own_zone}, key=distance)

    def choose_cache(self, request: PendingRequest, now_ms: float) -> Upstream | None:
        """The cache that takes the next attempt: of the two best, the first whose gate lets it through.

        Where both gates are shut, those of the next block count, in a site that has several. Where these are
        shut too, a new request is rejected; one that was tried already, or that is passed through, goes to
        the first.
        """
        able = self._able_caches(request, self._ranked_caches(request.object_hash), now_ms)
        chosen = self._first_admitting(request, able, now_ms)
        if chosen is None and able and self.server_list.site_caches.block_count > 1:
            further = self._able_caches(request, self._ranked_caches(request.object_hash, 1), now_ms)
            unasked = [server for server in further if server not in able]
            chosen = self._first_admitting(request, unasked, now_ms)
        if chosen is not None:
            return chosen
        must_go = request.attempts_started > 0 or request.request_class.uncacheable
        return able[0] if able and must_go else None

    def _first_admitting(
        self, request: PendingRequest, servers: Iterable[Upstream], now_ms: float
    ) -> Upstream | None:
        """The first of the servers whose gate lets the request through; each gate is asked."""
        admitted_by = [
            server
            for server in servers
            if server.gate.admits(now_ms, self._draw, request.size_weight, request.class_size_weight)
        ]
        return admitted_by[0] if admitted_by else None

    def _able_caches(
        self, request: PendingRequest, ranked: Iterator[Upstream], now_ms: float
    ) -> list[Upstream]:
        """The best of these caches for the next attempt, two at most, all of the best fitness that any has.

        The first few are examined in any case: so the windows in which cold ones have their budgets go on
        however seldom these are needed.
        """
        untried: list[Upstream] = []
        others: list[tuple[Fitness, Upstream]] = []
        for place, server in enumerate(self._repeatable(request, ranked, now_ms), start=1):
            fitness = self._fitness(request, server, now_ms)
            if fitness is Fitness.UNTRIED:
                untried.append(server)
            elif fitness is not None:
                others.append((fitness, server))
            if place >= CANDIDATES_KEPT and len(untried) >= CACHE_CHOICES:
                break
        if untried or not others:
            return untried[:CACHE_CHOICES]
        best = min(fitness for fitness, _ in others)
        return [server for fitness, server in others if fitness is best][:CACHE_CHOICES]

    def _fitness(self, request: PendingRequest, server: Upstream, now_ms: float) -> Fitness | None:
        """How fit a cache is for the next attempt of this request; None: it must not get it."""
        cost_ms = request.cache_cost_ms
        if not self.slow_start.admits(server.entry, server.slow_start_window, cost_ms, now_ms):
            return None
        is_tried = server.id in request.tried_servers
        if server.is_available(now_ms):
            return Fitness.TRIED if is_tried else Fitness.UNTRIED
        if server.is_unreachable:
            return None
        return Fitness.EJECTED_TRIED if is_tried else Fitness.EJECTED_UNTRIED

    def _repeatable(
        self, request: PendingRequest, servers: Iterable[Upstream], now_ms: float
    ) -> Iterator[Upstream]:
        """Those of the servers that the request may be sent to by rule 2, ``SERVERS_EXAMINED`` at most."""
        if request.possible_execution is None:
            return islice(servers, SERVERS_EXAMINED)
        allowed = (server for server in servers if self.may_repeat_at(request, server, now_ms))
        return islice(allowed, SERVERS_EXAMINED)

    def may_repeat_at(self, request: PendingRequest, server: Upstream, now_ms: float) -> bool:
        """Rule 2: what may have been executed is sent again only where and while its repeat is discarded."""
        request_class = request.request_class
        execution = request.possible_execution
        window_ms = repeat_window_ms(request_class, execution, now_ms) - ANSWER_MARGIN_MS
        return is_repeat_safe(request_class, execution, server.entry, window_ms)

    def within_budget(self, server: Upstream, transfer_ms: float, now_ms: float) -> bool:
        """Rule 4: whether a server that started lately bears so much more transfer time."""
        return self.slow_start.admits(server.entry, server.slow_start_window, transfer_ms, now_ms)

    def charge(self, server: Upstream, transfer_ms: float, now_ms: float) -> None:
        """Rule 4: count what is sent to a server that started lately."""
        self.slow_start.charge(server.entry, server.slow_start_window, transfer_ms, now_ms)

    def is_worth_waiting(self, request: PendingRequest, now_ms: float) -> bool:
        """Whether some cache may take the request later.

        So where all that may take it are unreachable, or cold and past a budget that will grow.
        """
        caches = self.server_list.site_caches
        # A small group is examined whole, in any order; ranking it would take longer.
        is_small = len(caches) <= SERVERS_EXAMINED
        servers = iter(caches) if is_small else self._ranked_caches(request.object_hash)
        may_take_later = False
        for server in self._repeatable(request, servers, now_ms):
            if self.within_budget(server, request.cache_cost_ms, now_ms) and not server.is_unreachable:
                return False
            may_take_later = True
        return may_take_later
