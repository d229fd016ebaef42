"""What a run costs between two moments, by role, and how long what was told took to reach everybody."""

from __future__ import annotations

import math
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from fleet_scale.child import ask_all
from fleet_scale.fit import quantile
from fleet_scale.plan import Changes, Purges
from fleet_scale.stage import Stage
from fleet_scale.tally import Taken

Usage = Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Sample:
    """All counts of a stage at one moment."""

    at: float
    hollows: Sequence[Usage]
    discoveries: Sequence[Usage]
    relays: Mapping[str, Usage]
    wholes: Sequence[Usage]
    links: Sequence[Usage]
    load: Usage
    busy: tuple[float, float]  # of the machine: busy and all processor time so far, in ticks


def sample(stage: Stage) -> Sample:
    return Sample(
        time.monotonic(),
        ask_all(stage.hollows, "figures"),
        ask_all(stage.discoveries, "figures"),
        {name: relay.usage() for name, relay in stage.relays.items()},
        [whole.usage() for whole in stage.wholes],
        ask_all(stage.links, "figures"),
        stage.load.ask("figures") if stage.load is not None else {},
        _busy(),
    )


def _busy() -> tuple[float, float]:
    ticks = [float(word) for word in Path("/proc/stat").read_text().split("\n", 1)[0].split()[1:9]]
    return sum(ticks) - ticks[3] - ticks[4], sum(ticks)


@dataclass(frozen=True, slots=True)
class Cost:
    """Between two samples; a second where it says so.  Of ``router``: of one hollow router, on average."""

    seconds: float
    routers: int
    router_core: float  # share of a core
    router_in: float  # bytes/s of the channel, without what TCP and IP add
    router_out: float
    router_polls: float  # a second
    router_mb: float  # own pages of its process, shared by its routers
    datagrams: float  # a second and router, both ways
    discovery_polls: float  # a second, of all its processes
    discovery_core: float
    discovery_bytes: float  # a second, out
    discovery_mb: float
    discovery_open: int
    relay_core: float  # the dearest one
    relay_mb: float
    relay_open: int
    whole_core: float  # the mean of the whole routers
    whole_mb: float
    whole_own_mb: float  # without what it shares with files on disk
    machine: float  # share of all cores that was busy, with whatever else ran


def cost(before: Sample, after: Sample) -> Cost:
    seconds = after.at - before.at

    def rate(of: str, key: str) -> float:
        first, last = getattr(before, of), getattr(after, of)
        pairs = zip(first, last, strict=True)
        return float(sum(b.get(key, 0) - a.get(key, 0) for a, b in pairs)) / seconds

    def greatest(of: str, key: str) -> float:
        usages = getattr(after, of)
        usages = usages.values() if isinstance(usages, Mapping) else usages
        return max((float(usage[key]) for usage in usages), default=0.0)

    relay_core = max(relay_cores(before, after), default=0.0) / seconds
    routers = sum(int(usage["routers"]) for usage in after.hollows)
    each = max(routers, 1)
    mb = sum(usage["own_mb"] for usage in after.hollows) / each
    datagrams = rate("hollows", "datagrams_in") + rate("hollows", "datagrams_out")
    wholes = max(len(after.wholes), 1)
    used, whole = after.busy[0] - before.busy[0], after.busy[1] - before.busy[1]
    return Cost(
        seconds=seconds,
        routers=routers,
        router_core=rate("hollows", "cpu_s") / each,
        router_in=rate("hollows", "bytes_in") / each,
        router_out=rate("hollows", "bytes_out") / each,
        router_polls=rate("hollows", "polls") / each,
        router_mb=mb,
        datagrams=datagrams / each,
        discovery_polls=rate("discoveries", "polls"),
        discovery_core=rate("discoveries", "cpu_s"),
        discovery_bytes=rate("discoveries", "bytes_out"),
        discovery_mb=greatest("discoveries", "own_mb"),
        discovery_open=sum(int(usage["open"]) for usage in after.discoveries),
        relay_core=relay_core,
        relay_mb=greatest("relays", "own_mb"),
        relay_open=int(greatest("relays", "descriptors")),
        whole_core=rate("wholes", "cpu_s") / wholes,
        whole_mb=greatest("wholes", "mb"),
        whole_own_mb=greatest("wholes", "own_mb"),
        machine=used / max(whole, 1.0),
    )


def relay_cores(before: Sample, after: Sample) -> list[float]:
    """Processor seconds of each relay that lived all the while."""
    both = [(before.relays[name], usage) for name, usage in after.relays.items() if name in before.relays]
    return [b["cpu_s"] - a["cpu_s"] for a, b in both if b["cpu_s"] >= a["cpu_s"]]


@dataclass(frozen=True, slots=True)
class Spread:
    """How long what was told took until the last router had it, ms; ``missed``: events that not all have."""

    p50: float
    p99: float
    most: float
    told: int
    missed: int


def spread(plan: Purges | Changes, taken: Mapping[int, Taken], routers: int) -> Spread:
    """Counted from the planned time, so that a late discovery counts as well."""
    whole = [n for n in plan.numbers() if n in taken and taken[n].count >= routers]
    times = [(taken[number].last - plan.due(number)) * 1000.0 for number in whole]
    missed = plan.count - len(whole)
    most = max(times, default=math.nan)
    return Spread(quantile(times, 0.5), quantile(times, 0.99), most, plan.count, missed)
