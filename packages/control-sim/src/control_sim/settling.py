"""The conditions that must hold within ``SETTLING_TIME_MS`` after the last fault has ended."""

from __future__ import annotations

from control_relay import MemberState, MemberStatus, PollerRole
from fleet_sim import Node, SimulatedCluster

from control_sim.discovery import Discovery
from control_sim.discovery_history import version_of
from control_sim.node_names import DISCOVERY_NAME
from control_sim.relay_node import RelayNode
from control_sim.router_nodes import Endpoints, PlainRouterNode, RouterNode


def unsettled_reason(cluster: SimulatedCluster) -> str | None:
    """Return which process lacks discovery's list, or which relay counts it as unacknowledged, else None."""
    discovery = cluster.nodes[DISCOVERY_NAME].machine
    assert isinstance(discovery, Discovery)
    for name, node in cluster.nodes.items():
        endpoints = _endpoints(node)
        if endpoints is not None and version_of(endpoints) != discovery.version:
            return f"{name} has list {version_of(endpoints)} and not {discovery.version}"
        if isinstance(node.machine, RelayNode):
            reason = _unacknowledged_reason(node, node.machine, cluster.now)
            if reason:
                return reason
    return None


def _endpoints(node: Node) -> Endpoints | None:
    machine = node.machine
    if isinstance(machine, RelayNode):
        return machine.endpoints()
    if isinstance(machine, RouterNode | PlainRouterNode):
        return machine.state.endpoints
    return None


def _unacknowledged_reason(node: Node, machine: RelayNode, now: float) -> str | None:
    """Return which member lags, or that events are unacknowledged without a lagging member."""
    relay = machine.relay
    lagging = relay.lagging_members(node.monotonic_ms(now))
    for member in lagging:
        if member.state is MemberState.LAGGING and _lags_itself(member):
            return f"{member.name} lags at {machine.name}"
    acknowledged = relay.low_water_marks.acknowledged
    delivered = relay.state.log.delivered
    if acknowledged < delivered and not lagging:
        return f"{machine.name} has acknowledged {acknowledged} of {delivered}, but reports no lagging member"
    return None


def _lags_itself(member: MemberStatus) -> bool:
    """Return whether a member itself lags, rather than the routers that it reports as lagging."""
    return member.role is not PollerRole.RELAY or member.lagging_names == (member.name,)
