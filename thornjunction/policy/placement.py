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
from thornjunction.estimates import Mean, mix
from thornjunction.limits.cold import ColdBudgets
from thornjunction.limits.effects import discarded, window_left
from thornjunction.policy.attempts import MARGIN, Job, Server
from thornjunction.policy.candidates import CANDIDATES_KEPT, CandidateGroup, RankingCache

CACHE_CHOICES = 2  # caches a new request may go to: hot objects get a second copy (paper, section 3)
PARENT_CHOICES = 2  # parents of which the faster one is the source (paper, section 3)
SERVERS_EXAMINED = 256  # for a decision at most: where a tenth is usable, all but 1 in 10**11 find one
FAR_FACTOR = 2.0  # a far parent's first byte over a near one's, where answers do not tell it
FIRST_BYTE_MS = 1.0  # of a source, until one was measured


class Fitness(IntEnum):
    """How fit a cache is for the next attempt of a request; lower is better."""

    UNTRIED = 0  # in service, and it has not failed this request
    TRIED = 1  # in service
    EJECTED_UNTRIED = 2  # out of service after failures, though its process was not found to be away
    EJECTED_TRIED = 3


class Placement:
    """The list of servers, and who of them may take what."""

    def __init__(self, settings: api.Settings, fetch: Mean, draw: Callable[[], float]) -> None:
        self.settings = settings
        self.fetch = fetch  # ms to the first byte of a fill, of all sources
        self.draw = draw
        self.cold = ColdBudgets(draw)
        self.servers: dict[str, Server] = {}
        self.rankings = RankingCache()
        self.caches: dict[str, CandidateGroup[Server]] = {}  # edges by zone
        self.by_role: dict[api.Role, CandidateGroup[Server]] = {  # edges: of this zone
            role: CandidateGroup(self.rankings) for role in api.Role
        }

    def take(self, event: api.Servers, now: float) -> None:
        """Take in a list of servers, or its changes."""
        if event.whole:
            listed = {entry.server for entry in event.entries}
            for server_id in [known for known in self.servers if known not in listed]:
                self._remove(server_id)
        for entry in event.entries:
            if entry.state is api.State.SERVING:
                self._put(entry, now)
            else:  # rule 3: at once, well within any grace
                self._remove(entry.server)
        self.by_role[api.Role.EDGE] = self._edges(self.settings.zone)
        for role, most in self.cold.most.items():
            self.cold.most[role] = max(most, len(self.by_role[role]))

    def _put(self, entry: api.ServerEntry, now: float) -> None:
        """Take in the entry of a server that serves."""
        server = self.servers.get(entry.server)
        if server is not None and server.entry == entry:
            return
        if server is not None and (server.entry.role, server.entry.zone) != (entry.role, entry.zone):
            self._remove_from_group(server)
        if server is None or entry.started_ms != server.entry.started_ms:
            server = self.servers[entry.server] = Server(entry, now)  # a new process has no history
        server.entry = entry
        self._group(entry).put(entry.server, server, entry.weight)

    def _remove(self, server_id: str) -> None:
        """Forget a server, if it is known."""
        server = self.servers.pop(server_id, None)
        if server is not None:
            self._remove_from_group(server)

    def _remove_from_group(self, server: Server) -> None:
        """Take a server out of its group, and an edge's group away with its last server."""
        group = self._group(server.entry)
        group.remove(server.id)
        if server.entry.role is api.Role.EDGE and not group:
            del self.caches[server.entry.zone]

    def _group(self, entry: api.ServerEntry) -> CandidateGroup[Server]:
        """The group that a server belongs to."""
        return self._edges(entry.zone) if entry.role is api.Role.EDGE else self.by_role[entry.role]

    def _edges(self, zone: str) -> CandidateGroup[Server]:
        """The edge caches of a zone."""
        group = self.caches.get(zone)
        if group is None:
            group = self.caches[zone] = CandidateGroup(self.rankings)
        return group

    def avoided(self, listed: Iterable[str], now: float) -> int:
        """How many of these get nothing now: they leave, or are out of service after failures."""
        servers = map(self.servers.get, listed)
        return sum(1 for server in servers if server is None or not server.open_to(now))

    def preference(self, copy: int, group: CandidateGroup[Server]) -> Iterator[Server]:
        """The servers of a group in rendezvous order for a copy, by weight where weights are told."""
        return group.candidates(copy, self.settings.weighted)

    def first_byte(self, parent: Server) -> float:
        """Smoothed ms to a parent's first byte.  Where answers do not tell it, hits blur it: distance counts
        too."""
        measured = parent.first_byte.get(self.fetch.get(FIRST_BYTE_MS))
        is_far = self.settings.zone_hub.get(self.settings.zone) != parent.entry.zone
        if is_far and self.settings.notes is api.Notes.NONE:
            return measured * FAR_FACTOR
        return measured

    def source(self, job: Job, now: float) -> Server | None:
        """Where a miss is filled from: of two parents the one with the lower first-byte time; where neither
        can, another parent, or an origin."""
        for server in self._sources(job):
            usable = server.id not in job.tried and server.open_to(now)
            if usable and self.within_budget(server, job.fill, now):
                return server
        return next(iter(self.by_role[api.Role.ORIGIN]), None)

    def _sources(self, job: Job) -> Iterator[Server]:
        """All sources for a request, the best first."""
        if not job.kind.passes:
            ranked = self.preference(job.copy, self.by_role[api.Role.PARENT])
            parents = islice(ranked, SERVERS_EXAMINED)
            yield from sorted(islice(parents, PARENT_CHOICES), key=self.first_byte)
            yield from parents
        yield from self.by_role[api.Role.ORIGIN]

    def no_parents(self, source: Server) -> bool:
        """Whether misses are filled from the origin itself; it has all, so ``held_only`` spares nothing."""
        return source.entry.role is api.Role.ORIGIN and not self.by_role[api.Role.PARENT]

    def sibling(self, job: Job, target: Server, now: float) -> Server | None:
        """The cache that is likely to hold an object beside the target: of each zone the first by hash, of
        the own one the first two."""
        for zone in self._sibling_zones(job):
            choices = CACHE_CHOICES if zone == self.settings.zone else 1
            for cache in islice(self.preference(job.copy, self.caches[zone]), choices):
                usable = cache is not target and cache.id not in job.tried and cache.open_to(now)
                is_warm = self.cold.rate(cache.entry, cache.bucket, now) == math.inf  # cold ones hold little
                if usable and is_warm:
                    return cache
        return None

    def _sibling_zones(self, job: Job) -> Iterator[str]:
        """Zones whose caches may be asked, the own one first, then those of the same hub; among these by
        hash, or one zone would be asked by all."""
        own_zone = self.settings.zone
        hubs = self.settings.zone_hub
        if self.settings.siblings is api.Siblings.NONE:
            return
        if own_zone in self.caches:
            yield own_zone
        if self.settings.siblings is not api.Siblings.ANY:
            return

        def distance(zone: str) -> tuple[bool, int]:
            return hubs.get(zone) != hubs.get(own_zone), mix(job.copy ^ zlib.crc32(zone.encode()))

        yield from sorted(self.caches.keys() - {own_zone}, key=distance)

    def cache(self, job: Job, now: float) -> Server | None:
        """The cache that takes the next attempt: of the two best, the first whose gate lets it through.

        Where both gates are shut, a new request is refused; one that was tried already, or that is passed
        through, goes to the first."""
        able = self._able_caches(job, now)
        let_through = [server for server in able if server.gate.lets(now, self.draw, *job.weights)]
        if let_through:
            return let_through[0]
        must_go = job.attempts > 0 or job.kind.passes
        return able[0] if able and must_go else None

    def _able_caches(self, job: Job, now: float) -> list[Server]:
        """The best caches for the next attempt, two at most, all of the best fitness that any has.

        The first few are examined in any case: so the windows in which cold ones have their budgets go on
        however seldom these are needed."""
        untried: list[Server] = []
        others: list[tuple[Fitness, Server]] = []
        ranked = self.preference(job.copy, self.by_role[api.Role.EDGE])
        for place, server in enumerate(self._resendable(job, ranked, now), start=1):
            fitness = self._fitness(job, server, now)
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

    def _fitness(self, job: Job, server: Server, now: float) -> Fitness | None:
        """How fit a cache is for the next attempt of this request; None: it must not get it."""
        if not self.within_budget(server, job.mean, now):
            return None
        is_tried = server.id in job.tried
        if server.open_to(now):
            return Fitness.TRIED if is_tried else Fitness.UNTRIED
        if server.down:
            return None
        return Fitness.EJECTED_TRIED if is_tried else Fitness.EJECTED_UNTRIED

    def _resendable(self, job: Job, servers: Iterable[Server], now: float) -> Iterator[Server]:
        """Those of the servers that the request may be sent to by rule 2, ``SERVERS_EXAMINED`` at most."""
        if job.maybe is None:
            return islice(servers, SERVERS_EXAMINED)
        return islice((server for server in servers if self.may_resend(job, server, now)), SERVERS_EXAMINED)

    def may_resend(self, job: Job, server: Server, now: float) -> bool:
        """Rule 2: what may have run is resent only where and while its repeat is discarded."""
        return discarded(job.kind, job.maybe, server.entry, window_left(job.kind, job.maybe, now) - MARGIN)

    def within_budget(self, server: Server, work: float, now: float, take: bool = False) -> bool:
        """Rule 4: whether a server that started lately bears so much more work (ms); ``take``: it is sent."""
        return self.cold.within(server.entry, server.bucket, work, now, take)

    def worth_waiting(self, job: Job, now: float) -> bool:
        """Whether some cache may take the request later: all that may take it are down, or cold and past a
        budget that will grow."""
        caches = self.by_role[api.Role.EDGE]
        # A small group is examined whole, in any order; ranking it would take longer.
        is_small = len(caches) <= SERVERS_EXAMINED
        servers = iter(caches) if is_small else self.preference(job.copy, caches)
        may_take_later = False
        for server in self._resendable(job, servers, now):
            if self.within_budget(server, job.mean, now) and not server.down:
                return False
            may_take_later = True
        return may_take_later
