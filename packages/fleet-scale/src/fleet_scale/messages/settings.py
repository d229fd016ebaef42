"""The first message to a worker: the settings of its role."""

from __future__ import annotations

import msgspec

from fleet_scale.messages.base import Message
from thornjunction.runtime.addresses import Address


class DiscoverySettings(Message, frozen=True):
    """A fake discovery; its first endpoint list has so many cache servers, spread over sites and ports."""

    cache_servers: int
    sites: tuple[str, ...]
    ports: tuple[int, ...]


class CacheServerSettings(Message, frozen=True):
    """A fake cache server, for all entries of the endpoint list that name its port."""


class ProxyRoute(msgspec.Struct, frozen=True):
    """A port that forwards to a target; ``delay_ms`` is the delay of each direction."""

    name: str
    target: Address
    delay_ms: float


class ProxySettings(Message, frozen=True):
    """A proxy with a listening port for each route."""

    routes: tuple[ProxyRoute, ...]


class MemberSettings(msgspec.Struct, frozen=True):
    """Fleet membership of a hollow router; ``timings`` replace defaults by their keys."""

    listen: Address
    seeds: tuple[Address, ...]
    voters: tuple[str, ...]
    timings: dict[str, float]


class HollowRouterSettings(msgspec.Struct, frozen=True):
    """One hollow router: what it polls without relays, the relays if it polls any, its membership if any."""

    name: str
    site: str
    channel: Address
    relays: tuple[Address, ...] = ()
    member: MemberSettings | None = None


class HollowGroupSettings(Message, frozen=True):
    """The hollow routers of one process; members keep files in ``folder``."""

    sites: tuple[str, ...]
    folder: str
    routers: tuple[HollowRouterSettings, ...]


class LoadSettings(Message, frozen=True):
    """Clients of the routers that listen at ``fronts``, with requests a second to each of them."""

    fronts: tuple[Address, ...]
    requests_per_s: float


Settings = DiscoverySettings | CacheServerSettings | ProxySettings | HollowGroupSettings | LoadSettings
