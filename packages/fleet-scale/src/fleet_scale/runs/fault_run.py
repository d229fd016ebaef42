"""Injects faults under a steady stream of purges and measures the time and cost of recovery."""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from fleet_scale.environment.scale_environment import ScaleEnvironment
from fleet_scale.errors import NotConvergedError
from fleet_scale.event_plan import PurgePlan
from fleet_scale.line_fit import quantile
from fleet_scale.modes import Mode
from fleet_scale.report import Report, Table
from fleet_scale.runs.compare import PEAK_PURGES_PER_S
from fleet_scale.runs.cost import Sample, relay_cpu_s, take_sample, total_increase

CONVERGENCE_TIMEOUT_S = 120.0
# Duration of a fault.
FAULT_S = 2.0
# Time over which the issue times of the purges are spread that routers miss during a fault.
MISSED_HISTORY_S = 3600.0
# Time allowed for the publication of the missed purges.
HISTORY_PUBLISHED_S = 1.0
FAULT_TABLE_COLUMNS = (
    "fault", "routers", "s until caught up", "MB received meanwhile", "processor s of routers",
    "of discovery", "max of a relay", "repeats", "others: purge p99 ms", "purges lost by others",
)  # fmt: skip

FaultAction = Callable[[ScaleEnvironment, Sequence[str]], None]


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault that affects these routers; its recovery is measured from the ``end`` action.

    A fault without ``begin`` is instantaneous.  ``missed_purges`` are published at once during the fault.  If
    it ``isolates`` the routers, they must not receive events before its end.
    """

    name: str
    routers: tuple[str, ...]
    end: FaultAction
    begin: FaultAction | None = None
    missed_purges: int = 0
    isolates: bool = False


@dataclass(frozen=True, slots=True)
class UnaffectedRouters:
    """How purges reached the routers that a fault does not affect.

    ``p99_ms`` is the 99th percentile of the time until the last router has a purge, without the processes
    that run an affected router.
    """

    lost_purges: int
    p99_ms: float


class FaultRunner:
    """Injects faults into one environment and adds a row for each to a table."""

    def __init__(
        self,
        report: Report,
        table: Table,
        environment: ScaleEnvironment,
        mode: Mode,
        fault_s: float = FAULT_S,
    ) -> None:
        self._report = report
        self._table = table
        self._environment = environment
        self._mode = mode
        self._fault_s = fault_s

    def run(self, fault: Fault) -> None:
        """Inject one fault.  Raises NotConvergedError if the routers do not converge before it."""
        environment = self._environment
        if environment.wait_until_converged(CONVERGENCE_TIMEOUT_S) is None:
            raise NotConvergedError(when=f"before the fault: {fault.name}")
        repeated_before = environment.state().repeated_purges
        purge_stream = self._begin_fault(fault)
        before = take_sample(environment)
        newest_purge = _newest_published(purge_stream)
        fault.end(environment, fault.routers)
        recovery_s = environment.wait_until(
            lambda: _have_caught_up(environment, fault.routers, newest_purge), CONVERGENCE_TIMEOUT_S
        )
        after = take_sample(environment)
        all_converged = environment.wait_until_converged(CONVERGENCE_TIMEOUT_S) is not None
        self._verdict(fault, "all routers converged again", all_converged)
        unaffected = _measure_unaffected(environment, purge_stream, fault.routers)
        self._verdict(fault, "no purge lost by unaffected routers", unaffected.lost_purges == 0)
        self._table.add(
            fault.name,
            len(set(fault.routers)),
            math.nan if recovery_s is None else recovery_s,
            *_recovery_cost(before, after),
            environment.state().repeated_purges - repeated_before,
            unaffected.p99_ms,
            unaffected.lost_purges,
        )

    def _begin_fault(self, fault: Fault) -> PurgePlan:
        """Start a stream of purges and then the fault, wait for its duration, and return the stream."""
        environment = self._environment
        # The missed purges are numbered below the stream, so that the newest number is published last.
        first_missed = environment.reserve_purges(fault.missed_purges)
        purge_stream = environment.publish_purges(
            PEAK_PURGES_PER_S, int(PEAK_PURGES_PER_S * 2 * self._fault_s)
        )
        environment.pause_until(purge_stream.start_s)
        if fault.begin is not None:
            fault.begin(environment, fault.routers)
        environment.pause(self._fault_s)
        if fault.missed_purges:
            environment.publish_history(first_missed, fault.missed_purges, MISSED_HISTORY_S)
            environment.pause(HISTORY_PUBLISHED_S)
        if fault.isolates:
            received = environment.state(fault.routers).highest_newest_purge
            self._verdict(fault, "isolated routers received no event", received < environment.newest_purge)
        return purge_stream

    def _verdict(self, fault: Fault, statement: str, holds: bool) -> None:
        self._report.verdict(f"{self._mode}: {fault.name}: {statement}", holds)


def _newest_published(purge_stream: PurgePlan) -> int:
    """Return the number of the newest purge of the stream that is due by now."""
    published = int((time.monotonic() - purge_stream.start_s) * purge_stream.purges_per_s)
    return purge_stream.first + min(published, purge_stream.count - 1)


def _have_caught_up(environment: ScaleEnvironment, routers: Sequence[str], newest_purge: int) -> bool:
    """Whether these routers are connected and have discovery's list and that purge or a later one."""
    state = environment.state(routers)
    if state.connected < state.running:
        return False
    return state.list_digests == environment.list_digests() and state.lowest_newest_purge >= newest_purge


def _measure_unaffected(
    environment: ScaleEnvironment, purge_stream: PurgePlan, affected: Sequence[str]
) -> UnaffectedRouters:
    all_routers = {name for site in environment.sites for name in site.routers}
    unaffected_count = len(all_routers - set(affected))
    deliveries = environment.deliveries(purge_stream)
    lost_purges = sum(
        number not in deliveries or deliveries[number].router_count < unaffected_count
        for number in purge_stream.numbers()
    )
    unaffected_deliveries = environment.deliveries(purge_stream, excluded_routers=affected)
    times_ms = [
        (unaffected_deliveries[number].last_s - purge_stream.due_s(number)) * 1000.0
        for number in purge_stream.numbers()
        if number in unaffected_deliveries
    ]
    return UnaffectedRouters(lost_purges, quantile(times_ms, 0.99))


def _recovery_cost(before: Sample, after: Sample) -> tuple[float, float, float, float]:
    """Return MB received by routers, and processor seconds of routers, discovery, and the busiest relay."""
    received_bytes = total_increase(
        before.hollow_groups, after.hollow_groups, lambda group: group.counters.bytes_in
    )
    routers_cpu_s = total_increase(before.hollow_groups, after.hollow_groups, lambda group: group.usage.cpu_s)
    discovery_cpu_s = total_increase(
        before.discoveries, after.discoveries, lambda figures: figures.usage.cpu_s
    )
    max_relay_cpu_s = max(relay_cpu_s(before, after), default=0.0)
    return received_bytes / 1e6, routers_cpu_s, discovery_cpu_s, max_relay_cpu_s
