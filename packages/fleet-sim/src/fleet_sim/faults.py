"""Faults as plain data: each begins at a time, works for a while and ends; a schedule is a tuple of them."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import permutations

from .cluster import World
from .network import Link, Quality
from .trace import Kind


def pair(source: str, target: str, both: bool) -> list[Link]:
    return [(source, target), (target, source)] if both else [(source, target)]


def across(groups: tuple[tuple[str, ...], ...]) -> list[Link]:
    """All links between different groups, in a stable order."""
    return [(a, b) for one, other in permutations(groups, 2) for a in one for b in other]


@dataclass(frozen=True, slots=True)
class Fault:
    """Base: begins at `at_ms`, ends `lasts_ms` later (0: momentary). `cause` names it in the run."""

    at_ms: float
    lasts_ms: float

    def begin(self, world: World, cause: str) -> None:
        raise NotImplementedError

    def end(self, world: World, cause: str) -> None:
        """Undo it; nothing by default."""


@dataclass(frozen=True, slots=True)
class Cut(Fault):
    source: str
    target: str
    both: bool = False

    def begin(self, world: World, cause: str) -> None:
        world.cut(pair(self.source, self.target, self.both), cause)

    def end(self, world: World, cause: str) -> None:
        world.mend(cause)


@dataclass(frozen=True, slots=True)
class Partition(Fault):
    groups: tuple[tuple[str, ...], ...]

    def begin(self, world: World, cause: str) -> None:
        world.note(Kind.FAULT, "split " + " / ".join(" ".join(group) for group in self.groups))
        world.cut(across(self.groups), cause)

    def end(self, world: World, cause: str) -> None:
        world.mend(cause)


@dataclass(frozen=True, slots=True)
class Flap(Fault):
    """A link that breaks and heals in turn, each for `every_ms`."""

    source: str
    target: str
    every_ms: float
    both: bool = False

    def begin(self, world: World, cause: str) -> None:
        world.note(Kind.FAULT, f"link to {self.target} flaps", self.source)
        self._turn(world, cause, broken=True)

    def end(self, world: World, cause: str) -> None:
        world.mend(cause)

    def _turn(self, world: World, cause: str, broken: bool) -> None:
        if cause not in world.stormy:
            return
        if broken:
            world.cut(pair(self.source, self.target, self.both), cause)
        else:
            world.mend(cause)
        world.at(world.now + self.every_ms, lambda: self._turn(world, cause, not broken))


@dataclass(frozen=True, slots=True)
class Noise(Fault):
    """Loss, delay, doubling and reordering on all links, or on those from and to one node."""

    quality: Quality
    node: str = ""

    def begin(self, world: World, cause: str) -> None:
        q = self.quality
        text = f"noise: loss {q.loss:.2f}, delay {q.least_ms:.0f}-{q.most_ms:.0f} ms"
        world.note(Kind.FAULT, f"{text}, doubled {q.doubled:.2f}, reordered {q.reordered:.2f}", self.node)
        world.network.worsen(cause, q, self.node)

    def end(self, world: World, cause: str) -> None:
        world.note(Kind.FAULT, "noise ends", self.node)
        world.network.calm(cause)


@dataclass(frozen=True, slots=True)
class Kill(Fault):
    """`kill -9`, and a restart at the end."""

    node: str
    keep_disk: bool = True

    def begin(self, world: World, cause: str) -> None:
        world.kill(self.node, cause, self.keep_disk)

    def end(self, world: World, cause: str) -> None:
        if world.nodes[self.node].down_by == cause:
            world.start(self.node)


@dataclass(frozen=True, slots=True)
class Leave(Fault):
    """An end in order, and a restart at the end."""

    node: str

    def begin(self, world: World, cause: str) -> None:
        world.leave(self.node, cause)

    def end(self, world: World, cause: str) -> None:
        if world.nodes[self.node].down_by == cause:
            world.start(self.node)


@dataclass(frozen=True, slots=True)
class Pause(Fault):
    """SIGSTOP, and SIGCONT at the end."""

    node: str

    def begin(self, world: World, cause: str) -> None:
        world.pause(self.node)

    def end(self, world: World, cause: str) -> None:
        world.resume(self.node)


@dataclass(frozen=True, slots=True)
class Lag(Fault):
    """A busy process: its timers fire up to `late_ms` late."""

    node: str
    late_ms: float

    def begin(self, world: World, cause: str) -> None:
        world.note(Kind.FAULT, f"timers up to {self.late_ms:.0f} ms late", self.node)
        world.nodes[self.node].late[cause] = self.late_ms

    def end(self, world: World, cause: str) -> None:
        world.note(Kind.FAULT, "timers on time", self.node)
        world.nodes[self.node].late.pop(cause, None)


@dataclass(frozen=True, slots=True)
class WallStep(Fault):
    """Someone sets the wall clock; no machine may care."""

    node: str
    by_ms: float

    def begin(self, world: World, cause: str) -> None:
        world.note(Kind.FAULT, f"wall clock {self.by_ms:+.0f} ms", self.node)
        world.nodes[self.node].wall_ms += self.by_ms


@dataclass(frozen=True, slots=True)
class Replay(Fault):
    """An eavesdropper sends again what it saw on a link."""

    source: str
    target: str
    count: int

    def begin(self, world: World, cause: str) -> None:
        world.note(Kind.FAULT, f"{self.count} datagrams of {self.source} replayed", self.target)
        for datagram in world.network.taped(self.source, self.target)[-self.count :]:
            world.forge(self.target, datagram.source, datagram.data)


@dataclass(frozen=True, slots=True)
class Garbage(Fault):
    """Datagrams of random bytes, from no one's address."""

    target: str
    count: int

    def begin(self, world: World, cause: str) -> None:
        world.note(Kind.FAULT, f"{self.count} datagrams of garbage", self.target)
        draw = random.Random(f"{world.seed}/{cause}")
        for _ in range(self.count):
            world.forge(self.target, ("192.0.2.1", 9), draw.randbytes(draw.randrange(257)))


