"""Measures how costs grow: a line is fitted through the costs at several sizes."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from functools import partial

from fleet_scale.environment.environment_processes import EnvironmentOptions
from fleet_scale.environment.processes import call_all
from fleet_scale.environment.scale_environment import ScaleEnvironment
from fleet_scale.errors import NotConvergedError, UnknownMembersError
from fleet_scale.line_fit import fit_line
from fleet_scale.messages import Acknowledged, EndRouters, MemberStates, ReportMembers, StartRouters
from fleet_scale.modes import Mode
from fleet_scale.report import Report
from fleet_scale.runs.compare import PEAK_PURGES_PER_S
from fleet_scale.runs.cost import Cost, cost_between, take_sample
from fleet_scale.runs.slope_measures import (
    ALL_HOLLOW_ROUTERS_MEMORY,
    DATAGRAM_RATE,
    DISCOVERY_MEASURES,
    HOLLOW_ROUTER_CORE,
    RELAY_MEASURES,
    ROUTER_MEASURES,
    START_MEASURES,
    Measure,
    must_not_grow,
)
from fleet_scale.topology import Topology

PURGES_PER_S = (0.0, 34.0, 100.0, 340.0)
CACHE_SERVERS = (50, 110, 220, 440)
# Fleet sizes for a topology as large as the last of them; other topologies are divided in proportion.
ROUTERS = (25, 50, 100, 200)
MIN_ROUTERS = 4
CONVERGENCE_TIMEOUT_S = 60.0
# Growth, as a share of the largest value, up to which a cost that must not grow causes no finding.
MAX_GROWTH_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class Series:
    """The costs at each size, the title of their table, and the name of the varied quantity."""

    title: str
    size_name: str
    points: Sequence[tuple[float, Cost]]


def run_slopes(report: Report, topology: Topology, modes: Sequence[Mode], window_s: float) -> None:
    """Measure all series, one environment after the other, and add their tables."""
    quarter = topology.resized(routers=max(topology.routers // 4, MIN_ROUTERS))
    for mode in modes:
        _add_series(report, _by_purge_rate(quarter, mode, window_s), ROUTER_MEASURES)
        _add_series(report, _by_cache_servers(quarter, mode, window_s), START_MEASURES)
        relay_measures = RELAY_MEASURES if mode is Mode.RELAYS else ()
        measures = (
            *must_not_grow(ROUTER_MEASURES),
            ALL_HOLLOW_ROUTERS_MEMORY,
            *DISCOVERY_MEASURES,
            *relay_measures,
        )
        _add_series(report, _by_routers(topology, mode, window_s), measures)
    member_measures = (*must_not_grow([DATAGRAM_RATE]), HOLLOW_ROUTER_CORE, ALL_HOLLOW_ROUTERS_MEMORY)
    _add_series(report, _by_members(topology, window_s), member_measures)


def _by_purge_rate(topology: Topology, mode: Mode, window_s: float) -> Series:
    with _environment(topology, mode, window_s) as environment:
        points = [(rate, _measure_purges(environment, rate, window_s)) for rate in PURGES_PER_S]
    return Series(f"By purges a second, {topology.routers} routers, {mode}", "purges/s", points)


def _by_cache_servers(topology: Topology, mode: Mode, window_s: float) -> Series:
    """Measure restarts of all routers, at which each receives the complete endpoint list."""
    points = []
    for count in CACHE_SERVERS:
        with _environment(topology.resized(cache_servers=count), mode, window_s) as environment:
            names = tuple(name for site in environment.sites for name in site.routers)
            before = take_sample(environment)
            for worker in environment.hollow_workers:
                worker.call(EndRouters(names), Acknowledged)
                worker.call(StartRouters(names), Acknowledged)
            if environment.wait_until_converged(CONVERGENCE_TIMEOUT_S) is None:
                raise NotConvergedError(when=f"with {count} cache servers")
            points.append((float(count), cost_between(before, take_sample(environment))))
    return Series(
        f"By cache servers listed, {topology.routers} routers restarted, {mode}", "cache servers", points
    )


def _by_routers(topology: Topology, mode: Mode, window_s: float) -> Series:
    points = []
    for size in _fleet_sizes(topology):
        with _environment(topology.resized(routers=size, relays=1), mode, window_s) as environment:
            points.append((float(size), _measure_purges(environment, PEAK_PURGES_PER_S, window_s)))
    polled = mode if mode is Mode.DIRECT else "one relay"
    return Series(f"By routers, {PEAK_PURGES_PER_S:.0f} purges a second, {polled}", "routers", points)


def _by_members(topology: Topology, window_s: float) -> Series:
    """Measure idle fleets, once all members list each other as alive."""
    points = []
    options = EnvironmentOptions(membership=True)
    time_limit_s = window_s + 3 * CONVERGENCE_TIMEOUT_S
    for size in _fleet_sizes(topology):
        with ScaleEnvironment(topology.resized(routers=size), options, time_limit_s) as environment:
            names = tuple(name for site in environment.sites for name in site.routers)
            all_alive = partial(_are_all_alive, environment, names)
            if environment.wait_until(all_alive, 2 * CONVERGENCE_TIMEOUT_S) is None:
                raise UnknownMembersError(size)
            points.append((float(size), _measure_window(environment, window_s)))
    return Series("By members, without events", "members", points)


def _are_all_alive(environment: ScaleEnvironment, names: tuple[str, ...]) -> bool:
    replies = call_all(environment.hollow_workers, ReportMembers(names), MemberStates)
    alive = sum(reply.states.get("alive", 0) for reply in replies)
    return alive == len(names) * (len(names) - 1)


def _fleet_sizes(topology: Topology) -> list[int]:
    return [max(size * topology.routers // ROUTERS[-1], MIN_ROUTERS) for size in ROUTERS]


def _environment(topology: Topology, mode: Mode, window_s: float) -> ScaleEnvironment:
    options = EnvironmentOptions(relays=mode is Mode.RELAYS, full_routers=True)
    time_limit_s = len(PURGES_PER_S) * (window_s + CONVERGENCE_TIMEOUT_S) + CONVERGENCE_TIMEOUT_S
    return ScaleEnvironment(topology, options, time_limit_s)


def _measure_purges(environment: ScaleEnvironment, purges_per_s: float, window_s: float) -> Cost:
    """Return the cost of a window with this rate of purges, after the routers have converged."""
    if environment.wait_until_converged(CONVERGENCE_TIMEOUT_S) is None:
        raise NotConvergedError(when="before a measurement")
    if purges_per_s:
        plan = environment.publish_purges(purges_per_s, int(purges_per_s * window_s))
        environment.pause_until(plan.start_s)
    return _measure_window(environment, window_s)


def _measure_window(environment: ScaleEnvironment, window_s: float) -> Cost:
    before = take_sample(environment)
    environment.pause(window_s)
    return cost_between(before, take_sample(environment))


def _add_series(report: Report, series: Series, measures: Sequence[Measure]) -> None:
    """Add the table of a series, and a finding for each cost that grows although it must not."""
    sizes = [size for size, _ in series.points]
    size_columns = [f"{size:.0f}" for size in sizes]
    table = report.table(
        series.title,
        f"at {series.size_name}", *size_columns, f"slope, per one of {series.size_name}", "its error", "at 0",
    )  # fmt: skip
    for measure in measures:
        values = [measure.value(cost) for _, cost in series.points]
        line = fit_line(sizes, values)
        table.add(measure.name, *values, line.slope, line.slope_error, line.intercept)
        growth = line.slope * (sizes[-1] - sizes[0])
        if not measure.may_grow and line.rises and growth > MAX_GROWTH_SHARE * max(values):
            report.findings.append(
                f"{series.title}: {measure.name} grows with {series.size_name} but should not: "
                f"{line.slope:.3g} per one (error {line.slope_error:.2g})."
            )
