"""The cost of an environment between two samples, by the kind of process."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

from fleet_scale.environment.processes import call_all
from fleet_scale.environment.scale_environment import ScaleEnvironment
from fleet_scale.messages import DiscoveryFigures, HollowGroupFigures, LoadFigures, ReportFigures
from fleet_scale.process_usage import ProcessUsage

# Fields of the first line of /proc/stat, in ticks: all kinds of processor time, and the two idle kinds.
PROCESSOR_FIELDS = slice(1, 9)
IDLE_FIELD = 3
IO_WAIT_FIELD = 4

Figures = TypeVar("Figures")


@dataclass(frozen=True, slots=True)
class MachineTime:
    """Processor time of all cores since boot, in ticks, and the busy part of it."""

    busy: float
    total: float


@dataclass(frozen=True, slots=True)
class Sample:
    """All figures of an environment; ``taken_s`` is on the monotonic clock."""

    taken_s: float
    hollow_groups: Sequence[HollowGroupFigures]
    discoveries: Sequence[DiscoveryFigures]
    relays: Mapping[str, ProcessUsage]
    full_routers: Sequence[ProcessUsage]
    load: LoadFigures | None
    machine: MachineTime


def take_sample(environment: ScaleEnvironment) -> Sample:
    """Collect the figures of all processes."""
    load = environment.load
    return Sample(
        taken_s=time.monotonic(),
        hollow_groups=call_all(environment.hollow_workers, ReportFigures(), HollowGroupFigures),
        discoveries=call_all(environment.discoveries, ReportFigures(), DiscoveryFigures),
        relays={name: relay.usage() for name, relay in environment.relays.items()},
        full_routers=[router.usage() for router in environment.full_routers],
        load=load.call(ReportFigures(), LoadFigures) if load is not None else None,
        machine=_machine_time(),
    )


def _machine_time() -> MachineTime:
    first_line = Path("/proc/stat").read_text().split("\n", 1)[0]
    ticks = [float(word) for word in first_line.split()[PROCESSOR_FIELDS]]
    total = sum(ticks)
    return MachineTime(total - ticks[IDLE_FIELD] - ticks[IO_WAIT_FIELD], total)


@dataclass(frozen=True, slots=True)
class HollowRouterCost:
    """The average cost of a hollow router; bytes are those of its channel, without TCP and IP headers.

    Its memory is the private memory of its process, divided by the routers in the process.
    """

    core_share: float
    bytes_in_per_s: float
    bytes_out_per_s: float
    polls_per_s: float
    datagrams_per_s: float
    private_mb: float


@dataclass(frozen=True, slots=True)
class DiscoveryCost:
    """The cost of all discovery processes together; the memory is that of the largest."""

    core_share: float
    polls_per_s: float
    bytes_out_per_s: float
    private_mb: float
    connections: int


@dataclass(frozen=True, slots=True)
class RelayCost:
    """For each kind of cost, that of the relay with the highest."""

    core_share: float
    private_mb: float
    descriptors: int


@dataclass(frozen=True, slots=True)
class FullRouterCost:
    """The average processor time of a full router, and the memory of the largest."""

    core_share: float
    resident_mb: float
    private_mb: float


@dataclass(frozen=True, slots=True)
class Cost:
    """The cost between two samples; a core share of 1 is one core that is busy all the time."""

    seconds: float
    routers: int
    hollow_router: HollowRouterCost
    discovery: DiscoveryCost
    relay: RelayCost
    full_router: FullRouterCost
    machine_busy_share: float  # share of all cores that is busy, also with other programs


def cost_between(before: Sample, after: Sample) -> Cost:
    """Return the cost between two samples of one environment."""
    machine_ticks = after.machine.total - before.machine.total
    busy_ticks = after.machine.busy - before.machine.busy
    return Cost(
        seconds=after.taken_s - before.taken_s,
        routers=_running(after),
        hollow_router=_hollow_router_cost(before, after),
        discovery=_discovery_cost(before, after),
        relay=_relay_cost(before, after),
        full_router=_full_router_cost(before, after),
        machine_busy_share=busy_ticks / max(machine_ticks, 1.0),
    )


def total_increase(
    before: Sequence[Figures], after: Sequence[Figures], value: Callable[[Figures], float]
) -> float:
    """Return the increase of a value, summed over all processes of one kind."""
    return sum(value(new) - value(old) for old, new in zip(before, after, strict=True))


def relay_cpu_s(before: Sample, after: Sample) -> list[float]:
    """Return the processor time, in seconds, of each relay that was not restarted between the samples."""
    pairs = [(before.relays[name], usage) for name, usage in after.relays.items() if name in before.relays]
    return [new.cpu_s - old.cpu_s for old, new in pairs if new.cpu_s >= old.cpu_s]


def _running(sample: Sample) -> int:
    return sum(group.running for group in sample.hollow_groups)


def _maximum(values: Iterable[float]) -> float:
    return max(values, default=0.0)


def _hollow_router_cost(before: Sample, after: Sample) -> HollowRouterCost:
    routers = max(_running(after), 1)
    router_seconds = (after.taken_s - before.taken_s) * routers

    def rate(value: Callable[[HollowGroupFigures], float]) -> float:
        return total_increase(before.hollow_groups, after.hollow_groups, value) / router_seconds

    return HollowRouterCost(
        core_share=rate(lambda group: group.usage.cpu_s),
        bytes_in_per_s=rate(lambda group: group.counters.bytes_in),
        bytes_out_per_s=rate(lambda group: group.counters.bytes_out),
        polls_per_s=rate(lambda group: group.counters.polls),
        datagrams_per_s=rate(lambda group: group.datagrams_in + group.datagrams_out),
        private_mb=sum(group.usage.private_mb for group in after.hollow_groups) / routers,
    )


def _discovery_cost(before: Sample, after: Sample) -> DiscoveryCost:
    seconds = after.taken_s - before.taken_s

    def rate(value: Callable[[DiscoveryFigures], float]) -> float:
        return total_increase(before.discoveries, after.discoveries, value) / seconds

    return DiscoveryCost(
        core_share=rate(lambda figures: figures.usage.cpu_s),
        polls_per_s=rate(lambda figures: figures.counters.polls),
        bytes_out_per_s=rate(lambda figures: figures.counters.bytes_out),
        private_mb=_maximum(figures.usage.private_mb for figures in after.discoveries),
        connections=sum(figures.open_connections for figures in after.discoveries),
    )


def _relay_cost(before: Sample, after: Sample) -> RelayCost:
    seconds = after.taken_s - before.taken_s
    relays = after.relays.values()
    return RelayCost(
        core_share=_maximum(relay_cpu_s(before, after)) / seconds,
        private_mb=_maximum(usage.private_mb for usage in relays),
        descriptors=max((usage.descriptors for usage in relays), default=0),
    )


def _full_router_cost(before: Sample, after: Sample) -> FullRouterCost:
    seconds = after.taken_s - before.taken_s
    routers = after.full_routers
    cpu_s = total_increase(before.full_routers, routers, lambda usage: usage.cpu_s)
    return FullRouterCost(
        core_share=cpu_s / seconds / max(len(routers), 1),
        resident_mb=_maximum(usage.resident_mb for usage in routers),
        private_mb=_maximum(usage.private_mb for usage in routers),
    )
