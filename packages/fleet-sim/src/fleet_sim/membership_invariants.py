"""The invariants of members and quotas, and the check that a fleet has settled after the last fault."""

from __future__ import annotations

from collections import Counter
from typing import cast

from fleet_membership import MembershipView
from fleet_membership.member_table import DEAD_STATES
from gossip_codec import MemberState
from sansio_core import Notice

from .cluster import SimulatedCluster
from .node import Node
from .reachability import Reachability, connected_for_ms
from .simulated_router import SimulatedRouter

# A failure is counted as false if the failed member and the router that reported it have been connected for
# at least this time.
CONNECTED_MS = 5_000.0

# A failure is a violation if the member has been connected to all running nodes for at least this time.
CONNECTED_TO_ALL_MS = 15_000.0

# Time within which a router must detect that it no longer reaches a majority of the voters.
MAJORITY_LOSS_MS = 12_000.0

# Tolerated rounding error by which a sum of quotas may exceed 1.
ROUNDING_ERROR = 1e-9


def view_of(cluster: SimulatedCluster, node: Node) -> MembershipView | None:
    """Return the node's current view of the fleet, or None if the node is down."""
    if node.machine is None:
        return None
    return _router_of(node).membership.view(node.monotonic_ms(cluster.now))


def _router_of(node: Node) -> SimulatedRouter:
    return cast(SimulatedRouter, node.machine)


class MonotonicViews:
    """Checks that versions and members' incarnations never decrease while a process runs.

    Also checks that ``majority_since_ms`` changes whenever ``has_majority`` does.
    """

    name = "monotonic-views"

    def __init__(self) -> None:
        self._last: dict[tuple[str, int], MembershipView] = {}

    def check(self, cluster: SimulatedCluster, node: Node) -> str | None:
        """Compare the node's view with its previous one."""
        view = view_of(cluster, node)
        process = (node.name, node.incarnation)
        last = self._last.get(process)
        if view is None or view is last:
            return None
        self._last[process] = view
        return None if last is None else _regression(last, view)


def _regression(last: MembershipView, view: MembershipView) -> str | None:
    if view.version < last.version:
        return f"version decreased from {last.version} to {view.version}"
    majority_changed = view.has_majority != last.has_majority
    if majority_changed and view.majority_since_ms == last.majority_since_ms:
        return f"has_majority changed to {view.has_majority}, since_ms is still {view.majority_since_ms}"
    for name, member in view.members.items():
        before = last.members.get(name)
        if before and member.incarnation < before.incarnation:
            return f"incarnation of {name} decreased from {before.incarnation} to {member.incarnation}"
    return None


class SingleMajority:
    """Checks that a router claims no majority if it could reach none for ``MAJORITY_LOSS_MS``.

    This implies that at most one side of a partition claims a majority.
    """

    name = "single-majority"

    def __init__(self, voters: tuple[str, ...]) -> None:
        self._voters = frozenset(voters)
        self._reachability = Reachability()
        self._topology_version = -1
        self._minority_since_ms: dict[str, float] = {}

    def check(self, cluster: SimulatedCluster, node: Node) -> str | None:
        """Compare the node's view with the nodes that it can reach."""
        if cluster.topology_version != self._topology_version:
            self._topology_version = cluster.topology_version
            self._update_minorities(cluster)
        since_ms = self._minority_since_ms.get(node.name)
        if since_ms is None or cluster.now - since_ms < MAJORITY_LOSS_MS:
            return None
        view = view_of(cluster, node)
        if view is None or not view.has_majority:
            return None
        reachable = " ".join(sorted(self._reachability.component(cluster, node.name)))
        return f"claims a majority, but has reached only {reachable} for {cluster.now - since_ms:.0f} ms"

    def _update_minorities(self, cluster: SimulatedCluster) -> None:
        for name in cluster.nodes:
            reachable = self._reachability.component(cluster, name)
            if not reachable or 2 * len(reachable & self._voters) > len(self._voters):
                self._minority_since_ms.pop(name, None)
            else:
                self._minority_since_ms.setdefault(name, cluster.now)


