"""The servers that discovery lists, in groups by role and zone, with the state of each."""

from __future__ import annotations

from collections.abc import Iterable

from thornjunction import interface as api
from thornjunction.policy.candidates import CandidateGroup, RankingCache
from thornjunction.policy.subsetting import SiteCaches
from thornjunction.policy.upstreams import Upstream


class ServerList:
    """All serving servers.  The time to apply a change grows with the change, not with the list."""

    def __init__(self, zone: str) -> None:
        """Start without servers, for a router of this zone."""
        self.servers: dict[str, Upstream] = {}
        # Edge caches by zone.
        self.caches: dict[str, SiteCaches[Upstream]] = {}
        self.rankings = RankingCache()
        # Edge caches of this router's zone.
        self.site_caches = self._edges(zone)
        self.sources: dict[api.Role, CandidateGroup[Upstream]] = {
            role: CandidateGroup(self.rankings) for role in (api.Role.PARENT, api.Role.ORIGIN)
        }

    def update(self, event: api.EndpointListUpdate, settings: api.Settings, now_ms: float) -> None:
        """Apply a list of servers, or changes to it, under these settings."""
        if event.complete:
            listed = {entry.server for entry in event.entries}
            for server_id in [known for known in self.servers if known not in listed]:
                self._remove(server_id)
        for entry in event.entries:
            if entry.state is api.ServerState.SERVING:
                self._put(entry, now_ms)
            else:
                # Rule 3: a draining server gets no new work. Its removal is immediate, so no grace is needed.
                self._remove(entry.server)
        self.site_caches = self._edges(settings.zone)
        for zone, caches in self.caches.items():
            caches.divide(settings.routers_by_zone.get(zone, settings.router_count))

    def _put(self, entry: api.ServerEntry, now_ms: float) -> None:
        """Add a serving server, or update its entry."""
        server = self.servers.get(entry.server)
        if server is not None and server.entry == entry:
            return
        if server is not None and (server.entry.role, server.entry.zone) != (entry.role, entry.zone):
            self._remove_from_group(server)
        if server is None or entry.started_ms != server.entry.started_ms:
            server = Upstream(entry, now_ms)  # a new process starts with a new state
            self.servers[entry.server] = server
        server.entry = entry
        self._group(entry).put(entry.server, server, entry.weight)

    def _remove(self, server_id: str) -> None:
        """Remove a server, if it is listed."""
        server = self.servers.pop(server_id, None)
        if server is not None:
            self._remove_from_group(server)

    def _remove_from_group(self, server: Upstream) -> None:
        """Remove a server from its group, and a zone that has no edge caches any more."""
        group = self._group(server.entry)
        group.remove(server.id)
        if server.entry.role is api.Role.EDGE and not group:
            del self.caches[server.entry.zone]

    def _group(self, entry: api.ServerEntry) -> CandidateGroup[Upstream] | SiteCaches[Upstream]:
        """Return the group that a server belongs to."""
        return self._edges(entry.zone) if entry.role is api.Role.EDGE else self.sources[entry.role]

    def _edges(self, zone: str) -> SiteCaches[Upstream]:
        """Return the edge caches of a zone; create an empty group if the zone has none."""
        caches = self.caches.get(zone)
        if caches is None:
            caches = self.caches[zone] = SiteCaches(self.rankings)
        return caches

    def count_unavailable(self, listed: Iterable[str], now_ms: float) -> int:
        """Return how many of these servers get no attempts now: not serving, or ejected."""
        servers = map(self.servers.get, listed)
        return sum(1 for server in servers if server is None or not server.is_available(now_ms))
