"""Reachability: which running processes can reach each other by links that are not cut."""

from __future__ import annotations

from .cluster import SimulatedCluster
from .node import Node


class Reachability:
    """The strongly connected components of a cluster, updated when its topology has changed."""

    def __init__(self) -> None:
        self._topology_version = -1
        self._components: dict[str, frozenset[str]] = {}

    def component(self, cluster: SimulatedCluster, name: str) -> frozenset[str]:
        """Return the running nodes with a path to ``name`` and back, itself included.

        Paths may pass through other running nodes, so this is a strongly connected component.  It is empty if
        the node is not running.
        """
        if cluster.topology_version != self._topology_version:
            self._topology_version = cluster.topology_version
            self._components = _strong_components(cluster)
        return self._components.get(name, frozenset())


def connected_for_ms(cluster: SimulatedCluster, node: Node, other: Node) -> float:
    """Return how long both nodes have been running and connected in both directions; 0 if they are not."""
    if not (node.is_running and other.is_running):
        return 0.0
    outgoing = (node.name, other.name)
    incoming = (other.name, node.name)
    if cluster.network.is_cut(outgoing) or cluster.network.is_cut(incoming):
        return 0.0
    last_change_ms = max(
        cluster.link_changed_ms.get(outgoing, 0.0),
        cluster.link_changed_ms.get(incoming, 0.0),
        node.state_changed_ms,
        other.state_changed_ms,
    )
    return cluster.now - last_change_ms


def _strong_components(cluster: SimulatedCluster) -> dict[str, frozenset[str]]:
    running = [name for name, node in cluster.nodes.items() if node.is_running]
    reachable = {name: _reachable_from(cluster, name, running) for name in running}
    return {
        name: frozenset(other for other in reachable[name] if name in reachable[other]) for name in running
    }


def _reachable_from(cluster: SimulatedCluster, start: str, running: list[str]) -> set[str]:
    reached = {start}
    to_visit = [start]
    while to_visit:
        source = to_visit.pop()
        for target in running:
            if target not in reached and not cluster.network.is_cut((source, target)):
                reached.add(target)
                to_visit.append(target)
    return reached
