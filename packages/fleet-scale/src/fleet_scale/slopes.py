"""What each cost grows with: four sizes or more, a line through them, and its error."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from functools import partial

from fleet_scale.child import RunError, ask_all
from fleet_scale.compare import RATE
from fleet_scale.fit import fit
from fleet_scale.measure import Cost, cost, sample
from fleet_scale.report import Report
from fleet_scale.setup import Options
from fleet_scale.stage import Stage
from fleet_scale.topology import Topology

RATES, SHELFS, ROUTERS = (0.0, 34.0, 100.0, 340.0), (50, 110, 220, 440), (25, 50, 100, 200)
IN_STEP_S = 60.0


@dataclass(frozen=True, slots=True)
class Measure:
    """One cost by name, and whether it may grow with the size of the fleet."""

    name: str
    of: Callable[[Cost], float]
    may_grow: bool = True


OF_ROUTER = (
    Measure("router: bytes/s in", lambda c: c.router_in),
    Measure("router: bytes/s out", lambda c: c.router_out),
    Measure("router: answers/s", lambda c: c.router_polls),
    Measure("hollow router: core, us/s", lambda c: 1e6 * c.router_core),
    Measure("whole router: core, us/s", lambda c: 1e6 * c.whole_core),
)
OF_MEMORY = Measure("hollow router: KB, of its process's own", lambda c: 1000.0 * c.router_mb)
OF_ALL = Measure("hollow routers: KB of all processes' own", lambda c: 1000.0 * c.router_mb * c.routers)
OF_DATAGRAMS = Measure("router: datagrams/s, both ways", lambda c: c.datagrams)
OF_DISCOVERY = (
    Measure("discovery: polls/s", lambda c: c.discovery_polls),
    Measure("discovery: bytes/s out", lambda c: c.discovery_bytes),
    Measure("discovery: core, us/s", lambda c: 1e6 * c.discovery_core),
    Measure("discovery: KB of the largest process", lambda c: 1000.0 * c.discovery_mb),
)
OF_RELAY = (
    Measure("relay: core of the dearest, us/s", lambda c: 1e6 * c.relay_core),
    Measure("relay: KB of the largest", lambda c: 1000.0 * c.relay_mb),
)


def slopes(report: Report, topology: Topology, modes: Sequence[str], last_s: float) -> None:
    """All series, one stage after the other."""
    few = topology.sized(routers=max(topology.routers // 4, 4))
    for mode in modes:
        _by_purges(report, few, mode, last_s)
        _by_shelfs(report, few, mode, last_s)
        _by_routers(report, topology, mode, last_s)
    _by_members(report, topology, last_s)


def _by_purges(report: Report, topology: Topology, mode: str, last_s: float) -> None:
    points = []
    with _stage(topology, mode, last_s) as stage:
        for rate in RATES:
            points.append((rate, _purged(stage, rate, last_s)))
    _fitted(report, f"By purges a second, {topology.routers} routers, {mode}", "purges/s", points, OF_ROUTER)


def _by_shelfs(report: Report, topology: Topology, mode: str, last_s: float) -> None:
    """The whole list is told to all anew; then memory is looked at."""
    points = []
    for shelfs in SHELFS:
        with _stage(topology.sized(shelfs=shelfs), mode, last_s) as stage:
            names = [name for site in stage.sites for name in site.routers]
            before = sample(stage)
            for hollow in stage.hollows:
                hollow.ask("end", names=names)
                hollow.ask("start", names=names)
            if stage.wait(stage.in_step, IN_STEP_S) is None:
                raise RunError(f"not in step with {shelfs} shelfs")
            points.append((float(shelfs), cost(before, sample(stage))))
    whole = [_times(c) for _, c in points]
    table = [(x, c) for (x, _), c in zip(points, whole, strict=True)]
    named = (
        Measure("router: bytes of a start", lambda c: c.router_in),
        Measure("router: core of a start, us", lambda c: 1e6 * c.router_core),
        OF_MEMORY,
    )
    _fitted(report, f"By shelfs listed, {topology.routers} routers started, {mode}", "shelfs", table, named)


def _times(c: Cost) -> Cost:
    """A cost in all, not a second."""
    return replace(c, router_in=c.router_in * c.seconds, router_core=c.router_core * c.seconds)


def _by_routers(report: Report, topology: Topology, mode: str, last_s: float) -> None:
    points = []
    for size in _sizes(topology):
        with _stage(topology.sized(routers=size, relays=1), mode, last_s) as stage:
            points.append((float(size), _purged(stage, RATE, last_s)))
    named = (*[Measure(m.name, m.of, may_grow=False) for m in OF_ROUTER], OF_ALL, *OF_DISCOVERY)
    named += OF_RELAY if mode != "direct" else ()
    title = f"By routers, {RATE:.0f} purges a second, {mode if mode == 'direct' else 'one relay'}"
    _fitted(report, title, "routers", points, named)


def _by_members(report: Report, topology: Topology, last_s: float) -> None:
    """Nothing is told; all members know each other."""
    points = []
    for size in _sizes(topology):
        sized = topology.sized(routers=size)
        with Stage(sized, Options(members=True), most_s=last_s + 3 * IN_STEP_S) as stage:
            names = [name for site in stage.sites for name in site.routers]
            if stage.wait(partial(_all_alive, stage, names), 2 * IN_STEP_S) is None:
                raise RunError(f"{size} members do not all know each other")
            before = sample(stage)
            stage.pause(last_s)
            points.append((float(size), cost(before, sample(stage))))
    named = [Measure(OF_DATAGRAMS.name, OF_DATAGRAMS.of, may_grow=False), OF_ROUTER[3], OF_ALL]
    _fitted(report, "By members, nothing told, polls idle", "members", points, named)


def _all_alive(stage: Stage, names: Sequence[str]) -> bool:
    replies = ask_all(stage.hollows, "members", names=list(names))
    alive = sum(int(reply["states"].get("alive", 0)) for reply in replies)
    return alive == len(names) * (len(names) - 1)


def _sizes(topology: Topology) -> list[int]:
    return [max(size * topology.routers // ROUTERS[-1], 4) for size in ROUTERS]


def _stage(topology: Topology, mode: str, last_s: float) -> Stage:
    options = Options(relays=mode != "direct", whole=True)
    return Stage(topology, options, most_s=len(RATES) * (last_s + IN_STEP_S) + IN_STEP_S)


def _purged(stage: Stage, rate: float, last_s: float) -> Cost:
    """Of so long a while at so many purges a second."""
    if stage.wait(stage.in_step, IN_STEP_S) is None:
        raise RunError("not in step before a measurement")
    if rate:
        plan = stage.purges(rate, int(rate * last_s))
        stage.pause(max(plan.at - time.monotonic(), 0.0))
    before = sample(stage)
    stage.pause(last_s)
    return cost(before, sample(stage))


def _fitted(
    report: Report,
    title: str,
    x_name: str,
    points: Sequence[tuple[float, Cost]],
    measures: Sequence[Measure],
) -> None:
    xs = [x for x, _ in points]
    heads = [f"{x:.0f}" for x in xs]
    table = report.table(title, f"at {x_name}", *heads, f"slope, for one of {x_name}", "its error", "at 0")
    for measure in measures:
        ys = [measure.of(c) for _, c in points]
        line = fit(xs, ys)
        table.add(measure.name, *ys, line.slope, line.error, line.at_zero)
        grown = line.slope * (xs[-1] - xs[0])
        if not measure.may_grow and line.rises and grown > 0.1 * max(ys):
            report.findings.append(
                f"{title}: {measure.name} grows with {x_name}, and should not: "
                f"{line.slope:.3g} for each (error {line.error:.2g})."
            )
