"""Fault plans: draws schedules of faults from a seed and applies them to a cluster."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from .cluster import SimulatedCluster
from .faults import (
    Cut,
    Fault,
    Flap,
    Garbage,
    Kill,
    Lag,
    Leave,
    Noise,
    Partition,
    Pause,
    Replay,
    WallClockStep,
)
from .network import LinkQuality

# Faults in the order of their start times.
Schedule = tuple[Fault, ...]

# Minimum duration of a drawn fault that is not momentary.
MIN_DURATION_MS = 100.0

# Mean of the duration above that minimum, as a fraction of the maximum duration.
MEAN_DURATION_SHARE = 0.25

# Probability that a killed process keeps its disk.
KEEP_DISK_PROBABILITY = 0.7

# Intervals of a flapping link: below the probe timeout, below the probe interval, and above it.
FLAP_INTERVALS_MS = (150.0, 700.0, 2_500.0)

# Minimum delays of a network within a rack, within a region and across regions.
MIN_DELAYS_MS = (0.2, 5.0, 40.0)

# Maximum delays, as a multiple of the minimum delay.
DELAY_RANGE_FACTORS = (2, 5)

# Probabilities that a datagram is lost.
LOSSES = (0.0, 0.05, 0.2, 0.5)

# Probabilities that a datagram is duplicated.
DUPLICATED_SHARES = (0.0, 0.1)

# Probabilities that a datagram is reordered.
REORDERED_SHARES = (0.0, 0.3)

# Timer delays: below and above the lateness that counts as a pause, and above the probe interval.
TIMER_DELAYS_MS = (50.0, 400.0, 1_500.0)

# Wall clock steps of one hour, such as a wrong time zone causes.
WALL_CLOCK_STEPS_MS = (-3.6e6, 3.6e6)

# Maximum number of datagrams of a replay.
MAX_REPLAYED = 20

# Maximum number of datagrams of one ``Garbage`` fault.
MAX_GARBAGE = 5


def schedule_faults(cluster: SimulatedCluster, schedule: Schedule) -> float:
    """Schedule the faults on a cluster; return the simulated time at which the last one has ended."""
    for index, fault in enumerate(schedule):
        _schedule_fault(cluster, fault, f"fault {index}")
    return max((fault.at_ms + fault.duration_ms for fault in schedule), default=0.0)


def _schedule_fault(cluster: SimulatedCluster, fault: Fault, cause: str) -> None:
    def begin() -> None:
        cluster.active_faults.add(cause)
        fault.begin(cluster, cause)

    def end() -> None:
        cluster.active_faults.discard(cause)
        fault.end(cluster, cause)

    cluster.schedule(fault.at_ms, begin)
    cluster.schedule(fault.at_ms + fault.duration_ms, end)


@dataclass(frozen=True, slots=True)
class FaultProfile:
    """The limits of a drawn schedule: start times, number, durations and kinds of its faults."""

    window_start_ms: float = 4_000.0
    window_end_ms: float = 14_000.0
    max_faults: int = 6
    max_duration_ms: float = 20_000.0
    kinds: tuple[str, ...] = field(default_factory=lambda: tuple(FAULT_KINDS))


def draw_schedule(seed: int, names: tuple[str, ...], profile: FaultProfile) -> Schedule:
    """Draw a schedule; equal arguments give equal schedules."""
    rng = random.Random(f"{seed}/schedule")
    count = rng.randint(1, profile.max_faults)
    faults = [_draw_fault(rng, names, profile) for _ in range(count)]
    return tuple(sorted(faults, key=lambda fault: fault.at_ms))


def _draw_fault(rng: random.Random, names: tuple[str, ...], profile: FaultProfile) -> Fault:
    at_ms = round(rng.uniform(profile.window_start_ms, profile.window_end_ms), 1)
    mean_ms = profile.max_duration_ms * MEAN_DURATION_SHARE
    duration_ms = round(min(profile.max_duration_ms, MIN_DURATION_MS + rng.expovariate(1 / mean_ms)), 1)
    kind = rng.choice(profile.kinds)
    return FAULT_KINDS[kind](_FaultDraw(rng, names, at_ms, duration_ms))


@dataclass(frozen=True, slots=True)
class _FaultDraw:
    """The drawn time of a fault, with the random source and node names for drawing its other properties."""

    rng: random.Random
    names: tuple[str, ...]
    at_ms: float
    duration_ms: float

    def node(self) -> str:
        """Draw a node."""
        return self.rng.choice(self.names)

    def link(self) -> tuple[str, str]:
        """Draw the source and the target of a link."""
        source, target = self.rng.sample(self.names, 2)
        return source, target

    def groups(self) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Draw the two sides of a partition."""
        shuffled = self.rng.sample(self.names, len(self.names))
        size = self.rng.randint(1, len(self.names) - 1)
        return tuple(shuffled[:size]), tuple(shuffled[size:])

    def chance(self, probability: float = 0.5) -> bool:
        """Return True with the given probability."""
        return self.rng.random() < probability

    def quality(self) -> LinkQuality:
        """Draw a link quality; the order of the fields determines the order of the draws."""
        choice = self.rng.choice
        min_delay_ms = choice(MIN_DELAYS_MS)
        return LinkQuality(
            loss=choice(LOSSES),
            min_delay_ms=min_delay_ms,
            max_delay_ms=min_delay_ms * choice(DELAY_RANGE_FACTORS),
            duplicated=choice(DUPLICATED_SHARES),
            reordered=choice(REORDERED_SHARES),
        )


