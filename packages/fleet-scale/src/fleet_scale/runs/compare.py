"""Compares direct polling with polling through relays at several fleet sizes."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from fleet_scale.environment.environment_processes import EnvironmentOptions
from fleet_scale.environment.scale_environment import FleetState, ScaleEnvironment
from fleet_scale.errors import NotConvergedError, RunError
from fleet_scale.messages import Acknowledged, ClearLatencies, LoadFigures
from fleet_scale.modes import Mode
from fleet_scale.report import Report, Table
from fleet_scale.runs.cost import Cost, cost_between, take_sample
from fleet_scale.runs.propagation import Propagation, measure_propagation
from fleet_scale.topology import Topology

# Peak rate of purges.
PEAK_PURGES_PER_S = 34.0
CHANGE_INTERVAL_S = 1.0
# Rate of requests to each full router.
REQUESTS_PER_S = 20.0
# Duration of the measured window without events.
IDLE_WINDOW_S = 3.0
CONVERGENCE_TIMEOUT_S = 60.0
PROPAGATION_TITLE = (
    f"Propagation to all routers, at {PEAK_PURGES_PER_S:.0f} purges and one change of the list a second"
)
# Note below the table of routers.
ROUTER_LIMITS_NOTE = (
    "Limits: 5.6 s until all have a purge (goal 1.5 s), 14 KB/s (goal 5), 1.5 % of a core (goal 0.5 %)."
)
# Busy share of all cores above which a row is marked, as a saturated machine distorts its times.
SATURATED_BUSY_SHARE = 0.95


@dataclass(frozen=True, slots=True)
class Window:
    """The cost of a measured window, and the 99th percentile of the latency of requests in it."""

    cost: Cost
    request_p99_ms: float


@dataclass(frozen=True, slots=True)
class Measurement:
    """All measurements at one fleet size in one mode."""

    routers: int
    mode: Mode
    idle: Window
    loaded: Window
    purges: Propagation
    changes: Propagation


@dataclass(frozen=True, slots=True)
class ComparisonTables:
    """The tables of a comparison, with one row in each for every measurement."""

    propagation: Table
    routers: Table
    sources: Table

    @classmethod
    def add_to(cls, report: Report) -> ComparisonTables:
        """Add empty tables to a report."""
        return cls(
            report.table(
                PROPAGATION_TITLE,
                "routers", "mode", "purge p50 ms", "p99", "max", "incomplete", "change p50 ms", "max",
                "machine busy %",
            ),
            report.table(
                "Cost of the control plane for a router",
                "routers", "mode", "KB/s in", "KB/s out", "answers/s", "core %", "idle core %",
                "private MB of a hollow router",
                "full router: core % with events", "idle core %", "MB resident (private)",
                "requests p99 ms (idle)",
            ),
            report.table(
                "Cost for discovery and for a relay",
                "routers", "mode", "polls/s at discovery", "core % of its 3 processes", "private MB of one",
                "connections", "core % of a relay", "private MB", "descriptors",
            ),
        )  # fmt: skip

    def add(self, measured: Measurement) -> None:
        """Add a row with this measurement to each table."""
        self._add_propagation(measured)
        self._add_routers(measured)
        self._add_sources(measured)

    def _add_propagation(self, measured: Measurement) -> None:
        purges = measured.purges
        changes = measured.changes
        busy_share = measured.loaded.cost.machine_busy_share
        saturation_note = " (saturated)" if busy_share > SATURATED_BUSY_SHARE else ""
        self.propagation.add(
            measured.routers,
            measured.mode,
            purges.p50_ms,
            purges.p99_ms,
            purges.max_ms,
            purges.incomplete,
            changes.p50_ms,
            changes.max_ms,
            f"{100 * busy_share:.0f}{saturation_note}",
        )

    def _add_routers(self, measured: Measurement) -> None:
        hollow = measured.loaded.cost.hollow_router
        full_cost = measured.loaded.cost.full_router
        idle = measured.idle
        self.routers.add(
            measured.routers,
            measured.mode,
            hollow.bytes_in_per_s / 1000.0,
            hollow.bytes_out_per_s / 1000.0,
            hollow.polls_per_s,
            100 * hollow.core_share,
            100 * idle.cost.hollow_router.core_share,
            hollow.private_mb,
            100 * full_cost.core_share,
            100 * idle.cost.full_router.core_share,
            f"{full_cost.resident_mb:.1f} ({full_cost.private_mb:.1f})",
            f"{measured.loaded.request_p99_ms:.1f} ({idle.request_p99_ms:.1f})",
        )

    def _add_sources(self, measured: Measurement) -> None:
        discovery = measured.loaded.cost.discovery
        relay = measured.loaded.cost.relay
        relay_cells: tuple[object, ...] = (100 * relay.core_share, relay.private_mb, relay.descriptors)
        self.sources.add(
            measured.routers,
            measured.mode,
            discovery.polls_per_s,
            100 * discovery.core_share,
            discovery.private_mb,
            discovery.connections,
            *(relay_cells if measured.mode is Mode.RELAYS else ("-",) * len(relay_cells)),
        )


def run_comparison(
    report: Report, topology: Topology, sizes: Sequence[int], modes: Sequence[Mode], window_s: float
) -> None:
    """Measure one environment after the other, for each size in each mode."""
    tables = ComparisonTables.add_to(report)
    for size in sizes:
        for mode in modes:
            try:
                tables.add(_measure(report, topology.resized(size), mode, window_s))
            except RunError as error:
                tables.propagation.notes.append(f"{size} routers, {mode}: not measured: {error}.")
    tables.routers.notes.append(ROUTER_LIMITS_NOTE)


def _measure(report: Report, topology: Topology, mode: Mode, window_s: float) -> Measurement:
    options = EnvironmentOptions(relays=mode is Mode.RELAYS, full_routers=True, requests_per_s=REQUESTS_PER_S)
    time_limit_s = 4 * window_s + 3 * CONVERGENCE_TIMEOUT_S
    with ScaleEnvironment(topology, options, time_limit_s) as environment:
        if environment.wait_until_converged(CONVERGENCE_TIMEOUT_S) is None:
            raise NotConvergedError(when=f"within {CONVERGENCE_TIMEOUT_S:.0f} s of the start")
        idle = _measure_window(environment, IDLE_WINDOW_S)
        purges = environment.publish_purges(PEAK_PURGES_PER_S, int(PEAK_PURGES_PER_S * window_s))
        changes = environment.publish_changes(CHANGE_INTERVAL_S, int(window_s / CHANGE_INTERVAL_S))
        environment.pause_until(purges.start_s)
        loaded = _measure_window(environment, window_s)
        is_converged = environment.wait_until_converged(CONVERGENCE_TIMEOUT_S) is not None
        measured = Measurement(
            topology.routers,
            mode,
            idle,
            loaded,
            measure_propagation(purges, environment.deliveries(purges), topology.routers),
            measure_propagation(changes, environment.deliveries(changes), topology.routers),
        )
        state = environment.state()
    _add_verdicts(report, measured, is_converged, state)
    return measured


def _add_verdicts(report: Report, measured: Measurement, is_converged: bool, state: FleetState) -> None:
    key = f"{measured.routers} routers, {measured.mode}"
    report.verdict(f"{key}: all routers converged at the end", is_converged)
    report.verdict(f"{key}: no purge lost", measured.purges.incomplete == 0)
    if measured.mode is Mode.DIRECT:
        report.verdict(f"{key}: no purge received twice", state.repeated_purges == 0)


def _measure_window(environment: ScaleEnvironment, seconds: float) -> Window:
    if environment.load is not None:
        environment.load.call(ClearLatencies(), Acknowledged)
    before = take_sample(environment)
    environment.pause(seconds)
    after = take_sample(environment)
    return Window(cost_between(before, after), _request_p99_ms(after.load))


def _request_p99_ms(load: LoadFigures | None) -> float:
    """Return the 99th percentile of the latency of requests; 0 without a load, NaN without an answer."""
    if load is None:
        return 0.0
    return math.nan if load.p99_ms is None else load.p99_ms
