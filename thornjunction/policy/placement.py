"""Placement: chooses the edge cache that takes a request, and the source that fills a miss.

An ordinary request is placed as in Song et al., section 3: a hash of the object selects the cache and two
parents.  ``candidates.py`` ranks the servers for an object; this module decides which of them may take this
request now.  A decision iterates over the ranking lazily: it examines the first few servers, and up to
``SERVERS_EXAMINED`` only if none of these is usable.

Rules 2 and 4 in the docstrings are numbered as in the reports of the operators' simulator, lbsim.
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

# Caches that a new request may be sent to: a popular object gets a second copy (paper, section 3).
CACHE_CHOICES = 2
# Parents among which the one with the lower first-byte time is the source (paper, section 3).
PARENT_CHOICES = 2
# Bound on the servers that a decision examines: if a tenth is usable, 1 decision in 10**11 finds none.
SERVERS_EXAMINED = 256
# First-byte time of a parent outside this zone's hub, as a multiple of one inside, if outcomes do not
# report it.
REMOTE_PARENT_FACTOR = 2.0
# First-byte time of every source until one was measured; its value does not matter, as it is the same for
# all.
DEFAULT_FIRST_BYTE_MS = 1.0


class Fitness(IntEnum):
    """How fit a cache is for the next attempt of a request; lower is better."""

    UNTRIED = 0  # in service, and did not fail this request
    TRIED = 1  # in service, but failed this request
    EJECTED_UNTRIED = 2  # ejected but not unreachable, and did not fail this request
    EJECTED_TRIED = 3  # ejected but not unreachable, and failed this request


class Placement:
    """Chooses the cache, source or peer for a request among the listed servers."""

    def __init__(
        self,
        settings: api.Settings,
        mean_fetch_ms: SmoothedMean,
        draw: Callable[[], float],
        router_hash: int,
    ) -> None:
        """Start without servers; ``router_hash`` distinguishes this router from the others of its site."""
        self.settings = settings
        self.slow_start = SlowStart(draw)
        self.server_list = ServerList(settings.zone)
        # Time to the first byte of a fill, over all sources.
        self._mean_fetch_ms = mean_fetch_ms
        self._draw = draw
        self._router_hash = router_hash

    def adopt(self, settings: api.Settings) -> None:
        """Use these settings for all later placements."""
        self.settings = settings
        self.slow_start.adopt(settings)

    def update(self, event: api.EndpointListUpdate, now_ms: float) -> None:
        """Apply a list of servers, or changes to it."""
        self.server_list.update(event, self.settings, now_ms)
        caches = self.server_list.site_caches
        self.slow_start.record_listed(api.Role.EDGE, len(caches), caches.total_weight)
        for role, group in self.server_list.sources.items():
            self.slow_start.record_listed(role, len(group), group.total_weight)

    def _ranked_caches(self, object_hash: int, skipped_blocks: int = 0) -> Iterator[Upstream]:
        """Return the caches of this zone in the order in which this router uses them for an object."""
        return self.server_list.site_caches.candidates(
            object_hash, self.settings.servers_weighted, self._router_hash, skipped_blocks
        )

    def _likely_holders(self, object_hash: int, zone: str) -> Iterator[Upstream]:
        """Return the caches of a zone that are likely to have an object, the most likely first.

        In another zone, each block has a cache for the object; the object's hash selects the block.
        """
        if zone == self.settings.zone:
            return self._ranked_caches(object_hash)
        return self.server_list.caches[zone].candidates(
            object_hash, self.settings.servers_weighted, block_order_hash=object_hash
        )

    def _expected_first_byte_ms(self, parent: Upstream) -> float:
        """Return a parent's smoothed first-byte time.

        If outcomes do not report it, it is estimated from hits too, so a remote parent gets a penalty.
        """
        measured = parent.first_byte_ms.get(self._mean_fetch_ms.get(DEFAULT_FIRST_BYTE_MS))
        is_remote = self.settings.hub_by_zone.get(self.settings.zone) != parent.entry.zone
        if is_remote and self.settings.fill_reporting is api.FillReporting.NONE:
            return measured * REMOTE_PARENT_FACTOR
        return measured

    def choose_source(self, request: PendingRequest, now_ms: float) -> Upstream | None:
        """Return the source of a miss: of the two best parents the one with the lower first-byte time.

        If neither is usable, this is another parent or else an origin.
        """
        for server in self._sources(request):
            usable = server.id not in request.tried_servers and server.is_available(now_ms)
            if usable and self.is_within_budget(server, request.fill_cost_ms, now_ms):
                return server
        return next(iter(self.server_list.sources[api.Role.ORIGIN]), None)

    def _sources(self, request: PendingRequest) -> Iterator[Upstream]:
        """Yield the sources for a request, the best first; an uncacheable one has only origins."""
        if not request.request_class.uncacheable:
            ranked = self.server_list.sources[api.Role.PARENT].candidates(
                request.object_hash, self.settings.servers_weighted
            )
            parents = islice(ranked, SERVERS_EXAMINED)
            yield from sorted(islice(parents, PARENT_CHOICES), key=self._expected_first_byte_ms)
            yield from parents
        yield from self.server_list.sources[api.Role.ORIGIN]

    def fills_from_origin(self, source: Upstream) -> bool:
        """Return whether the origin itself fills misses, without a parent that ``cached_only`` can limit."""
        return source.entry.role is api.Role.ORIGIN and not self.server_list.sources[api.Role.PARENT]

    def choose_peer(self, request: PendingRequest, target: Upstream, now_ms: float) -> Upstream | None:
        """Return a warm cache, other than the target, that is likely to have an object, or None.

        It examines the first cache by hash of each zone, and the first two of this router's zone.
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
        """Yield the zones of peers that the settings allow: this router's, those of its hub, then all others.

        Within these groups the object's hash orders them, so that not all routers use the same zone.
        """
        local_zone = self.settings.zone
        hubs = self.settings.hub_by_zone
        if self.settings.peer_fill is api.PeerFill.NONE:
            return
        if local_zone in self.server_list.caches:
            yield local_zone
        if self.settings.peer_fill is not api.PeerFill.ANY:
            return

        def distance(zone: str) -> tuple[bool, int]:
            zone_hash = mix64(request.object_hash ^ zlib.crc32(zone.encode()))
            return hubs.get(zone) != hubs.get(local_zone), zone_hash

        yield from sorted(self.server_list.caches.keys() - {local_zone}, key=distance)

    def choose_cache(self, request: PendingRequest, now_ms: float) -> Upstream | None:
        """Return the cache for the next attempt: the first of the two best whose gate admits the request.

        If neither gate does, the two best of the next block are tried, in a site that has several. If their
        gates do not either, a new request gets no cache; a retry or an uncacheable request gets the best one.
        """
        eligible = self._eligible_caches(request, self._ranked_caches(request.object_hash), now_ms)
        chosen = self._first_admitting(request, eligible, now_ms)
        if chosen is None and eligible and self.server_list.site_caches.block_count > 1:
            next_block = self._eligible_caches(request, self._ranked_caches(request.object_hash, 1), now_ms)
            others = [server for server in next_block if server not in eligible]
            chosen = self._first_admitting(request, others, now_ms)
        if chosen is not None:
            return chosen
        must_be_sent = request.attempts_started > 0 or request.request_class.uncacheable
        return eligible[0] if eligible and must_be_sent else None

    def _first_admitting(
        self, request: PendingRequest, servers: Iterable[Upstream], now_ms: float
    ) -> Upstream | None:
        """Return the first server whose gate admits the request.

        Every gate is asked, and draws a random number if it is not fully open.
        """
        admitting = [
            server
            for server in servers
            if server.gate.admits(now_ms, self._draw, request.size_weight, request.class_size_weight)
        ]
        return admitting[0] if admitting else None

    def _eligible_caches(
        self, request: PendingRequest, ranked: Iterator[Upstream], now_ms: float
    ) -> list[Upstream]:
        """Return up to two caches for the next attempt, the first of those with the best fitness.

        At least ``CANDIDATES_KEPT`` are examined, so that the slow-start windows of cold ones advance
        although they are seldom needed.
        """
        untried: list[Upstream] = []
        others: list[tuple[Fitness, Upstream]] = []
        for position, server in enumerate(self._repeatable(request, ranked, now_ms), start=1):
            fitness = self._fitness(request, server, now_ms)
            if fitness is Fitness.UNTRIED:
                untried.append(server)
            elif fitness is not None:
                others.append((fitness, server))
            if position >= CANDIDATES_KEPT and len(untried) >= CACHE_CHOICES:
                break
        if untried or not others:
            return untried[:CACHE_CHOICES]
        best = min(fitness for fitness, _ in others)
        return [server for fitness, server in others if fitness is best][:CACHE_CHOICES]

    def _fitness(self, request: PendingRequest, server: Upstream, now_ms: float) -> Fitness | None:
        """Return the fitness of a cache for the next attempt of this request; None if it must not get it."""
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
        """Iterate over the first ``SERVERS_EXAMINED`` servers that rule 2 of the simulator allows."""
        if request.possible_execution is None:
            return islice(servers, SERVERS_EXAMINED)
        allowed = (server for server in servers if self.may_repeat_at(request, server, now_ms))
        return islice(allowed, SERVERS_EXAMINED)

    def may_repeat_at(self, request: PendingRequest, server: Upstream, now_ms: float) -> bool:
        """Rule 2: return whether the request was never executed, or this server would discard its repeat."""
        request_class = request.request_class
        execution = request.possible_execution
        window_ms = repeat_window_ms(request_class, execution, now_ms) - ANSWER_MARGIN_MS
        return is_repeat_safe(request_class, execution, server.entry, window_ms)

    def is_within_budget(self, server: Upstream, transfer_ms: float, now_ms: float) -> bool:
        """Rule 4: return whether a server's slow-start budget has this much transfer time left."""
        return self.slow_start.admits(server.entry, server.slow_start_window, transfer_ms, now_ms)

    def charge(self, server: Upstream, transfer_ms: float, now_ms: float) -> None:
        """Rule 4: charge this transfer time to a server's slow-start budget."""
        self.slow_start.charge(server.entry, server.slow_start_window, transfer_ms, now_ms)

    def is_worth_waiting(self, request: PendingRequest, now_ms: float) -> bool:
        """Return whether the request should wait for a cache, rather than be given up.

        That is so if every cache that rule 2 of the simulator allows is unreachable or has used up its
        slow-start budget.
        """
        caches = self.server_list.site_caches
        # All caches of a small group are examined, so their order does not matter; ranking would take longer.
        is_small = len(caches) <= SERVERS_EXAMINED
        servers = iter(caches) if is_small else self._ranked_caches(request.object_hash)
        may_take_later = False
        for server in self._repeatable(request, servers, now_ms):
            if self.is_within_budget(server, request.cache_cost_ms, now_ms) and not server.is_unreachable:
                return False
            may_take_later = True
        return may_take_later