def _draw_cut(draw: _FaultDraw) -> Fault:
    source, target = draw.link()
    return Cut(draw.at_ms, draw.duration_ms, source, target, draw.chance())


def _draw_partition(draw: _FaultDraw) -> Fault:
    return Partition(draw.at_ms, draw.duration_ms, draw.groups())


def _draw_flap(draw: _FaultDraw) -> Fault:
    source, target = draw.link()
    interval_ms = draw.rng.choice(FLAP_INTERVALS_MS)
    return Flap(draw.at_ms, draw.duration_ms, source, target, interval_ms, draw.chance())


def _draw_noise(draw: _FaultDraw) -> Fault:
    quality = draw.quality()
    node = draw.rng.choice(("", *draw.names))
    return Noise(draw.at_ms, draw.duration_ms, quality, node)


def _draw_kill(draw: _FaultDraw) -> Fault:
    return Kill(draw.at_ms, draw.duration_ms, draw.node(), draw.chance(KEEP_DISK_PROBABILITY))


def _draw_leave(draw: _FaultDraw) -> Fault:
    return Leave(draw.at_ms, draw.duration_ms, draw.node())


def _draw_pause(draw: _FaultDraw) -> Fault:
    return Pause(draw.at_ms, draw.duration_ms, draw.node())


def _draw_lag(draw: _FaultDraw) -> Fault:
    return Lag(draw.at_ms, draw.duration_ms, draw.node(), draw.rng.choice(TIMER_DELAYS_MS))


def _draw_wall_clock_step(draw: _FaultDraw) -> Fault:
    return WallClockStep(draw.at_ms, 0.0, draw.node(), draw.rng.choice(WALL_CLOCK_STEPS_MS))


def _draw_replay(draw: _FaultDraw) -> Fault:
    source, target = draw.link()
    return Replay(draw.at_ms, 0.0, source, target, draw.rng.randint(1, MAX_REPLAYED))


def _draw_garbage(draw: _FaultDraw) -> Fault:
    return Garbage(draw.at_ms, 0.0, draw.node(), draw.rng.randint(1, MAX_GARBAGE))


# The function that draws each kind of fault, by the kind's name on the command line.
FAULT_KINDS: dict[str, Callable[[_FaultDraw], Fault]] = {
    "cut": _draw_cut,
    "split": _draw_partition,
    "flap": _draw_flap,
    "noise": _draw_noise,
    "kill": _draw_kill,
    "leave": _draw_leave,
    "pause": _draw_pause,
    "lag": _draw_lag,
    "step": _draw_wall_clock_step,
    "replay": _draw_replay,
    "garbage": _draw_garbage,
}
