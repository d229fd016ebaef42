"""The environment of most tests: discovery, two relays, and two routers with both relays as sources."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

from control_harness.environment import Environment
from control_harness.fake_cache_server import FakeCacheServer
from control_harness.fault_proxy import FaultProxy
from control_harness.participants import RelayParticipant, RouterParticipant

Scenario = Callable[["RelayEnvironment"], Awaitable[None]]
"""Carries out the steps of a test in the environment."""

ScenarioRunner = Callable[[Scenario], None]
"""Runs a scenario, and ends its processes whether it succeeds or fails."""

SCENARIO_TIMEOUT_S = 60.0
"""Seconds that a scenario may take; enough for a busy machine."""

SAMPLED_OBJECTS = 12
"""Objects requested of each router to see which cache servers serve; each server has some of them."""


class RelayEnvironment(Environment):
    """Two relays between discovery and two routers, with a proxy on each connection.

    Relay N polls discovery, or the root relay, through ``upstream_proxies[N]``, and routers poll it through
    ``downstream_proxies[N]``.  ``listed_servers`` is the number of cache servers in discovery's list,
    ``last_purged`` the object that was purged last, and ``extra_clients`` the number of pollers beside the
    routers.
    """

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.edges: list[FakeCacheServer] = []
        self.relays: list[RelayParticipant] = []
        self.routers: list[RouterParticipant] = []
        self.upstream_proxies: list[FaultProxy] = []
        self.downstream_proxies: list[FaultProxy] = []
        self.listed_servers = 0
        self.last_purged = 0
        self.extra_clients = 0
        self._object_numbers = itertools.count(1)

    async def start_all(self, with_root: bool = False, **relay_settings: object) -> None:
        """Start everything, and wait until the routers have the list from the first relay.

        ``with_root`` adds ``root_relay``, a relay from which the two others poll instead of from discovery.
        """
        await self._start_cache_servers()
        upstream = self.discovery.address
        if with_root:
            self.root_relay = self.add_relay("root")
            self.root_relay.configure([upstream])
            self.root_relay.start()
            upstream = self.root_relay.listen_address
        await self._start_relays(upstream, relay_settings)
        self.routers = [self.add_router(f"router-{number}") for number in range(2)]
        await self.wait_until_ready(*self.relays)
        for router in self.routers:
            router.configure([proxy.address for proxy in self.downstream_proxies])
            router.start()
        await self.wait_until_listed(self.routers)
        await self.wait_until_polled_by_all(self.relays[0])

    async def wait_until_ready(self, *relays: RelayParticipant) -> None:
        """Wait until these relays have a state and serve polls."""

        async def ready() -> bool:
            return all([await relay.call_admin("check") == ["ACK"] for relay in relays])

        await self.wait_until(ready, "relays are ready")

    async def wait_until_listed(self, routers: Sequence[RouterParticipant]) -> None:
        """Wait until these routers have as many cache servers as discovery lists."""

        async def listed() -> bool:
            all_metrics = await asyncio.gather(*(router.metrics() for router in routers))
            return all(metrics.get("registry_entries") == self.listed_servers for metrics in all_metrics)

        names = [router.name for router in routers]
        await self.wait_until(listed, f"{names} know {self.listed_servers} cache servers")

    async def publish_change(self) -> None:
        """Publish one more cache server, which is leaving and serves nothing, and a purge."""
        self.listed_servers += 1
        self.last_purged = next(self._object_numbers)
        leaving = self.origin.host_entry("leaving")
        entry = leaving | {"host": f"more-{self.listed_servers}", "class": "box"}
        await self.discovery.publish_hosts([entry])
        await self.discovery.publish_purges(self.last_purged)

    async def wait_until_propagated(self, *relays: RelayParticipant) -> None:
        """Wait until all routers have the last change, and these relays report it as propagated.

        The routers and extra clients must all poll one of these relays.
        """
        await self.wait_until_listed(self.routers)

        async def propagated() -> bool:
            clients = 0
            for relay in relays:
                if " done " not in await self.last_purge_line(relay):
                    return False
                clients += int((await relay.status())["present"])
            return clients == len(self.routers) + self.extra_clients

        names = [relay.name for relay in relays]
        await self.wait_until(propagated, f"purge {self.last_purged} is propagated at {names}")

    async def last_purge_line(self, relay: RelayParticipant) -> str:
        """Return a relay's report line of the last purge; empty if the relay does not have the purge."""
        object_id = f" {self.last_purged:016x} "
        return next((line for line in await relay.purge_lines() if object_id in line), "")

    async def wait_until_polled_by_all(self, relay: RelayParticipant) -> None:
        """Wait until all routers poll this relay."""

        async def polled_by_all() -> bool:
            return (await relay.status()).get("present") == str(len(self.routers))

        await self.wait_until(polled_by_all, f"all routers poll {relay.name}")

    async def drain_first_edge(self) -> None:
        """List the first edge as leaving; wait until all routers use only the other one."""
        self.drained_edge, other_edge = self.edges
        await self.wait_until_served_by(*self.edges)
        await self.discovery.publish_hosts([self.drained_edge.host_entry("leaving")])
        await self.wait_until_served_by(other_edge)

    async def wait_until_served_by(self, *servers: FakeCacheServer) -> None:
        """Wait until the routers' requests go to each of these cache servers, and to no other."""

        async def served_by_these() -> bool:
            return await self.serving_names() == {server.name for server in servers}

        await self.wait_until(served_by_these, f"requests go to {[server.name for server in servers]}")

    async def serving_names(self) -> set[str]:
        """Return the names of the cache servers that now serve requests of any router."""
        requests = [router.request(number) for router in self.routers for number in range(SAMPLED_OBJECTS)]
        return set(await asyncio.gather(*requests))

    async def check_drained_edge_unused(self) -> None:
        """Check that every request is served by an edge other than the drained one."""
        request_count = self.drained_edge.request_count
        names = await self.serving_names()
        assert names == {edge.name for edge in self.edges if edge is not self.drained_edge}, names
        assert self.drained_edge.request_count == request_count

    async def _start_cache_servers(self) -> None:
        self.edges = [await self.start_cache_server(f"edge{number}") for number in (1, 2)]
        self.origin = await self.start_cache_server("origin", "root")
        servers = (*self.edges, self.origin)
        await self.discovery.publish_hosts([server.host_entry() for server in servers], complete=True)
        self.listed_servers = len(servers)

    async def _start_relays(self, upstream: str, settings: dict[str, object]) -> None:
        self.relays = [self.add_relay(f"relay-{number}") for number in range(2)]
        self.upstream_proxies = [await self.start_proxy(upstream) for _ in self.relays]
        self.downstream_proxies = [await self.start_proxy(relay.listen_address) for relay in self.relays]
        for relay, proxy in zip(self.relays, self.upstream_proxies, strict=True):
            siblings = [other.listen_address for other in self.relays if other is not relay]
            relay.configure([proxy.address], siblings=siblings, **settings)
            relay.start()


def run_scenario(folder: Path, scenario: Scenario) -> None:
    """Run a scenario, and end its processes whether it succeeds or fails."""

    async def run() -> None:
        async with asyncio.timeout(SCENARIO_TIMEOUT_S), RelayEnvironment(folder) as environment:
            await scenario(environment)

    asyncio.run(run())
