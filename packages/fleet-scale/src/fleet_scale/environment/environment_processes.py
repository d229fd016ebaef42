"""Starts the processes of an environment according to a topology."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from random import Random

from fleet_scale.environment.process_group import ProcessGroup
from fleet_scale.environment.processes import RouterProgram, WorkerProcess
from fleet_scale.environment.sources import Poller, Source, SourceTable
from fleet_scale.messages import (
    CacheServerFigures,
    CacheServerSettings,
    DiscoveryFigures,
    DiscoverySettings,
    HollowGroupFigures,
    HollowGroupSettings,
    HollowRouterSettings,
    LoadFigures,
    LoadSettings,
    MemberSettings,
    ProxyFigures,
    ProxyRoute,
    ProxySettings,
)
from fleet_scale.router_files import (
    RouterLocation,
    format_address,
    free_address,
    free_datagram_address,
    router_config,
    toml_section,
)
from fleet_scale.topology import Site, Topology
from thornjunction.runtime.addresses import Address

CACHE_SERVER_PROCESSES = 3
LOOPBACK = "127.0.0.1"


@dataclass(frozen=True, slots=True)
class EnvironmentOptions:
    """Which parts of a topology are started, and their parameters."""

    relays: bool = False
    proxies: bool = False  # routers and relays poll through delaying proxies
    membership: bool = False
    full_routers: bool = False
    requests_per_s: float = 0.0  # sent to each full router
    batch_window_ms: float = 150.0  # time for which relays collect events
    relays_per_router: int = 2


class EnvironmentProcesses:
    """The processes of an environment and the addresses at which they poll each other."""

    def __init__(
        self, topology: Topology, options: EnvironmentOptions, member_timings: Mapping[str, float]
    ) -> None:
        self.topology = topology
        self.options = options
        self.sites = topology.sites()
        self.processes = ProcessGroup()
        self.source_table = SourceTable()
        self.discoveries: list[WorkerProcess] = []
        self.proxies: dict[WorkerProcess, frozenset[str]] = {}  # to the names of their routes
        self.hollow_groups: dict[WorkerProcess, frozenset[str]] = {}  # to the names of their routers
        self.relays: dict[str, RouterProgram] = {}
        self.full_routers: list[RouterProgram] = []
        self.load: WorkerProcess | None = None
        self._member_timings = dict(member_timings)
        self._random = Random(os.urandom(8))

    @property
    def hollow_workers(self) -> list[WorkerProcess]:
        """The worker processes that hold hollow routers."""
        return list(self.hollow_groups)

    def start(self) -> None:
        """Start everything that the options enable.  Raises RunError if a process fails to start."""
        self._start_discoveries(self._start_cache_servers())
        if self.options.relays:
            self._start_relays()
        self._start_proxies([Poller(site.name, site.region) for site in self.sites])
        if self.options.full_routers:
            self._start_full_routers()
        self._start_hollow_routers()

    def _start_cache_servers(self) -> tuple[int, ...]:
        """Start the fake cache servers and return their ports."""
        settings = [CacheServerSettings()] * CACHE_SERVER_PROCESSES
        started = self.processes.start_workers("cache-server", settings, CacheServerFigures)
        return tuple(figures.port for _, figures in started)

    def _start_discoveries(self, cache_server_ports: tuple[int, ...]) -> None:
        settings = DiscoverySettings(
            cache_servers=self.topology.cache_servers,
            sites=tuple(site.name for site in self.sites),
            ports=cache_server_ports,
        )
        regions = list(self.topology.regions)
        started = self.processes.start_workers(
            "discovery", [settings] * self.topology.discoveries, DiscoveryFigures
        )
        for index, (worker, figures) in enumerate(started):
            self.discoveries.append(worker)
            address = Address(LOOPBACK, figures.port)
            self.source_table.sources.append(Source(worker.name, regions[index % len(regions)], address))

    # -- relays --

    def _start_relays(self) -> None:
        """Start the relays, and make them the sources that routers poll instead of discovery."""
        pollers = [
            Poller(f"relay-{number}", region) for number, region in enumerate(self.topology.relays, start=1)
        ]
        self._start_proxies(pollers)
        relays = []
        for poller in pollers:
            address = free_address(self._random)
            self._write_relay_file(poller, address)
            self.start_relay(poller.name)
            relays.append(Source(poller.name, poller.region, address))
        self.source_table.sources = relays

    def _write_relay_file(self, poller: Poller, address: Address) -> None:
        upstreams = self.source_table.addresses(poller, self.source_table.sources_by_proximity(poller))
        values = {
            "listen": format_address(address),
            "name": poller.name,
            "admin_addr": format_address(free_address(self._random)),
            "upstreams": [format_address(upstream) for upstream in upstreams],
            "join_ms": self.options.batch_window_ms,
        }
        path = self.processes.folder / f"{poller.name}.toml"
        path.write_text(toml_section("relay", values))

    def start_relay(self, name: str) -> None:
        """Start a relay, whose event log is empty at first."""
        operators_file = self.processes.folder / f"{name}.toml"
        self.relays[name] = self.processes.start_router(name, None, operators_file)

    def kill_relay(self, name: str) -> None:
        """Kill a relay and wait until its process has exited."""
        self.processes.kill_process(self.relays.pop(name))

    # -- proxies --

    def _start_proxies(self, pollers: Sequence[Poller]) -> None:
        """Start a route from each poller to each source; the pollers are spread over the proxy processes."""
        count = self.topology.proxies if self.options.proxies else 0
        if not count:
            return
        routes: list[list[ProxyRoute]] = [[] for _ in range(count)]
        for index, poller in enumerate(pollers):
            routes[index % count] += self.source_table.routes_from(poller, self.topology.delays)
        settings = [ProxySettings(tuple(process_routes)) for process_routes in routes]
        for worker, figures in self.processes.start_workers("proxy", settings, ProxyFigures):
            self.proxies[worker] = frozenset(figures.ports)
            for route, port in figures.ports.items():
                self.source_table.add_proxy(route, Address(LOOPBACK, port))

    # -- routers --

    def _channel(self, site: Site) -> Address:
        """Return the address of the source that the routers of a site poll first."""
        poller = Poller(site.name, site.region)
        sources_by_proximity = self.source_table.sources_by_proximity(poller)
        return self.source_table.addresses(poller, sources_by_proximity[:1])[0]

    def _polled_relays(self, site: Site) -> tuple[Address, ...]:
        """Return the relays that the routers of a site poll, in order; none if they poll discovery."""
        if not self.options.relays:
            return ()
        poller = Poller(site.name, site.region)
        sources_by_proximity = self.source_table.sources_by_proximity(poller)
        return self.source_table.addresses(poller, sources_by_proximity[: self.options.relays_per_router])

    def _start_hollow_routers(self) -> None:
        members = self._member_settings()
        routers = [
            HollowRouterSettings(
                name, site.name, self._channel(site), self._polled_relays(site), members.get(name)
            )
            for site in self.sites
            for name in site.routers
        ]
        per_process = self.topology.hollow_routers_per_process
        site_names = tuple(site.name for site in self.sites)
        folder = str(self.processes.folder / "members")
        settings = [
            HollowGroupSettings(site_names, folder, tuple(routers[begin : begin + per_process]))
            for begin in range(0, len(routers), per_process)
        ]
        started = self.processes.start_workers("hollow", settings, HollowGroupFigures)
        for (worker, _), group in zip(started, settings, strict=True):
            self.hollow_groups[worker] = frozenset(router.name for router in group.routers)

    def _member_settings(self) -> dict[str, MemberSettings]:
        """Return the membership settings of each router by its name; none if membership is off."""
        voters = self._voters()
        if not voters:
            return {}
        addresses = {
            name: free_datagram_address(self._random) for site in self.sites for name in site.routers
        }
        seeds = tuple(addresses[name] for name in voters)
        return {
            name: MemberSettings(address, seeds, voters, self._member_timings)
            for name, address in addresses.items()
        }

    def _voters(self) -> tuple[str, ...]:
        """Return the first router of each voter's region; if those have none, the first router of all."""
        if not self.options.membership:
            return ()
        first_by_region = {site.region: site.routers[0] for site in reversed(self.sites) if site.routers}
        regions = [region for region in dict.fromkeys(self.topology.voters) if region in first_by_region]
        return tuple(first_by_region[region] for region in regions or list(first_by_region)[:1])

    def _start_full_routers(self) -> None:
        """Start the full routers and the clients that send them requests."""
        fronts = []
        for number, region in enumerate(self.topology.full_routers, start=1):
            site = next(site for site in self.sites if site.region == region)
            fronts.append(self._start_full_router(f"full-{number}", site))
        settings = LoadSettings(tuple(fronts), self.options.requests_per_s)
        ((self.load, _),) = self.processes.start_workers("load", [settings], LoadFigures)

    def _start_full_router(self, name: str, site: Site) -> Address:
        """Start a router at a site and return the address of its front."""
        front = free_address(self._random)
        admin = free_address(self._random)
        location = RouterLocation(name, site.name, [site.name for site in self.sites])
        config = self.processes.folder / f"{name}.json"
        config.write_text(json.dumps(router_config(location, self._channel(site), front, admin)))
        operators_file = None
        relays = self._polled_relays(site)
        if relays:
            operators_file = self.processes.folder / f"{name}.toml"
            sources = [format_address(relay) for relay in relays]
            operators_file.write_text(toml_section("control", {"sources": sources}))
        self.full_routers.append(self.processes.start_router(name, config, operators_file))
        return front
