"""Invariants of members and their quotas, and the check that a fleet has settled after the last fault."""

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

# Connection time between a failed member and the router that declared it failed, from which on the failure is
# counted as false.
CONNECTED_MS = 5_000.0

# Connection time between a failed member and all running nodes, from which on the failure is a violation.
CONNECTED_TO_ALL_MS = 15_000.0

# Time after which a router must have detected that it lost the majority of the voters.
MAJORITY_LOSS_MS = 12_000.0

# Rounding error by which a sum of quotas may exceed 1.
ROUNDING_ERROR = 1e-9


def view_of(cluster: SimulatedCluster, node: Node) -> MembershipView | None:
    """Return the node's present view of the fleet, or None if the node is down."""
    if node.machine is None:
        return None
    return _router_of(node).membership.view(node.monotonic_ms(cluster.now))


def _router_of(node: Node) -> SimulatedRouter:
    return cast(SimulatedRouter, node.machine)


class MonotonicViews:
    """Checks that versions and members' incarnations never decrease while a process runs.

    ``majority_since_ms`` changes whenever ``has_majority`` does.
    """

    name = "monotonic-views"

    def __init__(self) -> None:
        self._last: dict[tuple[str, int], MembershipView] = {}

    def check(self, cluster: SimulatedCluster, node: Node) -> str | None:
        """Compare the node's view with the one before."""
        view = view_of(cluster, node)
        process = (node.name, node.incarnation)
        last = self._last.get(process)
        if view is None or view is last:
            return None
        self._last[process] = view
        return None if last is None else _regression(last, view)


def _regression(last: MembershipView, view: MembershipView) -> str | None:
    if view.version < last.version:
        return f"version {last.version} went back to {view.version}"
    majority_changed = view.has_majority != last.has_majority
    if majority_changed and view.majority_since_ms == last.majority_since_ms:
        return f"majority turned to {view.has_majority} and since_ms stayed {view.majority_since_ms}"
    for name, member in view.members.items():
        before = last.members.get(name)
        if before and member.incarnation < before.incarnation:
            return f"incarnation of {name} went back from {before.incarnation} to {member.incarnation}"
    return None


class SingleMajority:
    """Checks that a router claims no majority if it had none in reach for ``MAJORITY_LOSS_MS``.

    So at most one side of a partition claims a majority.
    """

    name = "single-majority"

    def __init__(self, voters: tuple[str, ...]) -> None:
        self._voters = frozenset(voters)
        self._reachability = Reachability()
        self._topology_version = -1
        self._minority_since_ms: dict[str, float] = {}

    def check(self, cluster: SimulatedCluster, node: Node) -> str | None:
        """Compare the node's view with what it can reach."""
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
        return f"majority held, but only {reachable} in reach for {cluster.now - since_ms:.0f} ms"

    def _update_minorities(self, cluster: SimulatedCluster) -> None:
        for name in cluster.nodes:
            reachable = self._reachability.component(cluster, name)
            if not reachable or 2 * len(reachable & self._voters) > len(self._voters):
                self._minority_since_ms.pop(name, None)
            else:
                self._minority_since_ms.setdefault(name, cluster.now)


class NoFalseFailures:
    """Checks that no member fails that all running nodes are connected to, by links without noise."""

    name = "false-failure"

    def __init__(self) -> None:
        self._entries_read = 0

    def check(self, cluster: SimulatedCluster, _node: Node) -> str | None:
        """Read the notices since the last check."""
        new_entries = cluster.trace[self._entries_read :]
        self._entries_read = len(cluster.trace)
        for entry in new_entries:
            words = entry.text.split(" ")
            if words[0] != "member" or words[2] != "failed" or words[1] not in cluster.nodes:
                continue
            failed = cluster.nodes[words[1]]
            disturbed = cluster.network.is_degraded or failed.timer_delays_ms
            if not disturbed and _connected_to_all(cluster, failed):
                return f"{failed.name} failed, and all reach it"
        return None


def _connected_to_all(cluster: SimulatedCluster, node: Node) -> bool:
    others = [other for other in cluster.nodes.values() if other.is_running and other is not node]
    return all(connected_for_ms(cluster, other, node) >= CONNECTED_TO_ALL_MS for other in others)


class QuotasFitBudget:
    """Checks that the quotas of all processes, also of paused ones, never exceed a budget in total."""

    name = "quotas"

    def check(self, cluster: SimulatedCluster, _node: Node) -> str | None:
        """Add up the quotas."""
        total = 0.0
        for node in cluster.nodes.values():
            if node.machine is not None:
                total += _router_of(node).quota(node.monotonic_ms(cluster.now))
        if total <= 1 + ROUNDING_ERROR:
            return None
        return f"quotas add up to {total:.9f}"


def count_failures_and_rejections(cluster: SimulatedCluster, counts: Counter[str]) -> None:
    """Count failures, false failures among them (``CONNECTED_MS``), and rejected datagrams."""

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
            return f"{observer}: knows {' '.join(sorted(known_foreign))} of another fleet"
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
            return f"{node.name} is gone and is {member.state.name}"
        return None
    if member is None:
        return f"{node.name} runs and is unknown"
    if member.state is not MemberState.ALIVE:
        return f"{node.name} runs and is {member.state.name}"
    if member.incarnation != incarnations[node.name]:
        return f"{node.name} is held as incarnation {member.incarnation}"
    return None
