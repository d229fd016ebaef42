"""The messages between a run and its worker processes, each one line of JSON.

The first line to a worker holds its settings, which name its role; each further line is a command.  The
worker answers the settings with its figures, and every command with one reply.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from fleet_scale.event_counters import Delivery
from fleet_scale.event_plan import EventKind, EventPlan
from fleet_scale.process_usage import ProcessUsage
from thornjunction.runtime.addresses import Address


class Message(msgspec.Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """A message; its class name is sent along as the tag."""


class Direction(StrEnum):
    """The two directions of a connection through a proxy."""

    FORWARD = "forward"
    """From the process that connected."""

    BACKWARD = "backward"
    """From the target."""


# -- settings, by the role of the worker --


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


# -- commands --


class ReportFigures(Message, frozen=True):
    """Report the figures of the role; every role answers it."""


class PublishPlan(Message, frozen=True):
    """Discovery publishes the events of a plan at their times."""

    plan: EventPlan


class BlockRoutes(Message, frozen=True):
    """A proxy holds back these directions of the routes, and forwards the others again."""

    routes: tuple[str, ...]
    directions: tuple[Direction, ...]


class StartRouters(Message, frozen=True):
    """Start the hollow routers that do not run; they know nothing of what was published before."""

    names: tuple[str, ...]


class EndRouters(Message, frozen=True):
    """End hollow routers at once, as if their process were killed."""

    names: tuple[str, ...]


class ResetConnections(Message, frozen=True):
    """Reset the connections of hollow routers, or of a proxy's routes."""

    names: tuple[str, ...]


class ReportRouterStates(Message, frozen=True):
    """Report what hollow routers know: these, or all without names."""

    names: tuple[str, ...] | None = None


class ReportMembers(Message, frozen=True):
    """Report what the members of the process hold of these members."""

    names: tuple[str, ...]


class ReportDeliveries(Message, frozen=True):
    """Report who received the events with numbers from ``first`` on and below ``end``."""

    kind: EventKind
    first: int
    end: int


class SetRequestRate(Message, frozen=True):
    """Change how many requests a second each router receives."""

    requests_per_s: float


class ClearLatencies(Message, frozen=True):
    """Forget the latencies that were measured so far."""


Command = (
    ReportFigures
    | PublishPlan
    | BlockRoutes
    | StartRouters
    | EndRouters
    | ResetConnections
    | ReportRouterStates
    | ReportMembers
    | ReportDeliveries
    | SetRequestRate
    | ClearLatencies
)


# -- replies --


class Acknowledged(Message, frozen=True):
    """The command was carried out and has no other answer."""


class CommandRejected(Message, frozen=True):
    """The role of the worker does not know the command."""

    reason: str


class DiscoveryCounters(msgspec.Struct):
    """Counts of a fake discovery since its start."""

    polls: int = 0
    answers: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    connections: int = 0


class DiscoveryFigures(Message, frozen=True):
    """The figures of a fake discovery."""

    port: int
    cursor: int
    open_connections: int
    waiting_polls: int
    planned_events: int
    list_digest: str
    counters: DiscoveryCounters
    usage: ProcessUsage


class CacheServerFigures(Message, frozen=True):
    """The figures of a fake cache server."""

    port: int


class ProxyCounters(msgspec.Struct):
    """Counts of all routes of a proxy."""

    connections: int = 0
    bytes_forwarded: int = 0


class ProxyFigures(Message, frozen=True):
    """The figures of a proxy, with the listening port of each route."""

    ports: dict[str, int]
    open_connections: int
    counters: ProxyCounters


class ChannelCounters(msgspec.Struct):
    """Counts of all connections that the hollow routers of a process opened."""

    connects: int = 0
    disconnects: int = 0
    polls: int = 0
    bytes_in: int = 0
    bytes_out: int = 0


class HollowGroupFigures(Message, frozen=True):
    """The figures of the hollow routers of one process."""

    running: int
    datagrams_in: int
    datagrams_out: int
    counters: ChannelCounters
    usage: ProcessUsage


class LoadFigures(Message, frozen=True):
    """The figures of the clients; a quantile is None without latencies."""

    sent: int
    served: int
    unanswered: int
    connected: int
    answers_by_status: dict[str, int]
    p50_ms: float | None
    p99_ms: float | None


class RouterStates(Message, frozen=True):
    """What hollow routers know: digests of their endpoint lists, and the highest purges that they received.

    ``lowest_newest_purge`` is the newest purge of the router that is furthest behind,
    ``highest_newest_purge`` that of the router that is furthest ahead; -1 stands for none.
    """

    running: int
    connected: int
    list_digests: dict[str, int]
    lowest_newest_purge: int
    highest_newest_purge: int
    repeated_purges: int


class MemberStates(Message, frozen=True):
    """Counts of the states that members hold of others, and whom any of them declared failed."""

    states: dict[str, int]
    declared_failed: tuple[str, ...]


class Deliveries(Message, frozen=True):
    """The deliveries of events by their numbers."""

    by_number: dict[int, Delivery]


Reply = (
    Acknowledged
    | CommandRejected
    | DiscoveryFigures
    | CacheServerFigures
    | ProxyFigures
    | HollowGroupFigures
    | LoadFigures
    | RouterStates
    | MemberStates
    | Deliveries
)
