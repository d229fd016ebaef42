"""A small gossip machine, with faults that a simulation must find when they are switched on."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

from fleet_sim import Disk, Node, Subject, World
from sansio_core import (
    Action,
    Address,
    DatagramReceived,
    Notice,
    RandomSource,
    SendDatagram,
    SetTimer,
    ShutdownRequested,
    Started,
    TimerFired,
)

EVERY_MS = 200.0


@dataclass
class Gossip:
    """Spreads the largest count it knows of each name; counts its own lives on its disk."""

    name: str
    peers: list[Address]
    draw: RandomSource
    disk: Disk
    flaws: frozenset[str]
    known: dict[str, int] = field(default_factory=dict)

    def handle(self, now: float, event: object) -> list[Action]:
        if isinstance(event, Started):
            lives = 1 + self.disk.get("lives", 0)
            self.known[self.name] = self.disk["lives"] = lives
            return [SetTimer(EVERY_MS, 1)]
        if isinstance(event, TimerFired):
            if "talks" in self.flaws:
                return [SendDatagram(self.peers[0], b"x" * 257)]
            peer = self.peers[int(self.draw() * len(self.peers))]
            return [SendDatagram(peer, json.dumps(self.known).encode()), SetTimer(EVERY_MS, 1)]
        if isinstance(event, DatagramReceived):
            return self._merge(event.data)
        return [Notice("bye")] if isinstance(event, ShutdownRequested) else []

    def _merge(self, data: bytes) -> list[Action]:
        if "trusts" not in self.flaws and not data.startswith(b'{"'):
            return []
        told: list[Action] = []
        for name, lives in json.loads(data).items():
            if lives > self.known.get(name, 0) or ("forgets" in self.flaws and lives != self.known.get(name)):
                self.known[name] = lives
                told.append(Notice("learned", {"of": name, "lives": lives}))
        return told


class NeverBack:
    """No node's knowledge of another goes back within a life."""

    name = "never back"

    def __init__(self) -> None:
        self._seen: dict[tuple[str, int, str], int] = {}

    def check(self, world: World, node: Node) -> str | None:
        assert isinstance(node.machine, Gossip)
        for name, lives in node.machine.known.items():
            key = (node.name, node.incarnation, name)
            if lives < self._seen.get(key, 0):
                return f"{name} went back to {lives}"
            self._seen[key] = lives
        return None


def same_everywhere(world: World) -> str | None:
    tables = [n.machine.known for n in world.nodes.values() if n.running and isinstance(n.machine, Gossip)]
    return None if all(table == tables[0] for table in tables) else "tables differ"


def gossip(*flaws: str, names: int = 4, **settings: Any) -> Subject:
    def build(name: str, address: Address, incarnation: int, draw: RandomSource, disk: Disk) -> Gossip:
        peers = [peer for i in range(names) if (peer := (f"10.0.0.{i}", 7000)) != address]
        return Gossip(name, peers, draw, disk, frozenset(flaws))

    return Subject(build, lambda: [NeverBack()], same_everywhere, **{"settle_ms": 8_000.0, **settings})
