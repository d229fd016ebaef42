"""The small run for CI: every role and mechanism once, with verdicts only on counts and order."""

from __future__ import annotations

import time
from collections.abc import Sequence

from fleet_scale.environment.environment_processes import EnvironmentOptions
from fleet_scale.environment.processes import call_all
from fleet_scale.environment.scale_environment import ScaleEnvironment
from fleet_scale.errors import MissingLoadError, RunError
from fleet_scale.messages import (
    Acknowledged,
    LoadFigures,
    MemberStates,
    ReportFigures,
    ReportMembers,
    SetRequestRate,
)
from fleet_scale.modes import Mode
from fleet_scale.report import Report
from fleet_scale.runs.compare import PEAK_PURGES_PER_S
from fleet_scale.runs.cost import Cost, cost_between, take_sample
from fleet_scale.runs.fault_actions import (
    end_routers,
    isolate_regions,
    reset_connections,
    restart_routers,
    start_routers,
    unblock_regions,
)
from fleet_scale.runs.fault_run import FAULT_TABLE_COLUMNS, Fault, FaultRunner
from fleet_scale.runs.faults import routers_of
from fleet_scale.runs.propagation import Propagation, measure_propagation
from fleet_scale.topology import Topology

CONVERGENCE_TIMEOUT_S = 20.0
# Duration of a fault.
FAULT_S = 1.0
REQUESTS_PER_S = 10.0
MIN_REQUESTS = 100
# Duration of the stream of purges.
STREAM_S = 4
CHANGES = 8
CHANGE_INTERVAL_S = 0.5
RACK_ROUTERS = 3
RESTARTS = 12
MISSED_PURGES = 1000
# Members that are ended while the others detect it.
ENDED_MEMBERS = 2
# Timings of the membership, shorter than the defaults so that failures are detected within seconds.
MEMBER_TIMINGS = {
    "probe_every_ms": 400,
    "probe_timeout_ms": 150,
    "suspicion_least_ms": 1500,
    "suspicion_most_ms": 5000,
    "sync_every_ms": 2000,
    "rejoin_ms": 1000,
}


def run_small(report: Report, topology: Topology, modes: Sequence[Mode], time_limit_s: float) -> None:
    """Run one environment for each mode, the first of them with membership."""
    end_s = time.monotonic() + time_limit_s
    for index, mode in enumerate(modes):
        options = EnvironmentOptions(
            relays=mode is Mode.RELAYS,
            proxies=True,
            membership=index == 0,
            full_routers=True,
            requests_per_s=REQUESTS_PER_S,
        )
        remaining_s = end_s - time.monotonic()
        try:
            with ScaleEnvironment(topology, options, remaining_s, MEMBER_TIMINGS) as environment:
                SmallRun(report, environment, mode).run()
        except RunError as error:
            report.verdict(f"{mode}: completed ({error})", False)


