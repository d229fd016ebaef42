"""Random fault plans for the simulated topology."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from fleet_sim import EntryKind, Fault, LinkQuality, Plan, SimulatedCluster
from fleet_sim.faults import Cut, Flap, Kill, Lag, Noise, Partition, Pause

from control_sim.node_names import DISCOVERY_NAME, NODE_NAMES, RELAY_NAMES, ROUTER_NAMES
from control_sim.topology import SIBLINGS, UPSTREAMS

# The links on which polls are sent, each from the poller to the source.
LINKS = tuple(
    (poller, source)
    for table in (UPSTREAMS, SIBLINGS)
    for poller, sources in table.items()
    for source in sources
)

# Earliest start of a fault, in simulated time.
FIRST_FAULT_MS = 300.0

# Latest start of a fault.
LAST_FAULT_MS = 5_000.0

# Longest duration of a fault.
MAX_DURATION_MS = 5_000.0

# Shortest duration of a fault.
MIN_DURATION_MS = 100.0

# Rate of the exponential distribution of durations, which makes most faults short.
DURATION_RATE = 3 / MAX_DURATION_MS

# Upper bound on the faults of a plan.
MAX_FAULTS = 5

# Draws a fault of one kind; takes the random source, and the fault's start and duration (ms).
DrawFault = Callable[[random.Random, float, float], Fault]


@dataclass(frozen=True, slots=True)
class KillAllRelays(Fault):
    """All relays are killed by SIGKILL at the same time; each restarts without state."""

    def begin(self, cluster: SimulatedCluster, cause: str) -> None:
        """Kill all relays."""
        cluster.record(EntryKind.FAULT, "all relays killed")
        for name in RELAY_NAMES:
            cluster.kill(name, cause)

    def end(self, cluster: SimulatedCluster, cause: str) -> None:
        """Restart the relays that this fault killed."""
        for name in RELAY_NAMES:
            if cluster.nodes[name].stopped_by == cause:
                cluster.start(name)


def draw_plan(seed: int) -> Plan:
    """Return the fault plan of a seed, with one to ``MAX_FAULTS`` faults."""
    draw = random.Random(f"{seed}/schedule")
    faults = [_draw_fault(draw) for _ in range(draw.randint(1, MAX_FAULTS))]
    return Plan(seed, NODE_NAMES, tuple(sorted(faults, key=lambda fault: fault.at_ms)))


def _draw_fault(draw: random.Random) -> Fault:
    at_ms = round(draw.uniform(FIRST_FAULT_MS, LAST_FAULT_MS), 1)
    drawn_ms = MIN_DURATION_MS + draw.expovariate(DURATION_RATE)
    duration_ms = round(min(MAX_DURATION_MS, drawn_ms), 1)
    return FAULT_KINDS[draw.choice(tuple(FAULT_KINDS))](draw, at_ms, duration_ms)


def _draw_noise(draw: random.Random, at_ms: float, duration_ms: float) -> Noise:
    least_ms = draw.choice((0.5, 5.0, 60.0))
    loss = draw.choice((0.0, 0.1, 0.4))
    duplicated = draw.choice((0.0, 0.1, 0.4))
    quality = LinkQuality(loss, least_ms, least_ms * 4, duplicated=duplicated)
    return Noise(at_ms, duration_ms, quality, draw.choice(("", *NODE_NAMES)))


def _draw_partition(draw: random.Random, at_ms: float, duration_ms: float) -> Partition:
    shuffled = draw.sample(NODE_NAMES, len(NODE_NAMES))
    split = draw.randint(1, len(NODE_NAMES) - 1)
    return Partition(at_ms, duration_ms, (tuple(shuffled[:split]), tuple(shuffled[split:])))


def _draw_one_way_cut(draw: random.Random, at_ms: float, duration_ms: float) -> Cut:
    source, target = draw.choice(LINKS)
    if draw.random() < 0.5:
        return Cut(at_ms, duration_ms, source, target)
    return Cut(at_ms, duration_ms, target, source)


# The kinds of faults by name.  The order determines the plan that a seed gives.
FAULT_KINDS: dict[str, DrawFault] = {
    "cut": lambda draw, at_ms, ms: Cut(at_ms, ms, *draw.choice(LINKS), both_ways=True),
    "cut one way": _draw_one_way_cut,
    "split": _draw_partition,
    "flap": lambda draw, at_ms, ms: Flap(at_ms, ms, *draw.choice(LINKS), draw.choice((150.0, 700.0)), True),
    "noise": _draw_noise,
    "relay killed": lambda draw, at_ms, ms: Kill(at_ms, ms, draw.choice(RELAY_NAMES)),
    "all relays killed": lambda _, at_ms, ms: KillAllRelays(at_ms, ms),
    "router killed": lambda draw, at_ms, ms: Kill(at_ms, ms, draw.choice(ROUTER_NAMES)),
    "discovery down": lambda _, at_ms, ms: Kill(at_ms, ms, DISCOVERY_NAME),
    "discovery set back": lambda _, at_ms, ms: Kill(at_ms, ms, DISCOVERY_NAME, keep_disk=False),
    "relay paused": lambda draw, at_ms, ms: Pause(at_ms, ms, draw.choice(RELAY_NAMES)),
    "router paused": lambda draw, at_ms, ms: Pause(at_ms, ms, draw.choice(ROUTER_NAMES)),
    "late timers": lambda draw, at_ms, ms: Lag(
        at_ms, ms, draw.choice(NODE_NAMES[1:]), draw.choice((50.0, 400.0))
    ),
}