Schedule = tuple[Fault, ...]


def plant(world: World, schedule: Schedule) -> float:
    """Queue a schedule; returns the world time at which its last fault has ended."""
    for index, fault in enumerate(schedule):
        _plant(world, fault, f"fault {index}")
    return max((fault.at_ms + fault.lasts_ms for fault in schedule), default=0.0)


def _plant(world: World, fault: Fault, cause: str) -> None:
    def begin() -> None:
        world.storm(cause, True)
        fault.begin(world, cause)

    def end() -> None:
        world.storm(cause, False)
        fault.end(world, cause)

    world.at(fault.at_ms, begin)
    world.at(fault.at_ms + fault.lasts_ms, end)


@dataclass(frozen=True, slots=True)
class Weather:
    """How hard a drawn schedule is: its window in ms, its faults, and how long they may last."""

    from_ms: float = 4_000.0
    until_ms: float = 14_000.0
    most_faults: int = 6
    longest_ms: float = 20_000.0
    kinds: tuple[str, ...] = field(default_factory=lambda: tuple(KINDS))


def draw_schedule(seed: int, names: tuple[str, ...], weather: Weather) -> Schedule:
    """A schedule in the order of its times, determined by the arguments."""
    draw = random.Random(f"{seed}/schedule")
    faults = [_draw_fault(draw, names, weather) for _ in range(draw.randint(1, weather.most_faults))]
    return tuple(sorted(faults, key=lambda fault: fault.at_ms))


def _draw_fault(draw: random.Random, names: tuple[str, ...], weather: Weather) -> Fault:
    at = round(draw.uniform(weather.from_ms, weather.until_ms), 1)
    lasts = round(min(weather.longest_ms, 100 + draw.expovariate(4 / weather.longest_ms)), 1)
    return KINDS[draw.choice(weather.kinds)](draw, names, at, lasts)


def _halves(draw: random.Random, names: tuple[str, ...]) -> tuple[tuple[str, ...], ...]:
    mixed = draw.sample(names, len(names))
    at = draw.randint(1, len(names) - 1)
    return tuple(mixed[:at]), tuple(mixed[at:])


def _two(draw: random.Random, names: tuple[str, ...]) -> tuple[str, str]:
    source, target = draw.sample(names, 2)
    return source, target


def _quality(draw: random.Random) -> Quality:
    least = draw.choice((0.2, 5.0, 40.0))
    loss = draw.choice((0.0, 0.05, 0.2, 0.5))
    return Quality(loss, least, least * draw.choice((2, 5)), draw.choice((0.0, 0.1)), draw.choice((0.0, 0.3)))


def _flap(draw: random.Random, names: tuple[str, ...], at: float, lasts: float) -> Flap:
    source, target = _two(draw, names)
    return Flap(at, lasts, source, target, draw.choice((150.0, 700.0, 2_500.0)), draw.random() < 0.5)


_Make = Callable[[random.Random, tuple[str, ...], float, float], Fault]
KINDS: dict[str, _Make] = {
    "cut": lambda d, names, at, lasts: Cut(at, lasts, *_two(d, names), d.random() < 0.5),
    "split": lambda d, names, at, lasts: Partition(at, lasts, _halves(d, names)),
    "flap": _flap,
    "noise": lambda d, names, at, lasts: Noise(at, lasts, _quality(d), d.choice(("", *names))),
    "kill": lambda d, names, at, lasts: Kill(at, lasts, d.choice(names), d.random() < 0.7),
    "leave": lambda d, names, at, lasts: Leave(at, lasts, d.choice(names)),
    "pause": lambda d, names, at, lasts: Pause(at, lasts, d.choice(names)),
    "lag": lambda d, names, at, lasts: Lag(at, lasts, d.choice(names), d.choice((50.0, 400.0, 1_500.0))),
    "step": lambda d, names, at, _: WallStep(at, 0.0, d.choice(names), d.choice((-3.6e6, 3.6e6))),
    "replay": lambda d, names, at, _: Replay(at, 0.0, *_two(d, names), d.randint(1, 20)),
    "garbage": lambda d, names, at, _: Garbage(at, 0.0, d.choice(names), d.randint(1, 5)),
}
