"""Direct polling against relays, in one run, at several sizes."""

from __future__ import annotations

import time
from collections.abc import Sequence

from fleet_scale.child import RunError
from fleet_scale.measure import Cost, Spread, cost, sample, spread
from fleet_scale.report import Report, Table
from fleet_scale.setup import Options
from fleet_scale.stage import Stage
from fleet_scale.topology import Topology

RATE, QUIET_S = 34.0, 3.0  # purges a second at the peak; of the idle window
CHANGE_EVERY_S = 1.0
IN_STEP_S = 60.0
LIMITS = "Limits: 5.6 s until all have a purge (aim 1.5 s), 14 KB/s (aim 5) and 1.5 % of a core (aim 0.5 %)."
FULL = 0.95  # of the machine's cores: past it the times are of a machine that bears no more


def compare(
    report: Report, topology: Topology, sizes: Sequence[int], modes: Sequence[str], last_s: float
) -> None:
    """A stage for each size and mode, one after the other."""
    times = report.table(
        f"Until all routers have it, at {RATE:.0f} purges a second and a change of the list a second",
        "routers", "way", "purge p50 ms", "p99", "most", "not with all", "change p50 ms", "most",
        "machine busy %",
    )  # fmt: skip
    routers = report.table(
        "What control costs a router",
        "routers", "way", "KB/s in", "KB/s out", "answers/s", "core %", "idle core %",
        "own MB of a hollow one",
        "whole router: core % under control", "idle core %", "MB resident (own)", "requests p99 ms (idle)",
    )  # fmt: skip
    sources = report.table(
        "What it costs discovery and a relay",
        "routers", "way", "polls/s at discovery", "core % of its 3 processes", "own MB of one", "connections",
        "a relay's core %", "own MB", "descriptors",
    )  # fmt: skip
    for size in sizes:
        for mode in modes:
            try:
                _one(report, (times, routers, sources), topology.sized(size), mode, last_s)
            except RunError as error:
                times.notes.append(f"{size} routers, {mode}: not measured: {error}.")
    routers.notes.append(LIMITS)


def _one(report: Report, tables: Sequence[Table], topology: Topology, mode: str, last_s: float) -> None:
    relays = mode != "direct"
    options = Options(relays=relays, whole=True, load_rate=20.0)
    with Stage(topology, options, most_s=4 * last_s + 3 * IN_STEP_S) as stage:
        if stage.wait(stage.in_step, IN_STEP_S) is None:
            raise RunError(f"not in step within {IN_STEP_S:.0f} s of the start")
        idle, quiet_ms = _window(stage, QUIET_S)
        purges = stage.purges(RATE, int(RATE * last_s))
        changes = stage.changes(CHANGE_EVERY_S, int(last_s / CHANGE_EVERY_S))
        stage.pause(max(purges.at - time.monotonic(), 0.0))
        loaded, loaded_ms = _window(stage, last_s)
        done = stage.wait(stage.in_step, IN_STEP_S)
        purge = spread(purges, stage.taken(purges), topology.routers)
        change = spread(changes, stage.taken(changes), topology.routers)
        state = stage.state()
    report.verdict(f"{topology.routers} routers, {mode}: all in step in the end", done is not None)
    report.verdict(f"{topology.routers} routers, {mode}: no purge lost", purge.missed == 0)
    if not relays:
        report.verdict(f"{topology.routers} routers, {mode}: none told twice", state["repeated"] == 0)
    _rows(tables, (topology.routers, mode), (idle, quiet_ms), (loaded, loaded_ms), purge, change)


def _window(stage: Stage, seconds: float) -> tuple[Cost, float]:
    """The cost of so long a while, and the requests' p99 in it (ms)."""
    if stage.load is not None:
        stage.load.ask("clear")
    before = sample(stage)
    stage.pause(seconds)
    after = sample(stage)
    return cost(before, after), float(after.load.get("p99_ms", 0.0))


def _rows(
    tables: Sequence[Table],
    key: tuple[int, str],
    idle: tuple[Cost, float],
    loaded: tuple[Cost, float],
    purge: Spread,
    change: Spread,
) -> None:
    times, routers, sources = tables
    (rest, quiet_ms), (cost, loaded_ms) = idle, loaded
    full = " (full)" if cost.machine > FULL else ""
    busy = f"{100 * cost.machine:.0f}{full}"
    times.add(*key, purge.p50, purge.p99, purge.most, purge.missed, change.p50, change.most, busy)
    routers.add(
        *key,
        cost.router_in / 1000.0,
        cost.router_out / 1000.0,
        cost.router_polls,
        100 * cost.router_core,
        100 * rest.router_core,
        cost.router_mb,
        100 * cost.whole_core,
        100 * rest.whole_core,
        f"{cost.whole_mb:.1f} ({cost.whole_own_mb:.1f})",
        f"{loaded_ms:.1f} ({quiet_ms:.1f})",
    )
    sources.add(
        *key,
        cost.discovery_polls,
        100 * cost.discovery_core,
        cost.discovery_mb,
        cost.discovery_open,
        100 * cost.relay_core if key[1] != "direct" else "-",
        cost.relay_mb if key[1] != "direct" else "-",
        cost.relay_open if key[1] != "direct" else "-",
    )