class NoFalseFailures:
    """Checks that no member is declared failed while all running nodes are connected to it without noise."""

    name = "false-failure"

    def __init__(self) -> None:
        self._entries_read = 0

    def check(self, cluster: SimulatedCluster, _node: Node) -> str | None:
        """Check the notices since the last call."""
        new_entries = cluster.trace[self._entries_read :]
        self._entries_read = len(cluster.trace)
        for entry in new_entries:
            words = entry.text.split(" ")
            if words[0] != "member" or words[2] != "failed" or words[1] not in cluster.nodes:
                continue
            failed = cluster.nodes[words[1]]
            has_interference = cluster.network.is_degraded or failed.timer_delays_ms
            if not has_interference and _connected_to_all(cluster, failed):
                return f"{failed.name} was declared failed, but all running nodes are connected to it"
        return None


def _connected_to_all(cluster: SimulatedCluster, node: Node) -> bool:
    others = [other for other in cluster.nodes.values() if other.is_running and other is not node]
    return all(connected_for_ms(cluster, other, node) >= CONNECTED_TO_ALL_MS for other in others)


class QuotasFitBudget:
    """Checks that the quotas of all processes, including paused ones, never exceed a budget in total."""

    name = "quotas"

    def check(self, cluster: SimulatedCluster, _node: Node) -> str | None:
        """Check the sum of the quotas."""
        total = 0.0
        for node in cluster.nodes.values():
            if node.machine is not None:
                total += _router_of(node).quota(node.monotonic_ms(cluster.now))
        if total <= 1 + ROUNDING_ERROR:
            return None
        return f"quotas add up to {total:.9f}"


def count_failures_and_rejections(cluster: SimulatedCluster, counts: Counter[str]) -> None:
    """Count failures, the false ones among them (``CONNECTED_MS``), and rejected datagrams by cause."""

    def count(node: Node, notice: Notice) -> None:
        if notice.name == "member" and notice.fields["state"] == "failed":
            counts["failed"] += 1
            failed = cluster.nodes.get(str(notice.fields["name"]))
            if failed and connected_for_ms(cluster, node, failed) >= CONNECTED_MS:
                counts["failed in steady reach"] += 1
        elif notice.name == "refused":
            counts[f"refused {notice.fields['cause']}"] += 1

    cluster.listeners.append(count)


def find_unsettled(cluster: SimulatedCluster, voters: tuple[str, ...], foreign: frozenset[str]) -> str | None:
    """Return the first difference between a router's view and the actual processes, or None."""
    fleet = [node for node in cluster.nodes.values() if node.name not in foreign]
    views = {node.name: view for node in fleet if node.is_running and (view := view_of(cluster, node))}
    running_voters = [node for node in fleet if node.is_running and node.name in voters]
    has_majority = 2 * len(running_voters) > len(voters)
    incarnations = {name: view.members[name].incarnation for name, view in views.items()}
    for observer, view in views.items():
        if view.has_majority != has_majority:
            return f"{observer}: majority is {view.has_majority}"
        known_foreign = foreign & view.members.keys()
        if known_foreign:
            return f"{observer}: knows the foreign members {' '.join(sorted(known_foreign))}"
        for node in fleet:
            difference = _member_difference(view, node, incarnations)
            if difference is not None:
                return f"{observer}: {difference}"
    return None


def _member_difference(view: MembershipView, node: Node, incarnations: dict[str, int]) -> str | None:
    """Return the difference between a view and the state of a node's process, or None."""
    member = view.members.get(node.name)
    if not node.is_running:
        if member is not None and member.state not in DEAD_STATES:
            return f"{node.name} is not running but is {member.state.name}"
        return None
    if member is None:
        return f"{node.name} is running but unknown"
    if member.state is not MemberState.ALIVE:
        return f"{node.name} is running but is {member.state.name}"
    if member.incarnation != incarnations[node.name]:
        return f"{node.name} is known with the wrong incarnation {member.incarnation}"
    return None
