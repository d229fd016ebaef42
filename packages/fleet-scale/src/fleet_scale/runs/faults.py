"""Faults at scale: restarts of routers, isolation of regions, and relay failures."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from fleet_scale.environment.environment_processes import EnvironmentOptions
from fleet_scale.environment.scale_environment import ScaleEnvironment
from fleet_scale.errors import RunError
from fleet_scale.modes import Mode
from fleet_scale.report import Report
from fleet_scale.runs.compare import PEAK_PURGES_PER_S
from fleet_scale.runs.fault_actions import (
    block_answers,
    end_routers,
    isolate_regions,
    kill_first_relay,
    reset_connections,
    restart_routers,
    start_killed_relay,
    start_routers,
    unblock_regions,
)
from fleet_scale.runs.fault_run import FAULT_TABLE_COLUMNS, Fault, FaultRunner
from fleet_scale.topology import Site, Topology

# Share of all routers that one rack holds.
RACK_SHARE = 21 / 1200
MIN_RACK_ROUTERS = 3


@dataclass(frozen=True, slots=True)
class FaultOptions:
    """Number of purges missed in an isolation, of router restarts, and the time limit of each environment."""

    missed_purges: int
    restarts: int
    time_limit_s: float


def routers_of(sites: Sequence[Site]) -> tuple[str, ...]:
    """Return the names of the routers of several sites."""
    return tuple(name for site in sites for name in site.routers)


def run_faults(report: Report, topology: Topology, modes: Sequence[Mode], options: FaultOptions) -> None:
    """Inject the faults one after the other, in one environment for each mode."""
    for mode in modes:
        title = f"Faults, {topology.routers} routers, {PEAK_PURGES_PER_S:.0f} purges a second, {mode}"
        table = report.table(title, *FAULT_TABLE_COLUMNS)
        environment_options = EnvironmentOptions(relays=mode is Mode.RELAYS, proxies=True)
        try:
            with ScaleEnvironment(topology, environment_options, options.time_limit_s) as environment:
                runner = FaultRunner(report, table, environment, mode)
                faults = _router_faults(topology, options)
                if environment.relays:
                    faults += _relay_faults(topology, options)
                for fault in faults:
                    runner.run(fault)
        except RunError as error:
            report.verdict(f"{mode}: completed ({error})", False)


def _router_faults(topology: Topology, options: FaultOptions) -> list[Fault]:
    sites = topology.sites()
    all_routers = routers_of(sites)
    zone = routers_of([site for site in sites if site.zone == sites[-1].zone])
    region = routers_of([site for site in sites if site.region == sites[-1].region])
    rack = all_routers[: max(round(RACK_SHARE * len(all_routers)), MIN_RACK_ROUTERS)]
    rounds = options.restarts // len(all_routers) + 1
    restarted = (all_routers * rounds)[: options.restarts]
    missed = options.missed_purges
    return [
        Fault("a rack fails and restarts", rack, start_routers, end_routers),
        Fault("a zone fails and restarts", zone, start_routers, end_routers),
        Fault("a region fails and restarts", region, start_routers, end_routers),
        Fault("a zone's connections are reset", zone, reset_connections),
        Fault(f"{options.restarts} successive restarts", restarted, restart_routers),
        Fault("a region receives no answers", region, unblock_regions, block_answers),
        Fault(
            f"a region is isolated and misses {missed} purges",
            region, unblock_regions, isolate_regions, missed, isolates=True,
        ),
    ]  # fmt: skip


def _relay_faults(topology: Topology, options: FaultOptions) -> list[Fault]:
    sites = topology.sites()
    missed = options.missed_purges
    near_last_relay = routers_of([site for site in sites if site.region in topology.relays[-1:]])
    near_first_relay = routers_of([site for site in sites if site.region in topology.relays[:1]])
    return [
        Fault(
            f"a region and its relay are isolated and miss {missed} purges",
            near_last_relay, unblock_regions, isolate_regions, missed, isolates=True,
        ),
        Fault("a relay is killed", near_first_relay, kill_first_relay),
        Fault("the killed relay restarts, empty", near_first_relay, start_killed_relay),
    ]  # fmt: skip
