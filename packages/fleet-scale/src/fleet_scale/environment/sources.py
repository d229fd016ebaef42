"""The sources that routers and relays poll, and the address at which each poller reaches them."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from fleet_scale.messages import ProxyRoute
from fleet_scale.topology import Delays
from thornjunction.runtime.addresses import Address

# Separates the names of the poller and of the source in the name of a route.
ROUTE_SEPARATOR = ">"


@dataclass(frozen=True, slots=True)
class Poller:
    """A site, for all of its routers, or a relay that polls sources, and its region."""

    name: str
    region: str


@dataclass(frozen=True, slots=True)
class Source:
    """A discovery process or a relay that can be polled, and its region."""

    name: str
    region: str
    address: Address


def route_name(poller: str, source: str) -> str:
    """Return the name of the route from a poller to a source."""
    return f"{poller}{ROUTE_SEPARATOR}{source}"


class SourceTable:
    """The sources that can be polled, and the proxies through which pollers reach them."""

    def __init__(self) -> None:
        self.sources: list[Source] = []
        self._proxy_addresses: dict[tuple[str, str], Address] = {}

    def routes(self) -> list[tuple[str, str]]:
        """Return the names of the poller and of the source of every route through a proxy."""
        return list(self._proxy_addresses)

    def add_proxy(self, route: str, address: Address) -> None:
        """Add the address at which a proxy accepts the connections of a route."""
        poller, _, source = route.partition(ROUTE_SEPARATOR)
        self._proxy_addresses[poller, source] = address

    def routes_from(self, poller: Poller, delays: Delays) -> list[ProxyRoute]:
        """Return the proxy routes from a poller to every source, with their delays."""
        return [
            ProxyRoute(
                route_name(poller.name, source.name),
                source.address,
                delays.region_ms if source.region == poller.region else delays.remote_ms,
            )
            for source in self.sources
        ]

    def sources_by_proximity(self, poller: Poller) -> list[Source]:
        """Return the sources of the poller's region, then the others, rotated by a hash of its name."""
        local = [source for source in self.sources if source.region == poller.region]
        remote = [source for source in self.sources if source.region != poller.region]
        offset = sum(poller.name.encode()) % max(len(remote), 1)
        return [*local, *remote[offset:], *remote[:offset]]

    def addresses(self, poller: Poller, sources: Sequence[Source]) -> tuple[Address, ...]:
        """Return the addresses at which a poller reaches these sources, through proxies if there are any."""
        return tuple(
            self._proxy_addresses.get((poller.name, source.name), source.address) for source in sources
        )
