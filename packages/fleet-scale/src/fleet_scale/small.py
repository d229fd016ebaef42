"""The small form, for CI: every role, every mechanism once, verdicts on counts and orders alone."""

from __future__ import annotations

import time
from collections.abc import Sequence

from fleet_scale.child import RunError, ask_all
from fleet_scale.compare import RATE
from fleet_scale.faults import HEAD, Fault, cut, end_routers, heal, play, restart_all, sever, start_routers
from fleet_scale.measure import cost, sample, spread
from fleet_scale.report import Report
from fleet_scale.setup import Options
from fleet_scale.stage import Stage
from fleet_scale.topology import Topology

IN_STEP_S, GONE_S = 20.0, 1.0
MEMBER_TIMINGS = {
    "probe_every_ms": 400,
    "probe_timeout_ms": 150,
    "suspicion_least_ms": 1500,
    "suspicion_most_ms": 5000,
    "sync_every_ms": 2000,
    "rejoin_ms": 1000,
}


def small(report: Report, topology: Topology, modes: Sequence[str], most_s: float) -> None:
    """A stage for each mode, the fleet's members in the first."""
    end = time.monotonic() + most_s
    for place, mode in enumerate(modes):
        options = Options(
            relays=mode != "direct", linked=True, members=place == 0, whole=True, load_rate=10.0
        )
        try:
            with Stage(topology, options, end - time.monotonic(), timings=MEMBER_TIMINGS) as stage:
                _played(report, stage, mode)
        except RunError as error:
            report.verdict(f"{mode}: played to the end ({error})", False)


def _played(report: Report, stage: Stage, mode: str) -> None:
    report.verdict(f"{mode}: all in step at the start", stage.wait(stage.in_step, IN_STEP_S) is not None)
    _flow(report, stage, mode)
    table = report.table(f"Faults, {stage.topology.routers} routers, {mode}", *HEAD)
    for fault in _faults(stage):
        play(report, table, stage, fault, mode, GONE_S)
    if stage.options.members:
        _members(report, stage, mode)
    _requests(report, stage, mode)


def _flow(report: Report, stage: Stage, mode: str) -> None:
    """Purges and changes of the list, all heard by all, none twice where there is one source."""
    before = sample(stage)
    purges, changes = stage.purges(RATE, int(RATE * 4)), stage.changes(0.5, 8)
    done = stage.wait(stage.in_step, IN_STEP_S)
    spent = cost(before, sample(stage))
    state, routers = stage.state(), stage.topology.routers
    purge = spread(purges, stage.taken(purges), routers)
    change = spread(changes, stage.taken(changes), routers)
    report.verdict(f"{mode}: all in step after {purges.count} purges and 8 changes", done is not None)
    report.verdict(f"{mode}: each router has each purge", purge.missed == 0)
    report.verdict(f"{mode}: each router has each change", change.missed == 0)
    report.verdict(f"{mode}: none told twice", state["repeated"] == 0)
    table = report.table(f"A flow, {routers} routers, {mode}", "cost", "measured")
    table.add("purge to all, p50 / most, ms", f"{purge.p50:.0f} / {purge.most:.0f}")
    table.add("change to all, p50 / most, ms", f"{change.p50:.0f} / {change.most:.0f}")
    table.add("KB/s in, of a router", spent.router_in / 1000.0)
    table.add("core of a hollow router, %", 100 * spent.router_core)
    table.add("polls/s at discovery", spent.discovery_polls)


def _faults(stage: Stage) -> list[Fault]:
    site = stage.sites[-1]
    zone = tuple(name for one in stage.sites if one.zone == site.zone for name in one.routers)
    region = tuple(name for one in stage.sites if one.region == site.region for name in one.routers)
    return [
        Fault("a rack is gone and back", site.routers[:3], end_routers, start_routers),
        Fault("a zone reconnects at once", zone, sever, sever, sudden=True),
        Fault("12 restarts", region[:12], restart_all, restart_all, sudden=True),
        Fault("a region is cut, 1000 purges behind", region, cut, heal, 1000),
    ]


def _members(report: Report, stage: Stage, mode: str) -> None:
    """All know who is gone, nobody calls another failed, and all know who is back."""
    gone = list(stage.sites[0].routers[-2:])
    everyone = [name for site in stage.sites for name in site.routers]
    others = stage.topology.routers - len(gone)

    def told(state: str, of: int) -> bool:
        replies = ask_all(stage.hollows, "members", names=gone)
        return int(sum(reply["states"].get(state, 0) for reply in replies)) == of

    end_routers(stage, gone)
    failed = stage.wait(lambda: told("failed", others * len(gone)), IN_STEP_S)
    start_routers(stage, gone)
    alive = stage.wait(lambda: told("alive", (others + len(gone) - 1) * len(gone)), IN_STEP_S)
    report.verdict(f"{mode}: all members know who is gone", failed is not None)
    report.verdict(f"{mode}: all members know who is back", alive is not None)
    replies = ask_all(stage.hollows, "members", names=everyone)
    false = {name for reply in replies for name in reply["verdicts"]} - stage.ended
    report.verdict(f"{mode}: nobody was called failed who ran", not false)


def _requests(report: Report, stage: Stage, mode: str) -> None:
    """What the whole routers were asked meanwhile, all served."""
    assert stage.load is not None
    load = stage.load
    load.ask("rate", rate=0.0)
    stage.wait(lambda: load.ask("figures")["out"] == 0, IN_STEP_S)
    told = load.ask("figures")
    report.verdict(
        f"{mode}: every request to {len(stage.wholes)} whole routers served, over 100 of them",
        told["served"] == told["asked"] > 100 and told["connected"] == len(stage.wholes),
    )