class SmallRun:
    """The small run in one mode."""

    def __init__(self, report: Report, environment: ScaleEnvironment, mode: Mode) -> None:
        self._report = report
        self._environment = environment
        self._mode = mode

    def run(self) -> None:
        """Run all checks in order, and record their verdicts."""
        environment = self._environment
        is_converged = environment.wait_until_converged(CONVERGENCE_TIMEOUT_S) is not None
        self._verdict("all routers converged at the start", is_converged)
        self._check_event_stream()
        title = f"Faults, {environment.topology.routers} routers, {self._mode}"
        table = self._report.table(title, *FAULT_TABLE_COLUMNS)
        runner = FaultRunner(self._report, table, environment, self._mode, FAULT_S)
        for fault in self._faults():
            runner.run(fault)
        if environment.options.membership:
            self._check_membership()
        self._check_requests()

    def _verdict(self, statement: str, holds: bool) -> None:
        self._report.verdict(f"{self._mode}: {statement}", holds)

    def _check_event_stream(self) -> None:
        """Publish purges and changes; every router must receive each of them, and no purge twice."""
        environment = self._environment
        routers = environment.topology.routers
        before = take_sample(environment)
        purges = environment.publish_purges(PEAK_PURGES_PER_S, int(PEAK_PURGES_PER_S * STREAM_S))
        changes = environment.publish_changes(CHANGE_INTERVAL_S, CHANGES)
        is_converged = environment.wait_until_converged(CONVERGENCE_TIMEOUT_S) is not None
        cost = cost_between(before, take_sample(environment))
        repeated_purges = environment.state().repeated_purges
        purge = measure_propagation(purges, environment.deliveries(purges), routers)
        change = measure_propagation(changes, environment.deliveries(changes), routers)
        self._verdict(
            f"all routers converged after {purges.count} purges and {CHANGES} changes", is_converged
        )
        self._verdict("every router received each purge", purge.incomplete == 0)
        self._verdict("every router received each change", change.incomplete == 0)
        self._verdict("no purge received twice", repeated_purges == 0)
        self._add_stream_table(purge, change, cost)

    def _add_stream_table(self, purge: Propagation, change: Propagation, cost: Cost) -> None:
        routers = self._environment.topology.routers
        hollow = cost.hollow_router
        table = self._report.table(f"A stream of events, {routers} routers, {self._mode}", "cost", "measured")
        table.add("purge to all, p50 / max, ms", f"{purge.p50_ms:.0f} / {purge.max_ms:.0f}")
        table.add("change to all, p50 / max, ms", f"{change.p50_ms:.0f} / {change.max_ms:.0f}")
        table.add("KB/s in, of a router", hollow.bytes_in_per_s / 1000.0)
        table.add("core of a hollow router, %", 100 * hollow.core_share)
        table.add("polls/s at discovery", cost.discovery.polls_per_s)

    def _faults(self) -> list[Fault]:
        sites = self._environment.sites
        last_site = sites[-1]
        zone = routers_of([site for site in sites if site.zone == last_site.zone])
        region = routers_of([site for site in sites if site.region == last_site.region])
        rack = last_site.routers[:RACK_ROUTERS]
        return [
            Fault("a rack fails and restarts", rack, start_routers, end_routers),
            Fault("a zone's connections are reset", zone, reset_connections),
            Fault(f"{RESTARTS} successive restarts", region[:RESTARTS], restart_routers),
            Fault(
                f"a region is isolated and misses {MISSED_PURGES} purges",
                region, unblock_regions, isolate_regions, MISSED_PURGES, isolates=True,
            ),
        ]  # fmt: skip

    def _check_membership(self) -> None:
        """End and restart routers: all members must detect both, and declare no running router failed."""
        environment = self._environment
        all_routers = routers_of(environment.sites)
        ended = environment.sites[0].routers[-ENDED_MEMBERS:]
        observers = environment.topology.routers - len(ended)
        end_routers(environment, ended)
        failed_s = environment.wait_until(
            lambda: self._count_members(ended, "failed") == observers * len(ended), CONVERGENCE_TIMEOUT_S
        )
        start_routers(environment, ended)
        expected_alive = (observers + len(ended) - 1) * len(ended)
        alive_s = environment.wait_until(
            lambda: self._count_members(ended, "alive") == expected_alive, CONVERGENCE_TIMEOUT_S
        )
        self._verdict("all members list the ended members as failed", failed_s is not None)
        self._verdict("all members list the restarted members as alive", alive_s is not None)
        replies = self._member_states(all_routers)
        declared_failed = {name for reply in replies for name in reply.declared_failed}
        self._verdict(
            "no running member was declared failed", not declared_failed - environment.ended_routers
        )

    def _member_states(self, names: tuple[str, ...]) -> list[MemberStates]:
        return call_all(self._environment.hollow_workers, ReportMembers(names), MemberStates)

    def _count_members(self, names: tuple[str, ...], state: str) -> int:
        """Count the entries for these members in one state, over the lists of all members."""
        return sum(reply.states.get(state, 0) for reply in self._member_states(names))

    def _check_requests(self) -> None:
        """Stop the load, and check that every request to the full routers was served."""
        load = self._environment.load
        if load is None:
            raise MissingLoadError
        load.call(SetRequestRate(0.0), Acknowledged)
        self._environment.wait_until(
            lambda: load.call(ReportFigures(), LoadFigures).unanswered == 0, CONVERGENCE_TIMEOUT_S
        )
        figures = load.call(ReportFigures(), LoadFigures)
        routers = len(self._environment.full_routers)
        all_served = figures.served == figures.sent > MIN_REQUESTS
        self._verdict(
            f"every request to {routers} full routers served, more than {MIN_REQUESTS} in total",
            all_served and figures.connected == routers,
        )
