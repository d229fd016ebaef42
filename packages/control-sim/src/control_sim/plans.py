"""Drawn schedules of faults that fit the topology."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from fleet_sim import EntryKind, Fault, LinkQuality, Plan
from fleet_sim import SimulatedCluster as World
from fleet_sim.faults import Cut, Flap, Kill, Lag, Noise, Partition, Pause

from control_sim.topology import NAMES, SIBLINGS, UPSTREAMS

LINKS = tuple((a, b) for table in (UPSTREAMS, SIBLINGS) for a, others in table.items() for b in others)
RELAYS = ("r1", "r2", "c1")
ROUTERS = ("x1", "x2")
FROM_MS, UNTIL_MS, LONGEST_MS, MOST = 300.0, 5_000.0, 5_000.0, 5


@dataclass(frozen=True, slots=True)
class KillAll(Fault):
    """All relays at once, each restarted empty."""

    def begin(self, world: World, cause: str) -> None:
        world.record(EntryKind.FAULT, "all relays killed")
        for name in RELAYS:
            world.kill(name, cause)

    def end(self, world: World, cause: str) -> None:
        for name in RELAYS:
            if world.nodes[name].stopped_by == cause:
                world.start(name)


def plan(seed: int) -> Plan:
    draw = random.Random(f"{seed}/schedule")
    faults = [_fault(draw) for _ in range(draw.randint(1, MOST))]
    return Plan(seed, NAMES, tuple(sorted(faults, key=lambda fault: fault.at_ms)))


def _fault(draw: random.Random) -> Fault:
    at = round(draw.uniform(FROM_MS, UNTIL_MS), 1)
    lasts = round(min(LONGEST_MS, 100 + draw.expovariate(3 / LONGEST_MS)), 1)
    return KINDS[draw.choice(tuple(KINDS))](draw, at, lasts)


def _noise(draw: random.Random, at: float, lasts: float) -> Noise:
    least = draw.choice((0.5, 5.0, 60.0))
    quality = LinkQuality(
        draw.choice((0.0, 0.1, 0.4)), least, least * 4, duplicated=draw.choice((0.0, 0.1, 0.4))
    )
    return Noise(at, lasts, quality, draw.choice(("", *NAMES)))


def _split(draw: random.Random, at: float, lasts: float) -> Partition:
    mixed = draw.sample(NAMES, len(NAMES))
    where = draw.randint(1, len(NAMES) - 1)
    return Partition(at, lasts, (tuple(mixed[:where]), tuple(mixed[where:])))


def _one_way(draw: random.Random, at: float, lasts: float) -> Cut:
    source, target = draw.choice(LINKS)
    pair = (source, target) if draw.random() < 0.5 else (target, source)
    return Cut(at, lasts, *pair)


KINDS: dict[str, Callable[[random.Random, float, float], Fault]] = {
    "cut": lambda d, at, lasts: Cut(at, lasts, *d.choice(LINKS), both_ways=True),
    "cut one way": _one_way,
    "split": _split,
    "flap": lambda d, at, lasts: Flap(at, lasts, *d.choice(LINKS), d.choice((150.0, 700.0)), True),
    "noise": _noise,
    "relay killed": lambda d, at, lasts: Kill(at, lasts, d.choice(RELAYS)),
    "all relays killed": lambda d, at, lasts: KillAll(at, lasts),
    "router killed": lambda d, at, lasts: Kill(at, lasts, d.choice(ROUTERS)),
    "discovery down": lambda d, at, lasts: Kill(at, lasts, "d"),
    "discovery set back": lambda d, at, lasts: Kill(at, lasts, "d", keep_disk=False),
    "relay paused": lambda d, at, lasts: Pause(at, lasts, d.choice(RELAYS)),
    "router paused": lambda d, at, lasts: Pause(at, lasts, d.choice(ROUTERS)),
    "late timers": lambda d, at, lasts: Lag(at, lasts, d.choice(NAMES[1:]), d.choice((50.0, 400.0))),
}
