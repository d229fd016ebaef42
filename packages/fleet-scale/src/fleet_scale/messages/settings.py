"""The first message to a worker: the settings of its role."""

from __future__ import annotations

import msgspec

from fleet_scale.messages.base import Message
from thornjunction.runtime.addresses import Address


class DiscoverySettings(Message, frozen=True):
    """A fake discovery; its initial endpoint list spreads the cache servers over the sites and ports."""

    cache_servers: int
    sites: tuple[str, ...]
    ports: tuple[int, ...]


class CacheServerSettings(Message, frozen=True):
    """A fake cache server, which serves all entries of the endpoint list that have its port."""


class ProxyRoute(msgspec.Struct, frozen=True):
    """A listening port that forwards to a target; ``delay_ms`` is the one-way delay."""

    name: str
    target: Address
    delay_ms: float


class ProxySettings(Message, frozen=True):
    """A proxy with a listening port for each route."""

    routes: tuple[ProxyRoute, ...]


class MemberSettings(msgspec.Struct, frozen=True):
    """Fleet membership of a hollow router; ``timings`` override defaults by key."""

    listen: Address
    seeds: tuple[Address, ...]
    voters: tuple[str, ...]
    timings: dict[str, float]


class HollowRouterSettings(msgspec.Struct, frozen=True):
    """One hollow router; ``channel`` is the discovery address that it polls if it has no ``relays``."""

    name: str
    site: str
    channel: Address
    relays: tuple[Address, ...] = ()
    member: MemberSettings | None = None


class HollowGroupSettings(Message, frozen=True):
    """The hollow routers of one process; fleet members keep their files in ``folder``."""

    sites: tuple[str, ...]
    folder: str
    routers: tuple[HollowRouterSettings, ...]


class LoadSettings(Message, frozen=True):
    """Load clients of the routers that listen at ``fronts``; the request rate is that of each router."""

    fronts: tuple[Address, ...]
    requests_per_s: float


Settings = DiscoverySettings | CacheServerSettings | ProxySettings | HollowGroupSettings | LoadSettings
