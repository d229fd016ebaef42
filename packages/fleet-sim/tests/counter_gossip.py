"""A small gossip state machine, and mutants of it that a simulation must detect."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from fleet_sim import Disk, Node, SimulatedCluster, Subject
from fleet_sim.cluster import address_of
from sansio_core import (
    MAX_DATAGRAM_BYTES,
    Action,
    Address,
    DatagramReceived,
    Event,
    Notice,
    RandomSource,
    SendDatagram,
    SetTimer,
    ShutdownRequested,
    Started,
    TimerFired,
)

GOSSIP_INTERVAL_MS = 200.0


class Mutant(Enum):
    """Defects that can be injected into the state machine."""

    OVERSIZED_DATAGRAMS = "sends datagrams that are too large"
    SKIPS_INPUT_CHECK = "decodes datagrams without a check"
    ACCEPTS_LOWER_COUNTS = "takes over lower counts"


@dataclass
class CounterGossip:
    """Gossips the largest known count for each name; counts its own starts on its disk."""

    name: str
    peers: list[Address]
    random: RandomSource
    disk: Disk
    mutants: frozenset[Mutant]
    counts: dict[str, int] = field(default_factory=dict)

    def handle(self, now: float, event: Event) -> list[Action]:
        match event:
            case Started():
                start_count = 1 + self.disk.get("starts", 0)
                self.disk["starts"] = start_count
                self.counts[self.name] = start_count
                return [SetTimer(GOSSIP_INTERVAL_MS, 1)]
            case TimerFired():
                return self._send()
            case DatagramReceived(_, data):
                return self._merge(data)
            case ShutdownRequested():
                return [Notice("bye")]

    def _send(self) -> list[Action]:
        if Mutant.OVERSIZED_DATAGRAMS in self.mutants:
            return [SendDatagram(self.peers[0], b"x" * (MAX_DATAGRAM_BYTES + 1))]
        peer = self.peers[int(self.random() * len(self.peers))]
        return [SendDatagram(peer, json.dumps(self.counts).encode()), SetTimer(GOSSIP_INTERVAL_MS, 1)]

    def _merge(self, data: bytes) -> list[Action]:
        if Mutant.SKIPS_INPUT_CHECK not in self.mutants and not data.startswith(b'{"'):
            return []
        notices: list[Action] = []
        for name, count in json.loads(data).items():
            if self._replaces(name, count):
                self.counts[name] = count
                notices.append(Notice("learned", {"of": name, "starts": count}))
        return notices

    def _replaces(self, name: str, count: int) -> bool:
        if Mutant.ACCEPTS_LOWER_COUNTS in self.mutants:
            return count != self.counts.get(name)
        return count > self.counts.get(name, 0)


class MonotonicCounts:
    """Checks that no count known to a process decreases."""

    name = "monotonic counts"

    def __init__(self) -> None:
        self._observed_counts: dict[tuple[str, int, str], int] = {}

    def check(self, cluster: SimulatedCluster, node: Node) -> str | None:
        assert isinstance(node.machine, CounterGossip)
        for name, count in node.machine.counts.items():
            key = (node.name, node.incarnation, name)
            if count < self._observed_counts.get(key, 0):
                return f"count of {name} decreased to {count}"
            self._observed_counts[key] = count
        return None


def find_difference(cluster: SimulatedCluster) -> str | None:
    tables = [
        node.machine.counts
        for node in cluster.nodes.values()
        if node.is_running and isinstance(node.machine, CounterGossip)
    ]
    return None if all(table == tables[0] for table in tables) else "tables differ"


def gossip_subject(*mutants: Mutant, nodes: int = 4, **settings: Any) -> Subject:
    def build(
        name: str, address: Address, incarnation: int, random: RandomSource, disk: Disk
    ) -> CounterGossip:
        peers = [address_of(index) for index in range(nodes) if address_of(index) != address]
        return CounterGossip(name, peers, random, disk, frozenset(mutants))

    defaults = {"settle_timeout_ms": 8_000.0}
    return Subject(
        build,
        invariants=lambda: [MonotonicCounts()],
        find_unsettled=find_difference,
        **defaults | settings,
    )
