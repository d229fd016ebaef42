"""What an environment costs between two moments, by the kind of process."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

from fleet_scale.environment.processes import ask_all
from fleet_scale.environment.scale_environment import ScaleEnvironment
from fleet_scale.messages import DiscoveryFigures, HollowGroupFigures, LoadFigures, ReportFigures
from fleet_scale.process_usage import ProcessUsage

# Fields of the first line of /proc/stat, in ticks: all kinds of time, and those in which a core is idle.
PROCESSOR_FIELDS = slice(1, 9)
IDLE_FIELD = 3
IO_WAIT_FIELD = 4

Figures = TypeVar("Figures")


@dataclass(frozen=True, slots=True)
class MachineTime:
    """Processor time of the machine so far, in ticks, and how much of it a core was busy."""

    busy: float
    total: float


@dataclass(frozen=True, slots=True)
class Sample:
    """All figures of an environment at one moment of the monotonic clock."""

    at_s: float
    hollow_groups: Sequence[HollowGroupFigures]
    discoveries: Sequence[DiscoveryFigures]
    relays: Mapping[str, ProcessUsage]
    full_routers: Sequence[ProcessUsage]
    load: LoadFigures | None
    machine: MachineTime


def take_sample(environment: ScaleEnvironment) -> Sample:
    """Ask all processes for their figures."""
    load = environment.load
    return Sample(
        at_s=time.monotonic(),
        hollow_groups=ask_all(environment.hollow_workers, ReportFigures(), HollowGroupFigures),
        discoveries=ask_all(environment.discoveries, ReportFigures(), DiscoveryFigures),
        relays={name: relay.usage() for name, relay in environment.relays.items()},
        full_routers=[router.usage() for router in environment.full_routers],
        load=load.ask(ReportFigures(), LoadFigures) if load is not None else None,
        machine=_machine_time(),
    )


def _machine_time() -> MachineTime:
    first_line = Path("/proc/stat").read_text().split("\n", 1)[0]
    ticks = [float(word) for word in first_line.split()[PROCESSOR_FIELDS]]
    total = sum(ticks)
    return MachineTime(total - ticks[IDLE_FIELD] - ticks[IO_WAIT_FIELD], total)


@dataclass(frozen=True, slots=True)
class HollowRouterCost:
    """Of one hollow router on average; bytes are of its channel, without the headers of TCP and IP.

    Its memory is the private memory of its process, divided by the routers there.
    """

    core_share: float
    bytes_in_per_s: float
    bytes_out_per_s: float
    polls_per_s: float
    datagrams_per_s: float
    private_mb: float


@dataclass(frozen=True, slots=True)
class DiscoveryCost:
    """Of all discovery processes together; memory is that of the largest."""

    core_share: float
    polls_per_s: float
    bytes_out_per_s: float
    private_mb: float
    connections: int


@dataclass(frozen=True, slots=True)
class RelayCost:
    """Of the relay that costs most."""

    core_share: float
    private_mb: float
    descriptors: int


@dataclass(frozen=True, slots=True)
class FullRouterCost:
    """Of one full router: processor time on average, memory of the largest."""

    core_share: float
    resident_mb: float
    private_mb: float


@dataclass(frozen=True, slots=True)
class Cost:
    """The cost between two samples; a core share of 1 is one core that is always busy."""

    seconds: float
    routers: int
    hollow_router: HollowRouterCost
    discovery: DiscoveryCost
    relay: RelayCost
    full_router: FullRouterCost
    machine_busy_share: float  # of all cores, by whatever ran


def cost_between(before: Sample, after: Sample) -> Cost:
    """Return what was spent between two samples."""
    machine_ticks = after.machine.total - before.machine.total
    busy_ticks = after.machine.busy - before.machine.busy
    return Cost(
        seconds=after.at_s - before.at_s,
        routers=_running(after),
        hollow_router=_hollow_router_cost(before, after),
        discovery=_discovery_cost(before, after),
        relay=_relay_cost(before, after),
        full_router=_full_router_cost(before, after),
        machine_busy_share=busy_ticks / max(machine_ticks, 1.0),
    )


def increase(before: Sequence[Figures], after: Sequence[Figures], value: Callable[[Figures], float]) -> float:
    """Return by how much a value has grown, over all processes of one kind."""
    return sum(value(new) - value(old) for old, new in zip(before, after, strict=True))


def relay_cpu_s(before: Sample, after: Sample) -> list[float]:
    """Return the processor time of each relay that ran all the time, in seconds."""
    pairs = [(before.relays[name], usage) for name, usage in after.relays.items() if name in before.relays]
    return [new.cpu_s - old.cpu_s for old, new in pairs if new.cpu_s >= old.cpu_s]


def _running(sample: Sample) -> int:
    return sum(group.running for group in sample.hollow_groups)


def _greatest(values: Iterable[float]) -> float:
    return max(values, default=0.0)


def _hollow_router_cost(before: Sample, after: Sample) -> HollowRouterCost:
    routers = max(_running(after), 1)
    router_seconds = (after.at_s - before.at_s) * routers

    def rate(value: Callable[[HollowGroupFigures], float]) -> float:
        return increase(before.hollow_groups, after.hollow_groups, value) / router_seconds

    return HollowRouterCost(
        core_share=rate(lambda group: group.usage.cpu_s),
        bytes_in_per_s=rate(lambda group: group.counters.bytes_in),
        bytes_out_per_s=rate(lambda group: group.counters.bytes_out),
        polls_per_s=rate(lambda group: group.counters.polls),
        datagrams_per_s=rate(lambda group: group.datagrams_in + group.datagrams_out),
        private_mb=sum(group.usage.private_mb for group in after.hollow_groups) / routers,
    )


def _discovery_cost(before: Sample, after: Sample) -> DiscoveryCost:
    seconds = after.at_s - before.at_s

    def rate(value: Callable[[DiscoveryFigures], float]) -> float:
        return increase(before.discoveries, after.discoveries, value) / seconds

    return DiscoveryCost(
        core_share=rate(lambda figures: figures.usage.cpu_s),
        polls_per_s=rate(lambda figures: figures.counters.polls),
        bytes_out_per_s=rate(lambda figures: figures.counters.bytes_out),
        private_mb=_greatest(figures.usage.private_mb for figures in after.discoveries),
        connections=sum(figures.open_connections for figures in after.discoveries),
    )


def _relay_cost(before: Sample, after: Sample) -> RelayCost:
    seconds = after.at_s - before.at_s
    relays = after.relays.values()
    return RelayCost(
        core_share=_greatest(relay_cpu_s(before, after)) / seconds,
        private_mb=_greatest(usage.private_mb for usage in relays),
        descriptors=max((usage.descriptors for usage in relays), default=0),
    )


def _full_router_cost(before: Sample, after: Sample) -> FullRouterCost:
    seconds = after.at_s - before.at_s
    routers = after.full_routers
    cpu_s = increase(before.full_routers, routers, lambda usage: usage.cpu_s)
    return FullRouterCost(
        core_share=cpu_s / seconds / max(len(routers), 1),
        resident_mb=_greatest(usage.resident_mb for usage in routers),
        private_mb=_greatest(usage.private_mb for usage in routers),
    )
