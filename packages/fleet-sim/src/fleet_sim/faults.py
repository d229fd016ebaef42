"""The faults of a run: each begins at a time, is in effect for a duration, and ends."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from dataclasses import dataclass
from itertools import permutations

from sansio_core import MAX_DATAGRAM_BYTES, Address

from .cluster import SimulatedCluster
from .network import Link, LinkQuality
from .trace import EntryKind

# The source address of garbage: one reserved for documentation (RFC 5737), which no node has.
FORGED_SOURCE: Address = ("192.0.2.1", 9)


def links_between(source: str, target: str, both_ways: bool) -> list[Link]:
    """Return the link from one node to another, and with ``both_ways`` the link back."""
    if both_ways:
        return [(source, target), (target, source)]
    return [(source, target)]


def links_across(groups: tuple[tuple[str, ...], ...]) -> list[Link]:
    """Return all links between different groups, in a stable order."""
    return [
        (source, target)
        for source_group, target_group in permutations(groups, 2)
        for source in source_group
        for target in target_group
    ]


@dataclass(frozen=True, slots=True)
class Fault(ABC):
    """A fault that begins at ``at_ms`` and ends ``duration_ms`` later (0: a momentary fault).

    The argument ``cause`` of its methods is the unique identifier of the fault within the run.
    """

    at_ms: float
    duration_ms: float

    @abstractmethod
    def begin(self, cluster: SimulatedCluster, cause: str, /) -> None:
        """Begin the effect of the fault."""

    def end(self, cluster: SimulatedCluster, cause: str, /) -> None:  # noqa: B027 - momentary faults have no end
        """End the effect; faults with a duration override this."""


@dataclass(frozen=True, slots=True)
class Cut(Fault):
    """A link that carries no datagrams, in one direction or both."""

    source: str
    target: str
    both_ways: bool = False

    def begin(self, cluster: SimulatedCluster, cause: str) -> None:
        """Cut the link."""
        cluster.cut(links_between(self.source, self.target, self.both_ways), cause)

    def end(self, cluster: SimulatedCluster, cause: str) -> None:
        """Heal the link."""
        cluster.heal(cause)


@dataclass(frozen=True, slots=True)
class Partition(Fault):
    """Groups of nodes that cannot reach each other."""

    groups: tuple[tuple[str, ...], ...]

    def begin(self, cluster: SimulatedCluster, cause: str) -> None:
        """Cut all links between the groups."""
        cluster.record(EntryKind.FAULT, "split " + " / ".join(" ".join(group) for group in self.groups))
        cluster.cut(links_across(self.groups), cause)

    def end(self, cluster: SimulatedCluster, cause: str) -> None:
        """Heal the links."""
        cluster.heal(cause)


@dataclass(frozen=True, slots=True)
class Flap(Fault):
    """A link that is cut and healed alternately, each for ``interval_ms``."""

    source: str
    target: str
    interval_ms: float
    both_ways: bool = False

    def begin(self, cluster: SimulatedCluster, cause: str) -> None:
        """Cut the link for the first time."""
        cluster.record(EntryKind.FAULT, f"link to {self.target} flaps", self.source)
        self._cut(cluster, cause)

    def end(self, cluster: SimulatedCluster, cause: str) -> None:
        """Heal the link."""
        cluster.heal(cause)

    def _cut(self, cluster: SimulatedCluster, cause: str) -> None:
        if cause in cluster.active_faults:
            cluster.cut(links_between(self.source, self.target, self.both_ways), cause)
            cluster.schedule(cluster.now + self.interval_ms, lambda: self._heal(cluster, cause))

    def _heal(self, cluster: SimulatedCluster, cause: str) -> None:
        if cause in cluster.active_faults:
            cluster.heal(cause)
            cluster.schedule(cluster.now + self.interval_ms, lambda: self._cut(cluster, cause))


@dataclass(frozen=True, slots=True)
class Noise(Fault):
    """Loss, delay, duplication and reordering on all links, or on those from and to ``node``."""

    quality: LinkQuality
    node: str = ""

    def begin(self, cluster: SimulatedCluster, cause: str) -> None:
        """Degrade the links."""
        quality = self.quality
        delays = f"{quality.min_delay_ms:.0f}-{quality.max_delay_ms:.0f} ms"
        text = (
            f"noise: loss {quality.loss:.2f}, delay {delays}, "
            f"doubled {quality.duplicated:.2f}, reordered {quality.reordered:.2f}"
        )
        cluster.record(EntryKind.FAULT, text, self.node)
        cluster.network.degrade(cause, quality, self.node)

    def end(self, cluster: SimulatedCluster, cause: str) -> None:
        """End the degradation."""
        cluster.record(EntryKind.FAULT, "noise ends", self.node)
        cluster.network.end_degradation(cause)


@dataclass(frozen=True, slots=True)
class Kill(Fault):
    """A process that is killed (SIGKILL), and restarted at the end of the fault."""

    node: str
    keep_disk: bool = True

    def begin(self, cluster: SimulatedCluster, cause: str) -> None:
        """Kill the process."""
        cluster.kill(self.node, cause, self.keep_disk)

    def end(self, cluster: SimulatedCluster, cause: str) -> None:
        """Restart the process."""
        _restart(cluster, self.node, cause)


@dataclass(frozen=True, slots=True)
class Leave(Fault):
    """A process that is shut down gracefully, and restarted at the end of the fault."""

    node: str

    def begin(self, cluster: SimulatedCluster, cause: str) -> None:
        """Shut the process down."""
        cluster.leave(self.node, cause)

    def end(self, cluster: SimulatedCluster, cause: str) -> None:
        """Restart the process."""
        _restart(cluster, self.node, cause)


def _restart(cluster: SimulatedCluster, name: str, cause: str) -> None:
    """Restart a process if it was stopped by this fault."""
    if cluster.nodes[name].stopped_by == cause:
        cluster.start(name)


@dataclass(frozen=True, slots=True)
class Pause(Fault):
    """A process that is paused (SIGSTOP), and continued at the end of the fault (SIGCONT)."""

    node: str

    def begin(self, cluster: SimulatedCluster, _cause: str) -> None:
        """Pause the process."""
        cluster.pause(self.node)

    def end(self, cluster: SimulatedCluster, _cause: str) -> None:
        """Continue the process."""
        cluster.resume(self.node)


@dataclass(frozen=True, slots=True)
class Lag(Fault):
    """A busy process: its timers fire up to ``max_delay_ms`` late."""

    node: str
    max_delay_ms: float

    def begin(self, cluster: SimulatedCluster, cause: str) -> None:
        """Delay the process's timers."""
        cluster.record(EntryKind.FAULT, f"timers up to {self.max_delay_ms:.0f} ms late", self.node)
        cluster.nodes[self.node].timer_delays_ms[cause] = self.max_delay_ms

    def end(self, cluster: SimulatedCluster, cause: str) -> None:
        """End the delay."""
        cluster.record(EntryKind.FAULT, "timers on time", self.node)
        cluster.nodes[self.node].timer_delays_ms.pop(cause, None)


