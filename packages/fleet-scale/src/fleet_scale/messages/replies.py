"""The replies of the workers."""

from __future__ import annotations

import msgspec

from fleet_scale.event_counters import Delivery
from fleet_scale.messages.base import Message
from fleet_scale.process_usage import ProcessUsage


class Acknowledged(Message, frozen=True):
    """The command was executed and returns no data."""


class CommandRejected(Message, frozen=True):
    """The role of the worker does not implement the command."""

    reason: str


class DiscoveryCounters(msgspec.Struct):
    """Counters of a fake discovery since its start."""

    polls: int = 0
    answers: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    connections: int = 0


class DiscoveryFigures(Message, frozen=True):
    """The figures of a fake discovery; ``planned_events`` counts the plans with unpublished events."""

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
    """Counters of all routes of a proxy together."""

    connections: int = 0
    bytes_forwarded: int = 0


class ProxyFigures(Message, frozen=True):
    """The figures of a proxy, with the listening port of each route."""

    ports: dict[str, int]
    open_connections: int
    counters: ProxyCounters


class ChannelCounters(msgspec.Struct):
    """Counters of all command-channel connections that the hollow routers of a process opened."""

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
    """The figures of the load clients; a quantile is None if no latency was measured."""

    sent: int
    served: int
    unanswered: int
    connected: int
    answers_by_status: dict[str, int]
    p50_ms: float | None
    p99_ms: float | None


class RouterStates(Message, frozen=True):
    """State of hollow routers: counts by the digest of the endpoint list, and the newest purges received.

    ``lowest_newest_purge`` is the newest purge of the router that is furthest behind,
    ``highest_newest_purge`` that of the router that is furthest ahead; -1 means that no purge was received.
    """

    running: int
    connected: int
    list_digests: dict[str, int]
    lowest_newest_purge: int
    highest_newest_purge: int
    repeated_purges: int


class MemberStates(Message, frozen=True):
    """Counts of the states in which members list others, and the names that any of them declared failed."""

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
