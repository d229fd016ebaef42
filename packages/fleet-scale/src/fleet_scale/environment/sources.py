"""What routers and relays can poll, and by which address each place reaches it."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from fleet_scale.messages import ProxyRoute
from fleet_scale.topology import Delays
from thornjunction.runtime.addresses import Address

# Between the names of a place and of a source in the name of a route.
ROUTE_SEPARATOR = ">"


@dataclass(frozen=True, slots=True)
class Place:
    """A site or a relay that polls sources, and its region."""

    name: str
    region: str


@dataclass(frozen=True, slots=True)
class Source:
    """A discovery or a relay that can be polled, and its region."""

    name: str
    region: str
    address: Address


def route_name(place: str, source: str) -> str:
    """Return the name of the route from a place to a source."""
    return f"{place}{ROUTE_SEPARATOR}{source}"


class SourceTable:
    """The sources that places poll, with the addresses of the proxies before them."""

    def __init__(self) -> None:
        self.sources: list[Source] = []
        self._proxied: dict[tuple[str, str], Address] = {}

    def routes(self) -> list[tuple[str, str]]:
        """The place and the source of every route through a proxy, by their names."""
        return list(self._proxied)

    def add_proxy(self, route: str, address: Address) -> None:
        """Add the address at which a proxy accepts the connections of a route."""
        place, _, source = route.partition(ROUTE_SEPARATOR)
        self._proxied[place, source] = address

    def routes_from(self, place: Place, delays: Delays) -> list[ProxyRoute]:
        """Return the routes that a proxy needs for a place to reach every source."""
        return [
            ProxyRoute(
                route_name(place.name, source.name),
                source.address,
                delays.region_ms if source.region == place.region else delays.remote_ms,
            )
            for source in self.sources
        ]

    def nearest(self, place: Place) -> list[Source]:
        """Return the sources of the place's region first; different places begin the others differently."""
        local = [source for source in self.sources if source.region == place.region]
        remote = [source for source in self.sources if source.region != place.region]
        offset = sum(place.name.encode()) % max(len(remote), 1)
        return [*local, *remote[offset:], *remote[:offset]]

    def addresses(self, place: Place, sources: Sequence[Source]) -> tuple[Address, ...]:
        """Return the addresses at which a place polls these sources."""
        return tuple(self._proxied.get((place.name, source.name), source.address) for source in sources)
