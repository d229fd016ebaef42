"""The costs whose growth with the size of a fleet is measured, with their names in the tables."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from fleet_scale.runs.cost import Cost


@dataclass(frozen=True, slots=True)
class Measure:
    """A cost by its name in the tables, and whether it may grow with the varied size."""

    name: str
    value: Callable[[Cost], float]
    may_grow: bool = True


HOLLOW_ROUTER_CORE = Measure("hollow router: core, us/s", lambda cost: 1e6 * cost.hollow_router.core_share)
ROUTER_MEASURES = (
    Measure("router: bytes/s in", lambda cost: cost.hollow_router.bytes_in_per_s),
    Measure("router: bytes/s out", lambda cost: cost.hollow_router.bytes_out_per_s),
    Measure("router: answers/s", lambda cost: cost.hollow_router.polls_per_s),
    HOLLOW_ROUTER_CORE,
    Measure("full router: core, us/s", lambda cost: 1e6 * cost.full_router.core_share),
)
START_MEASURES = (
    Measure("router: bytes received at start", lambda cost: cost.hollow_router.bytes_in_per_s * cost.seconds),
    Measure("router: core at start, us", lambda cost: 1e6 * cost.hollow_router.core_share * cost.seconds),
    Measure("hollow router: private KB", lambda cost: 1000.0 * cost.hollow_router.private_mb),
)
ALL_HOLLOW_ROUTERS_MEMORY = Measure(
    "hollow routers: private KB of all processes",
    lambda cost: 1000.0 * cost.hollow_router.private_mb * cost.routers,
)
DATAGRAM_RATE = Measure(
    "router: datagrams/s, both directions", lambda cost: cost.hollow_router.datagrams_per_s
)
DISCOVERY_MEASURES = (
    Measure("discovery: polls/s", lambda cost: cost.discovery.polls_per_s),
    Measure("discovery: bytes/s out", lambda cost: cost.discovery.bytes_out_per_s),
    Measure("discovery: core, us/s", lambda cost: 1e6 * cost.discovery.core_share),
    Measure("discovery: KB of the largest process", lambda cost: 1000.0 * cost.discovery.private_mb),
)
RELAY_MEASURES = (
    Measure("relay: core of the busiest, us/s", lambda cost: 1e6 * cost.relay.core_share),
    Measure("relay: KB of the largest", lambda cost: 1000.0 * cost.relay.private_mb),
)


def must_not_grow(measures: Sequence[Measure]) -> tuple[Measure, ...]:
    """Return copies of the measures with ``may_grow`` off."""
    return tuple(replace(measure, may_grow=False) for measure in measures)