@dataclass(frozen=True, slots=True)
class WallClockStep(Fault):
    """A step of the wall clock; it only appears in the trace, since no state machine reads that clock."""

    node: str
    by_ms: float

    def begin(self, cluster: SimulatedCluster, _cause: str) -> None:
        """Record the step."""
        cluster.record(EntryKind.FAULT, f"wall clock {self.by_ms:+.0f} ms", self.node)


@dataclass(frozen=True, slots=True)
class Replay(Fault):
    """The newest recorded datagrams of a link, sent again as by an attacker."""

    source: str
    target: str
    count: int

    def begin(self, cluster: SimulatedCluster, _cause: str) -> None:
        """Send the newest datagrams of the link again."""
        cluster.record(EntryKind.FAULT, f"{self.count} datagrams of {self.source} replayed", self.target)
        for datagram in cluster.network.recorded(self.source, self.target)[-self.count :]:
            cluster.inject(self.target, datagram.source, datagram.data)


@dataclass(frozen=True, slots=True)
class Garbage(Fault):
    """Datagrams of random bytes, sent from the address of no node."""

    target: str
    count: int

    def begin(self, cluster: SimulatedCluster, cause: str) -> None:
        """Send the datagrams."""
        cluster.record(EntryKind.FAULT, f"{self.count} datagrams of garbage", self.target)
        rng = random.Random(f"{cluster.seed}/{cause}")
        for _ in range(self.count):
            data = rng.randbytes(rng.randrange(MAX_DATAGRAM_BYTES + 1))
            cluster.inject(self.target, FORGED_SOURCE, data)
