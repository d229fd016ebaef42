"""A simulated fleet of members without invariant checks, and when its members learn of a state change."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from fleet_sim import LinkQuality, Node, SimulatedCluster, node_names
from fleet_sim.membership import subject
from fleet_sim.membership_invariants import view_of
from fleet_sim.run import make_cluster
from sansio_core import Notice

# Time that the members of a fleet get to discover each other.
JOIN_MS = 10_000.0
WAIT_LIMIT_MS = 120_000.0
CHECK_INTERVAL_MS = 100.0
FIRST_INCARNATION = 1


class MemberWatch:
    """Records the membership notices about one member, and every verdict of failure.

    ``learned_ms`` holds, for each observer, when it first saw the watched member as failed or restarted;
    ``declared_failed`` holds the name of the member that each verdict declares failed.
    """

    def __init__(self, cluster: SimulatedCluster, watched: str = "") -> None:
        self.learned_ms: dict[str, float] = {}
        self.declared_failed: list[str] = []
        self._cluster = cluster
        self._watched = watched
        cluster.listeners.append(self._handle_notice)

    def _handle_notice(self, node: Node, notice: Notice) -> None:
        if notice.name != "member" or notice.fields["name"] == node.name:
            return
        state = notice.fields["state"]
        is_failed = state == "failed"
        is_restarted = state == "alive" and notice.fields["incarnation"] != FIRST_INCARNATION
        if is_failed:
            self.declared_failed.append(str(notice.fields["name"]))
        if notice.fields["name"] == self._watched and (is_failed or is_restarted):
            self.learned_ms.setdefault(node.name, self._cluster.now)


def build_fleet(count: int, seed: int, quality: LinkQuality) -> SimulatedCluster:
    """Return a fleet whose members have had ``JOIN_MS`` to discover each other."""
    names = node_names(count)
    cluster = make_cluster(subject(names, base_quality=quality, checked=False), seed, names, trace=False)
    cluster.listeners.append(lambda _node, _notice: cluster.trace.clear())  # the trace is unused
    for index, name in enumerate(names):
        cluster.schedule(index * JOIN_MS / 2 / count, partial(cluster.start, name))
    cluster.run_until(JOIN_MS)
    return cluster


def run_until(
    cluster: SimulatedCluster, condition: Callable[[], bool], limit_ms: float = WAIT_LIMIT_MS
) -> float:
    """Run until a condition holds; return how long that took in ms, infinite beyond ``limit_ms``."""
    begin_ms = cluster.now
    while not condition():
        if cluster.now - begin_ms >= limit_ms:
            return math.inf
        cluster.run_until(cluster.now + CHECK_INTERVAL_MS)
    return cluster.now - begin_ms


def all_know_all_members(cluster: SimulatedCluster, count: int) -> bool:
    """Return whether every member's view has at least ``count`` members."""
    views = (view_of(cluster, node) for node in cluster.nodes.values())
    return all(view is not None and len(view.members) >= count for view in views)


@dataclass(frozen=True, slots=True)
class RestartPropagation:
    """Times until each other member learned of a restart, and until all had; infinite if not in time."""

    learned_ms: list[float]
    all_learned_ms: float


def propagate_restart(cluster: SimulatedCluster, restarted: str, count: int) -> RestartPropagation:
    """Restart a member and run until all others have learned of it, for ``WAIT_LIMIT_MS`` at most."""
    watch = MemberWatch(cluster, restarted)
    cluster.kill(restarted)
    cluster.start(restarted)
    begin_ms = cluster.now
    all_learned_ms = run_until(cluster, lambda: len(watch.learned_ms) == count - 1)
    cluster.listeners.pop()
    learned_ms = [time_ms - begin_ms for time_ms in watch.learned_ms.values()]
    missing = count - 1 - len(learned_ms)
    return RestartPropagation([*learned_ms, *[math.inf] * missing], all_learned_ms)


def sent_totals(cluster: SimulatedCluster) -> list[tuple[int, int]]:
    """Return the numbers of datagrams and bytes that each member has sent so far."""
    return [(node.sent_datagrams, node.sent_bytes) for node in cluster.nodes.values()]
