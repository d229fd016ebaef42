"""One seeded run of a subject under a schedule, and what came of it."""

from __future__ import annotations

import string
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from .cluster import Carry, Describe, Invariant, Violation, World
from .faults import Schedule, Weather, draw_schedule, plant
from .network import Quality
from .node import Factory
from .trace import Entry
from .trace_rendering import render

POLL_MS = 250.0  # how often the end of a run is asked whether all has settled


@dataclass(frozen=True)
class Subject:
    """What is simulated and what must be true of it.

    `settled` says what is still wrong once faults have ended (None: nothing), for at most `settle_ms`.
    `invariants` are made anew for each run; `tally` hooks listeners that only count and never fail a run.
    """

    factory: Factory
    invariants: Callable[[], Iterable[Invariant]] = tuple
    settled: Callable[[World], str | None] = lambda world: None
    settle_ms: float = 20_000.0
    base: Quality = field(default_factory=Quality)
    describe: Describe = lambda data: ""
    carry: Mapping[type, Carry] = field(default_factory=dict)
    tally: Callable[[World, Counter[str]], None] = lambda world, counts: None


@dataclass(frozen=True)
class Plan:
    """All that determines a run of a subject."""

    seed: int
    names: tuple[str, ...]
    schedule: Schedule


@dataclass(frozen=True)
class Outcome:
    """`settled_ms` counts from the end of the last fault; `log` has messages of note only in a traced run."""

    plan: Plan
    violation: Violation | None
    steps: int
    simulated_ms: float
    settled_ms: float
    counts: Counter[str]
    log: list[Entry]

    def story(self, lines: int = 120) -> str:
        """The failure, its schedule and its timeline."""
        faults = "\n".join(f"  {fault}" for fault in self.plan.schedule)
        head = f"seed {self.plan.seed}, {len(self.plan.names)} nodes: {self.violation or 'holds'}"
        return f"{head}\nschedule:\n{faults}\n{render(self.log, self.plan.names, lines)}"


def node_names(count: int) -> tuple[str, ...]:
    """a, b, c, ... or n0, n1, ... past 26."""
    return tuple(string.ascii_lowercase[:count] if count <= 26 else (f"n{i}" for i in range(count)))


def drawn_plan(seed: int, count: int, weather: Weather) -> Plan:
    names = node_names(count)
    return Plan(seed, names, draw_schedule(seed, names, weather))


def run(subject: Subject, plan: Plan, *, trace: bool = False) -> Outcome:
    """Run to the first violation, or until all has settled after the last fault."""
    world = make_world(subject, plan.seed, plan.names, trace)
    counts: Counter[str] = Counter()
    subject.tally(world, counts)
    healed = plant(world, plan.schedule)
    violation = None
    try:
        for name in plan.names:
            world.start(name)
        world.run_until(healed)
        _settle(world, subject, healed)
    except Violation as error:
        violation = error
    return Outcome(plan, violation, world.steps, world.now, world.now - healed, counts, world.log)


def make_world(subject: Subject, seed: int, names: tuple[str, ...], trace: bool) -> World:
    return World(
        seed,
        names,
        subject.factory,
        base=subject.base,
        invariants=subject.invariants(),
        describe=subject.describe if trace else None,
        carry=subject.carry,
    )


def _settle(world: World, subject: Subject, healed: float) -> None:
    limit = healed + subject.settle_ms
    while (wrong := subject.settled(world)) is not None:
        if world.now >= limit:
            raise Violation("settled", world.now, "", f"{subject.settle_ms:.0f} ms after healing: {wrong}")
        world.run_until(min(limit, world.now + POLL_MS))
