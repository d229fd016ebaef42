"""Faults at scale, while purges go on: what is gone and comes back, what is cut and comes back into step."""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from fleet_scale.child import RunError, ask_all
from fleet_scale.compare import RATE
from fleet_scale.fit import quantile
from fleet_scale.measure import Sample, relay_cores, sample
from fleet_scale.plan import Purges
from fleet_scale.report import Report, Table
from fleet_scale.setup import Options
from fleet_scale.stage import Stage
from fleet_scale.topology import Topology

IN_STEP_S, GONE_S = 120.0, 2.0  # until what came back is in step; how long it is gone
HOUR_S, RESTARTS = 3600.0, 360
RACK = 21 / 1200  # of the routers
HEAD = (
    "fault", "routers", "s until in step again", "MB told in the burst", "processor s of routers",
    "of discovery", "most of a relay", "repeats", "others: purge p99 ms", "purges lost to others",
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class Fault:
    """One play: who is concerned, how it begins, how it ends."""

    name: str
    names: tuple[str, ...]
    begin: Callable[[Stage, Sequence[str]], None]
    end: Callable[[Stage, Sequence[str]], None]
    behind: int = 0  # purges that are told at once while it lasts
    sudden: bool = False  # it has no end of its own: what it costs is counted from its beginning


def end_routers(stage: Stage, names: Sequence[str]) -> None:
    """As if killed."""
    stage.ended |= set(names)
    ask_all(stage.hollows, "end", names=list(names))


def start_routers(stage: Stage, names: Sequence[str]) -> None:
    ask_all(stage.hollows, "start", names=list(names))


def routes_of(stage: Stage, names: Sequence[str]) -> list[str]:
    """The routes that leave the regions of these routers: their sites' to sources elsewhere, and those of the
    relays there.  Where one source is discovery itself, all count as elsewhere."""
    wanted = set(names)
    near = {site.name: site.region for site in stage.sites if wanted & set(site.routers)}
    relays = {source.name: source.region for source in stage.sources if stage.relays}
    inside = {name for name, region in relays.items() if region in near.values()}
    return [
        f"{place}>{source}"
        for place, source in stage.ways
        if (place in near and source not in inside) or place in inside
    ]


def cut(stage: Stage, names: Sequence[str], ways: Sequence[str] = ("forth", "back")) -> None:
    """Hold back all that passes between the regions of these and elsewhere."""
    stage.hold(routes_of(stage, names), ways)


def heal(stage: Stage, names: Sequence[str]) -> None:
    stage.hold(routes_of(stage, names), ())


def sever(stage: Stage, names: Sequence[str]) -> None:
    """Reset their connections at one moment."""
    ask_all(stage.hollows, "sever", names=list(names))


def restart_all(stage: Stage, names: Sequence[str]) -> None:
    """One after the other, as fast as they start."""
    for name in names:
        end_routers(stage, [name])
        start_routers(stage, [name])


def kill_relay(stage: Stage, names: Sequence[str]) -> None:
    """The first one; its routers go elsewhere."""
    stage.kill_relay(next(iter(stage.relays)))


def start_relay(stage: Stage, names: Sequence[str]) -> None:
    """The one that was killed, empty."""
    stage.start_relay(next(source.name for source in stage.sources if source.name not in stage.relays))


def faults_of(topology: Topology, behind: int, restarts: int) -> list[Fault]:
    """The plays of a topology, by its zones and regions."""
    sites = topology.sites()
    everyone = [name for site in sites for name in site.routers]
    zone = tuple(name for site in sites if site.zone == sites[-1].zone for name in site.routers)
    region = tuple(name for site in sites if site.region == sites[-1].region for name in site.routers)
    rack = tuple(everyone[: max(round(RACK * len(everyone)), 3)])
    with_relay = [site for site in sites if site.region in topology.relays[-1:]]
    relayed = tuple(name for site in with_relay for name in site.routers)
    polled = tuple(name for site in sites if site.region in topology.relays[:1] for name in site.routers)
    restarted = tuple((everyone * (restarts // len(everyone) + 1))[:restarts])
    return [
        Fault("a rack is gone and back", rack, end_routers, start_routers),
        Fault("a zone is gone and back", zone, end_routers, start_routers),
        Fault("a region is gone and back", region, end_routers, start_routers),
        Fault("a zone reconnects at once", zone, sever, sever, sudden=True),
        Fault(f"{restarts} restarts", restarted, restart_all, restart_all, sudden=True),
        Fault("a region is cut, one way (answers)", region, lambda s, n: cut(s, n, ("back",)), heal),
        Fault(f"a region is cut, {behind} purges behind", region, cut, heal, behind),
        Fault(f"a region and its relay are cut, {behind} purges behind", relayed, cut, heal, behind),
        Fault("a relay is killed", polled, kill_relay, kill_relay, sudden=True),
        Fault("it is back, empty", polled, start_relay, start_relay, sudden=True),
    ]


def faults(
    report: Report, topology: Topology, modes: Sequence[str], behind: int, restarts: int, most_s: float
) -> None:
    """Each mode on one stage, the faults one after the other."""
    for mode in modes:
        title = f"Faults, {topology.routers} routers, {RATE:.0f} purges a second, {mode}"
        table = report.table(title, *HEAD)
        try:
            with Stage(topology, Options(relays=mode != "direct", linked=True), most_s) as stage:
                plays = faults_of(topology, behind, restarts)
                for fault in plays if stage.relays else plays[:-3]:
                    play(report, table, stage, fault, mode)
        except RunError as error:
            report.verdict(f"{mode}: played to the end ({error})", False)


def play(report: Report, table: Table, stage: Stage, fault: Fault, mode: str, gone_s: float = GONE_S) -> None:
    """One fault under the steady flow of purges."""
    if stage.wait(stage.in_step, IN_STEP_S) is None:
        raise RunError(f"not in step before: {fault.name}")
    before_repeats = stage.state()["repeated"]
    past = stage.reserve(fault.behind)  # its numbers lie below the flow's, whose last one is told last
    flow = stage.purges(RATE, int(RATE * 2 * gone_s))
    stage.pause(max(flow.at - time.monotonic(), 0.0))
    if not fault.sudden:
        fault.begin(stage, fault.names)
    stage.pause(gone_s)
    if fault.behind:
        stage.past(past, fault.behind, HOUR_S)
        stage.pause(1.0)
    if fault.begin is cut:
        behind = stage.state(fault.names)["highest_of_any"]
        deaf = behind < stage.next_purge - 1
        report.verdict(f"{mode}: {fault.name}: none of them heard across the cut", deaf)
    before, newest = sample(stage), _newest(stage, flow)
    fault.end(stage, fault.names)
    took = stage.wait(lambda: _knows(stage, fault.names, newest), IN_STEP_S)
    after = sample(stage)
    done = stage.wait(stage.in_step, IN_STEP_S)
    report.verdict(f"{mode}: {fault.name}: all in step again", done is not None)
    others = {name for site in stage.sites for name in site.routers} - set(fault.names)
    lost, p99 = _of_others(stage, flow, fault.names, len(others))
    report.verdict(f"{mode}: {fault.name}: no purge lost to the others", lost == 0)
    repeats = stage.state()["repeated"] - before_repeats
    spent = _spent(before, after)
    seconds = math.nan if took is None else took
    table.add(fault.name, len(set(fault.names)), seconds, *spent, repeats, p99, lost)


def _newest(stage: Stage, flow: Purges) -> int:
    """The number of the newest purge that is told by now."""
    told = int((time.monotonic() - flow.at) * flow.rate)
    return flow.first + min(told, flow.count - 1)


def _knows(stage: Stage, names: Sequence[str], newest: int) -> bool:
    """Whether these are connected, hold discovery's list, and were told that purge or a later one."""
    state = stage.state(names)
    if state["connected"] < state["running"]:
        return False
    return sorted(state["digests"]) == stage.digests() and state["highest"] >= newest


def _of_others(stage: Stage, flow: Purges, names: Sequence[str], others: int) -> tuple[int, float]:
    """How many purges of the flow fewer routers than the others have; and the p99 of the time (ms) until all
    had one that share no process with those concerned."""
    taken, apart = stage.taken(flow), stage.taken(flow, apart=names)
    lost = sum(number not in taken or taken[number].count < others for number in flow.numbers())
    times = [(apart[n].last - flow.due(n)) * 1000.0 for n in flow.numbers() if n in apart]
    return lost, quantile(times, 0.99)


def _spent(before: Sample, after: Sample) -> tuple[float, float, float, float]:
    """MB that routers were told, processor seconds of all of them, of discovery, of the dearest relay."""

    def more(of: str, key: str) -> list[float]:
        pairs = zip(getattr(before, of), getattr(after, of), strict=True)
        return [float(b.get(key, 0)) - float(a.get(key, 0)) for a, b in pairs]

    told = sum(more("hollows", "bytes_in")) / 1e6
    relay = max(relay_cores(before, after), default=0.0)
    return told, sum(more("hollows", "cpu_s")), sum(more("discoveries", "cpu_s")), relay
