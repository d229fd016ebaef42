"""The invariant of propagation: each member has all events that its relay counts as acknowledged."""

from __future__ import annotations

import math

from control_relay import Readiness
from fleet_sim import Node, SimulatedCluster

from control_sim.discovery_history import version_of
from control_sim.observations import Observations, RelayPurge
from control_sim.relay_node import RelayNode
from control_sim.router_nodes import RouterNode

# Prefix of members that polled without a name and are known only by their connection; they are not checked.
CONNECTION_NAME_PREFIX = "#"


class PropagationInvariant:
    """Each member of a relay has the events that the relay counts as acknowledged by all members."""

    name = "early"

    def __init__(self, observations: Observations, reset_uncertainty_ms: float) -> None:
        self._observations = observations
        self._reset_uncertainty_ms = reset_uncertainty_ms
        self._acknowledged: dict[tuple[str, int], int] = {}

    def check(self, cluster: SimulatedCluster, node: Node) -> str | None:
        """Return which member lacks an event that its relay counts as acknowledged, else None."""
        relay_node = node.machine
        if not isinstance(relay_node, RelayNode) or relay_node.relay.readiness is not Readiness.READY:
            return None
        key = (node.name, node.incarnation)
        acknowledged = relay_node.relay.low_water_marks.acknowledged
        acknowledged_before = self._acknowledged.get(key, 0)
        self._acknowledged[key] = acknowledged
        if acknowledged <= acknowledged_before:
            return None
        numbers = range(acknowledged_before + 1, acknowledged + 1)
        for member in relay_node.relay.members:
            if member.name.startswith(CONNECTION_NAME_PREFIX):
                continue
            failure = (
                self._unaccepted_event_failure(relay_node, member.name, numbers)
                or self._missing_purge_failure(cluster, node, relay_node, member.name, numbers)
                or self._missing_list_failure(cluster, relay_node, member.name, acknowledged)
            )
            if failure:
                return failure
        return None

    def _unaccepted_event_failure(self, relay_node: RelayNode, name: str, numbers: range) -> str | None:
        relay = relay_node.relay
        events = [event.number for event in relay.state.log.events_after(0) if event.number in numbers]
        accepted = self._observations.accepted_numbers.get((name, relay.epoch), 0)
        if events and accepted < events[-1]:
            return f"{numbers[-1]} is acknowledged, but {name} has accepted {accepted}, not {events[-1]}"
        return None

    def _missing_list_failure(
        self, cluster: SimulatedCluster, relay_node: RelayNode, name: str, acknowledged: int
    ) -> str | None:
        """Check the list of a router that has one; a router without a list has restarted since it got it."""
        router = cluster.nodes[name].machine
        number = relay_node.relay.state.endpoints.number
        if number > acknowledged or not isinstance(router, RouterNode) or not router.state.endpoints:
            return None
        version = version_of(self._observations.relay_list(relay_node))
        routers_version = version_of(router.state.endpoints)
        since_reset_ms = cluster.now - self._observations.history.reset_at_ms
        if routers_version < version and since_reset_ms > self._reset_uncertainty_ms:
            return (
                f"list {number} is acknowledged, but {name} has version {routers_version} and not {version}"
            )
        return None

    def _missing_purge_failure(
        self, cluster: SimulatedCluster, node: Node, relay_node: RelayNode, name: str, numbers: range
    ) -> str | None:
        """Check a member that polled in its present incarnation, or that started before the purge."""
        member = cluster.nodes[name]
        has_polled = relay_node.served_incarnations.get(name) == member.incarnation
        local_now = node.monotonic_ms(cluster.now)
        for number, purge in self._observations.relay_purges(relay_node.relay.epoch).items():
            if number not in numbers or purge.expires_at_ms <= local_now:
                continue
            if not has_polled and self._issued_at_ms(purge) < member.state_changed_ms:
                continue
            if self._lacks(member.machine, purge):
                return f"purge {number} is acknowledged, but {name} lacks it"
        return None

    def _issued_at_ms(self, purge: RelayPurge) -> float:
        return self._observations.history.issued_at_ms(purge.target, purge.issued_unix_ms)

    def _lacks(self, machine: object, purge: RelayPurge) -> bool:
        """Return whether a router lacks a purge, or a relay has it but lacks acknowledgements for it."""
        if isinstance(machine, RouterNode):
            return machine.state.purges.get(purge.target, -math.inf) < purge.issued_unix_ms
        if not isinstance(machine, RelayNode):
            return False
        numbers = [
            number
            for number, other in self._observations.relay_purges(machine.relay.epoch).items()
            if other.target == purge.target and other.issued_unix_ms >= purge.issued_unix_ms
        ]
        return bool(numbers) and min(numbers) > machine.relay.low_water_marks.acknowledged
