"""The invariants of a run, which compare each node's state with what discovery issued.

The ``name`` of each invariant is the one that ``docs/design/control.md`` uses.
"""

from __future__ import annotations

import json
import math

from control_relay import Readiness
from fleet_sim import Invariant, Node, SimulatedCluster

from control_sim.discovery_history import DiscoveryHistory, version_of
from control_sim.observations import Observations, active_purges
from control_sim.propagation import PropagationInvariant
from control_sim.relay_node import RelayNode
from control_sim.router_nodes import RouterNode

# Error of a stated age per hop: a client does not know when within this time the response was written.
HOP_UNCERTAINTY_MS = 1400.0

# Hops from discovery by the first letter of a node's name, including one for a poll of a sibling.
HOPS_BY_LEVEL = {"r": 2, "c": 3, "x": 4}

# Time after a reset of discovery in which a source that has not noticed the reset may count as fresher.
RESET_UNCERTAINTY_MS = 6_000.0

# Time before the expiry of a purge in which a node may already have removed it.
EXPIRY_MARGIN_MS = 500.0

# Factor by which a stated age is extended for the drift of the simulated processes' clocks.
CLOCK_TOLERANCE = 1.001


def build_invariants(purge_retention_ms: float) -> list[Invariant]:
    """Return the invariants of one run, in the order in which they are checked."""
    observations = Observations()
    return [
        Recorder(observations),
        ListIntegrity(observations),
        ListOrder(observations),
        StatedAge(observations, purge_retention_ms),
        NoLostEvents(observations),
        PropagationInvariant(observations, RESET_UNCERTAINTY_MS),
    ]


class Recorder:
    """Records each step for the invariants that are checked after it; never fails."""

    name = "recorder"

    def __init__(self, observations: Observations) -> None:
        self._observations = observations

    def check(self, cluster: SimulatedCluster, node: Node) -> str | None:
        """Record what the node did in this step; always returns None."""
        self._observations.record(cluster, node)
        return None


class ListIntegrity:
    """Each node's list is a version that discovery published, never a mixture of versions."""

    name = "mixed"

    def __init__(self, observations: Observations) -> None:
        self._observations = observations

    def check(self, cluster: SimulatedCluster, node: Node) -> str | None:  # noqa: ARG002 - the interface of an invariant
        """Return the list if discovery never published it, else None."""
        endpoints = self._observations.endpoints_of(node.machine)
        if endpoints and endpoints != self._observations.history.lists.get(version_of(endpoints)):
            return f"a list that discovery never published: {json.dumps(endpoints)}"
        return None


class ListOrder:
    """No older list is accepted within an incarnation, except after a reset of discovery."""

    name = "backwards"

    def __init__(self, observations: Observations) -> None:
        self._observations = observations
        self._versions: dict[tuple[str, int], int] = {}

    def check(self, cluster: SimulatedCluster, node: Node) -> str | None:
        """Return the versions if the node's list is older than its list before, else None."""
        if not isinstance(node.machine, RouterNode | RelayNode):
            return None
        endpoints = self._observations.endpoints_of(node.machine)
        if endpoints is None:
            return None
        key = (node.name, node.incarnation)
        version = version_of(endpoints)
        version_before = self._versions.get(key, 0)
        self._versions[key] = version
        if version >= version_before:
            return None
        if cluster.now - self._observations.history.reset_at_ms < RESET_UNCERTAINTY_MS:
            return None
        return f"the list went from version {version_before} back to {version}"


class StatedAge:
    """A node has everything that was issued before the time that its stated age implies."""

    name = "age"

    def __init__(self, observations: Observations, purge_retention_ms: float) -> None:
        self._observations = observations
        self._purge_retention_ms = purge_retention_ms

    def check(self, cluster: SimulatedCluster, node: Node) -> str | None:
        """Return what the node lacks although its stated age covers it, else None."""
        machine = node.machine
        if not isinstance(machine, RouterNode | RelayNode):
            return None
        endpoints = self._observations.endpoints_of(machine)
        age_ms = _stated_age_ms(machine, node.monotonic_ms(cluster.now))
        if endpoints is None or not math.isfinite(age_ms):
            return None
        history = self._observations.history
        as_of_ms = cluster.now - age_ms * CLOCK_TOLERANCE - HOP_UNCERTAINTY_MS * HOPS_BY_LEVEL[node.name[0]]
        version = version_of(endpoints)
        may_be_reset = as_of_ms - history.reset_at_ms < RESET_UNCERTAINTY_MS
        if version < history.version_at(as_of_ms) and not may_be_reset:
            return f"list {version} is older than its age of {age_ms:.0f} ms"
        missing = self._missing_purge_failure(cluster, node, machine, history, as_of_ms)
        return f"{missing}, age {age_ms:.0f} ms" if missing else None

    def _missing_purge_failure(
        self,
        cluster: SimulatedCluster,
        node: Node,
        machine: RouterNode | RelayNode,
        history: DiscoveryHistory,
        as_of_ms: float,
    ) -> str | None:
        purges = active_purges(machine)
        # Purges from before a reset are not checked: discovery itself has lost them.
        oldest_ms = max(cluster.now - self._purge_retention_ms + EXPIRY_MARGIN_MS, history.reset_at_ms)
        for purge in reversed(history.purges):
            if purge.issued_at_ms < oldest_ms:
                return None
            if not node.state_changed_ms < purge.issued_at_ms <= as_of_ms:
                continue
            if purges.get(purge.target, -math.inf) < purge.issued_unix_ms:
                return (
                    f"lacks the purge of {purge.target} issued {cluster.now - purge.issued_at_ms:.0f} ms ago"
                )
        return None


class NoLostEvents:
    """A router has each active purge and list whose event number its cursor at the relay covers."""

    name = "lost"

    def __init__(self, observations: Observations) -> None:
        self._observations = observations

    def check(self, cluster: SimulatedCluster, node: Node) -> str | None:
        """Return what the router lacks although its cursor covers it, else None."""
        router = node.machine
        if not isinstance(router, RouterNode):
            return None
        epoch = router.client.follower.epoch
        cursor = router.client.follower.cursor
        relay_node = _relay_of(cluster, epoch)
        if relay_node is None:
            return None
        for purge in relay_node.relay.state.purges.by_expiry():
            latest = router.state.purges.get(purge.target, -math.inf)
            if purge.number <= cursor and latest < purge.issued_unix_ms:
                return f"has cursor {cursor} of {epoch}, lacks the purge of {purge.target} ({purge.number})"
        number = relay_node.relay.state.endpoints.number
        if router.client.completed_epochs.get(epoch, 0) < number or not router.client.is_in_sync:
            return None
        if version_of(router.state.endpoints) < version_of(self._observations.relay_list(relay_node)):
            return f"has cursor {cursor} of {epoch}, lacks list {number}"
        return None


def _stated_age_ms(machine: RouterNode | RelayNode, local_now: float) -> float:
    if isinstance(machine, RouterNode):
        return machine.client.age_ms(local_now)
    if machine.relay.readiness is not Readiness.READY:
        return math.inf
    return machine.relay.age_ms(local_now)


def _relay_of(cluster: SimulatedCluster, epoch: str) -> RelayNode | None:
    """Return the relay whose current epoch has this name; None if there is none."""
    node = cluster.nodes.get(epoch.partition("-")[0])
    machine = node.machine if node is not None else None
    if isinstance(machine, RelayNode) and machine.relay.epoch == epoch:
        return machine
    return None
