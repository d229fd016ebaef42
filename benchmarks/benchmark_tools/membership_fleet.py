"""A simulated fleet of members, without invariants, and what its members learn of one of them."""

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

# Time in which the members of a fleet meet.
JOIN_MS = 10_000.0
WAIT_LIMIT_MS = 120_000.0
CHECK_INTERVAL_MS = 100.0
FIRST_INCARNATION = 1


class MemberWatch:
    """Records what is noted of one member, and every verdict of failure.

    ``learned_ms`` has when each observer held the member as failed or as restarted; ``declared_failed`` has
    the member of each verdict.
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
    """Return a fleet whose members have had ``JOIN_MS`` to meet."""
    names = node_names(count)
    cluster = make_cluster(subject(names, base_quality=quality, checked=False), seed, names, trace=False)
    cluster.listeners.append(lambda _node, _notice: cluster.trace.clear())  # keeps no timeline
    for index, name in enumerate(names):
        cluster.schedule(index * JOIN_MS / 2 / count, partial(cluster.start, name))
    cluster.run_until(JOIN_MS)
    return cluster


def run_until(
    cluster: SimulatedCluster, condition: Callable[[], bool], limit_ms: float = WAIT_LIMIT_MS
) -> float:
    """Run until a condition holds; return how long that took in ms, infinite if it did not in time."""
    begin_ms = cluster.now
    while not condition():
        if cluster.now - begin_ms >= limit_ms:
            return math.inf
        cluster.run_until(cluster.now + CHECK_INTERVAL_MS)
    return cluster.now - begin_ms


def all_have_met(cluster: SimulatedCluster, count: int) -> bool:
    """Whether every member knows as many."""
    views = (view_of(cluster, node) for node in cluster.nodes.values())
    return all(view is not None and len(view.members) >= count for view in views)


@dataclass(frozen=True, slots=True)
class RestartPropagation:
    """After how long each other member learned of a restart, infinite if it did not, and when all had."""

    learned_ms: list[float]
    all_learned_ms: float


def propagate_restart(cluster: SimulatedCluster, restarted: str, count: int) -> RestartPropagation:
    """Restart a member and let the news spread."""
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
    """Datagrams and bytes that each member has sent so far."""
    return [(node.sent_datagrams, node.sent_bytes) for node in cluster.nodes.values()]
