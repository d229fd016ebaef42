"""The history of discovery: all list versions and purges that it issued in a run."""

from __future__ import annotations

import math
from bisect import bisect_right
from typing import NamedTuple

from fleet_sim import Node, SimulatedCluster

from control_sim.discovery import INCARNATION_VERSION_BITS, VERSION_ENDPOINT, Discovery
from control_sim.router_nodes import Endpoints

# Version of an empty list.
NO_VERSION = 0


class IssuedPurge(NamedTuple):
    """A purge, with the simulated time at which it was issued."""

    target: str | int
    issued_unix_ms: float
    issued_at_ms: float


def version_of(endpoints: Endpoints) -> int:
    """Return the version of a list; ``NO_VERSION`` if the list is empty."""
    return int(endpoints[VERSION_ENDPOINT]["version"]) if endpoints else NO_VERSION


class DiscoveryHistory:
    """List versions with the times at which they became current, and purges in the order of issue."""

    def __init__(self) -> None:
        self.lists: dict[int, Endpoints] = {}
        self.purges: list[IssuedPurge] = []
        self.reset_at_ms = -math.inf  # the last time that discovery lost its disk
        self._versions: list[int] = []
        self._current_since_ms: list[float] = []  # for each version
        self._incarnation = 0
        self._observed_purges = 0

    def observe(self, cluster: SimulatedCluster, node: Node, discovery: Discovery) -> None:
        """Record the list version and the purges that discovery has issued since the last call."""
        if node.incarnation != self._incarnation:
            self._incarnation = node.incarnation
            self._observed_purges = 0
        self._observe_version(cluster.now, discovery)
        for target, issued_unix_ms in discovery.purges[self._observed_purges :]:
            self.purges.append(IssuedPurge(target, issued_unix_ms, cluster.now))
        self._observed_purges = len(discovery.purges)

    def version_at(self, at_ms: float) -> int:
        """Return the version that was current at a simulated time."""
        index = bisect_right(self._current_since_ms, at_ms) - 1
        return self._versions[index] if index >= 0 else NO_VERSION

    def issued_at_ms(self, target: str | int, issued_unix_ms: float) -> float:
        """Return the simulated time at which a purge was last issued; -inf if it never was."""
        for purge in reversed(self.purges):
            if purge.target == target and purge.issued_unix_ms == issued_unix_ms:
                return purge.issued_at_ms
        return -math.inf

    def _observe_version(self, now: float, discovery: Discovery) -> None:
        version = discovery.version
        if self._versions and self._versions[-1] == version:
            return
        if self._versions and self._reset_incarnation_of(version) != self._reset_incarnation_of(
            self._versions[-1]
        ):
            self.reset_at_ms = now
        self._versions.append(version)
        self._current_since_ms.append(now)
        self.lists[version] = dict(discovery.endpoints)

    @staticmethod
    def _reset_incarnation_of(version: int) -> int:
        return version >> INCARNATION_VERSION_BITS
