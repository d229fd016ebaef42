"""The topology: the simulated processes, and the sources that each of them polls.

Discovery is ``d``; relays ``r1`` and ``r2`` are siblings, and relay ``c1`` polls both; routers are ``x1``,
``x2`` and ``x3``, of which ``x3`` uses only the plain protocol.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

from control_relay import Relay, RelaySettings
from fleet_sim import Disk, LinkQuality, Node, SimulatedCluster, Subject
from sansio_core import Address, Notice, RandomSource

from control_sim.connections import ACTION_HANDLERS, first_connection
from control_sim.discovery import Discovery
from control_sim.invariants import build_invariants
from control_sim.node_names import DISCOVERY_NAME, NODE_NAMES, PLAIN_ROUTER_NAME, ROUTER_NAMES
from control_sim.poll_client import PollClientSettings
from control_sim.relay_node import RelayNode
from control_sim.router_nodes import PlainRouterNode, RouterNode
from control_sim.settling import unsettled_reason

# Time for which relays deliver a purge, and clients remember it to detect duplicates.
PURGE_RETENTION_MS = 4_000.0

# Time after the last fault within which all processes must have settled.
SETTLING_TIME_MS = 25_000.0

# Unix time at which simulated time begins; the first event number of a relay is derived from it.
START_UNIX_S = 1_764_600_000

# Unix time between the starts of two incarnations of a relay.
INCARNATION_S = 10

# The upstreams of each process, the preferred one first.
UPSTREAMS = {
    "r1": (DISCOVERY_NAME,),
    "r2": (DISCOVERY_NAME,),
    "c1": ("r1", "r2"),
    "x1": ("r1", "r2"),
    "x2": ("c1", "r2"),
    PLAIN_ROUTER_NAME: ("r2",),
}

# The siblings of a relay.
SIBLINGS = {"r1": ("r2",), "r2": ("r1",)}

# The members that a relay waits for even before they have polled.
EXPECTED_MEMBERS = {"r1": ("x1",), "c1": ("x2",)}


def relay_settings(name: str) -> RelaySettings:
    """Return settings with a retention, page size and log size so small that a run reaches these bounds."""
    return RelaySettings(
        expected_members=EXPECTED_MEMBERS.get(name, ()),
        purge_retention_ms=PURGE_RETENTION_MS,
        absence_timeout_ms=800.0,
        max_page_bytes=320,
        max_list_changes=4,
    )


def build_node(name: str, address: Address, incarnation: int, draw: RandomSource, disk: Disk) -> Any:  # noqa: ARG001 - the interface of a node factory
    """Return the state machine of a new process."""
    connection = first_connection(NODE_NAMES.index(name) + 1, incarnation)
    if name == DISCOVERY_NAME:
        return Discovery(incarnation, draw, disk)
    if name == PLAIN_ROUTER_NAME:
        return PlainRouterNode(UPSTREAMS[name][0], connection)
    client_settings = PollClientSettings(
        UPSTREAMS[name], SIBLINGS.get(name, ()), connection, PURGE_RETENTION_MS
    )
    if name in ROUTER_NAMES:
        return RouterNode(name, client_settings, draw)
    first_number = (START_UNIX_S + INCARNATION_S * incarnation) << 20
    relay = Relay(relay_settings(name), f"{name}-{incarnation}", first_number)
    return RelayNode(name, relay, client_settings, draw)


def count_notices(cluster: SimulatedCluster, counts: Counter[str]) -> None:
    """Count the notices of relays and clients by name, for the totals of a run."""

    def count(node: Node, notice: Notice) -> None:  # noqa: ARG001 - the interface of a listener
        counts[str(notice.name)] += 1

    cluster.listeners.append(count)


def build_subject() -> Subject:
    """Return the simulated system, with its invariants and its settling condition."""
    return Subject(
        build_node,
        lambda: build_invariants(PURGE_RETENTION_MS),
        unsettled_reason,
        SETTLING_TIME_MS,
        LinkQuality(min_delay_ms=0.5, max_delay_ms=4.0),
        action_handlers=ACTION_HANDLERS,
        attach_counters=count_notices,
    )
