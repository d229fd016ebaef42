"""The hollow routers of one process: starts them, ends them, and reports their state."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterable
from dataclasses import replace
from pathlib import Path

from fleet_scale.event_counters import DeliveryCounters
from fleet_scale.messages import (
    ChannelCounters,
    HollowGroupFigures,
    HollowGroupSettings,
    HollowRouterSettings,
    MemberStates,
    RouterStates,
)
from fleet_scale.process_usage import usage_of_this_process
from fleet_scale.router_files import RouterLocation, router_config
from fleet_scale.worker.counting_reactor import CountingReactor
from fleet_scale.worker.hollow_router import HollowRouter, build_fleet_settings
from thornjunction.net.event_loop.ports import Reactor
from thornjunction.runtime.addresses import Address
from thornjunction.runtime.config import Config, parse_config
from thornjunction.runtime.control_settings import ControlSettings
from thornjunction.runtime.extras import Extras

# The front's address in a hollow router's configuration; the router never listens there.
UNUSED_FRONT = Address("127.0.0.1", 9)
# Counted for a member whose state the observer has never received.
UNKNOWN_STATE = "unknown"


class HollowRouterGroup:
    """Starts all routers of its settings when it is constructed."""

    def __init__(self, settings: HollowGroupSettings, reactor: Reactor) -> None:
        self.deliveries = DeliveryCounters()
        self._counters = ChannelCounters()
        self._reactor = CountingReactor(reactor, self._counters)
        self._sites = settings.sites
        self._folder = Path(settings.folder)
        self._settings = {router.name: router for router in settings.routers}
        self._running: dict[str, HollowRouter] = {}
        self._configs_by_site: dict[str, Config] = {}
        self.start(self._settings)

    def start(self, names: Iterable[str]) -> None:
        """Start those of the named routers that belong to this process and are not running."""
        for name in names:
            settings = self._settings.get(name)
            if settings is None or name in self._running:
                continue
            config = self._config(settings)
            router = HollowRouter(config, self._extras(settings), self._reactor, self.deliveries)
            self._running[name] = router
            router.start()

    def _extras(self, settings: HollowRouterSettings) -> Extras | None:
        """Return what an operators' file would enable; None without one, as in a deployment."""
        control = ControlSettings("", settings.relays) if settings.relays else None
        fleet = None
        if settings.member is not None:
            fleet = build_fleet_settings(settings.member, settings.name, self._folder)
        return Extras(fleet=fleet, control=control) if fleet or control else None

    def _config(self, settings: HollowRouterSettings) -> Config:
        """Return the configuration of a router; it is parsed once for each site."""
        site = settings.site
        if site not in self._configs_by_site:
            location = RouterLocation("hollow", site, self._sites)
            text = json.dumps(router_config(location, settings.channel, UNUSED_FRONT))
            self._configs_by_site[site] = parse_config(text.encode(), {})
        return replace(self._configs_by_site[site], name=settings.name, discovery=settings.channel)

    def _select(self, names: Iterable[str]) -> list[HollowRouter]:
        return [self._running[name] for name in names if name in self._running]

    def end(self, names: Iterable[str]) -> None:
        """End routers abruptly, as if killed."""
        for name in names:
            router = self._running.pop(name, None)
            if router is not None:
                router.end()

    def reset_connections(self, names: Iterable[str]) -> None:
        """Reset the connections of these routers' command channels."""
        for router in self._select(names):
            router.reset_connection()

    def states(self, names: Iterable[str] | None = None) -> RouterStates:
        """Return the merged state of these routers, or of all running ones if ``names`` is None."""
        routers = self._select(self._running if names is None else names)
        newest_purges = [router.purges.highest for router in routers]
        return RouterStates(
            running=len(routers),
            connected=sum(router.is_connected for router in routers),
            list_digests=dict(Counter(router.list_digest() for router in routers)),
            lowest_newest_purge=min(newest_purges, default=-1),
            highest_newest_purge=max(newest_purges, default=-1),
            repeated_purges=sum(router.purges.repeated for router in routers),
        )

    def count_member_states(self, names: Iterable[str]) -> MemberStates:
        """Return how members of this process list the named ones, and which they ever declared failed."""
        wanted = set(names)
        states = Counter[str]()
        declared_failed: set[str] = set()
        for router in self._running.values():
            if router.fleet is None:
                continue
            for name in wanted - {router.config.name}:
                states[router.member_states.get(name, UNKNOWN_STATE)] += 1
            declared_failed |= router.declared_failed
        return MemberStates(dict(states), tuple(sorted(declared_failed)))

    def figures(self) -> HollowGroupFigures:
        """Return the resource usage and the traffic of all routers together."""
        datagrams = [
            router.fleet.endpoint.counters for router in self._running.values() if router.fleet is not None
        ]
        return HollowGroupFigures(
            running=len(self._running),
            datagrams_in=sum(counters.received for counters in datagrams),
            datagrams_out=sum(counters.sent for counters in datagrams),
            counters=self._counters,
            usage=usage_of_this_process(),
        )
