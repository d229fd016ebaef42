"""One fault under a steady flow of purges: how long routers take to be in step again, and what that costs."""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from fleet_scale.environment.scale_environment import ScaleEnvironment
from fleet_scale.errors import NotInStepError
from fleet_scale.event_plan import PurgePlan
from fleet_scale.line_fit import quantile
from fleet_scale.modes import Mode
from fleet_scale.report import Report, Table
from fleet_scale.runs.compare import PEAK_PURGES_PER_S
from fleet_scale.runs.cost import Sample, increase, relay_cpu_s, take_sample

IN_STEP_TIMEOUT_S = 120.0
# Duration of a fault.
FAULT_S = 2.0
# Span of time over which the purges are spread that routers miss during a fault.
MISSED_HISTORY_S = 3600.0
# Time within which the missed purges are published.
HISTORY_PUBLISHED_S = 1.0
HEAD = (
    "fault", "routers", "s until in step again", "MB told in the burst", "processor s of routers",
    "of discovery", "most of a relay", "repeats", "others: purge p99 ms", "purges lost to others",
)  # fmt: skip

FaultAction = Callable[[ScaleEnvironment, Sequence[str]], None]


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of these routers; its cost is counted from ``end`` on.

    A fault without ``begin`` has no duration.  ``missed_purges`` are published at once while it lasts.  If it
    ``isolates`` the routers, they must not receive events until its end.
    """

    name: str
    routers: tuple[str, ...]
    end: FaultAction
    begin: FaultAction | None = None
    missed_purges: int = 0
    isolates: bool = False


@dataclass(frozen=True, slots=True)
class UnaffectedRouters:
    """How purges reached the routers that a fault does not concern."""

    lost_purges: int
    p99_ms: float  # of routers in processes without an affected one


class FaultRun:
    """Plays faults in one environment and adds them to a table."""

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

    def play(self, fault: Fault) -> None:
        """Play one fault.  Raises NotInStepError if the routers are not in step before."""
        environment = self._environment
        if environment.wait_in_step(IN_STEP_TIMEOUT_S) is None:
            raise NotInStepError(when=f"before: {fault.name}")
        repeated_before = environment.state().repeated_purges
        flow = self._begin(fault)
        before = take_sample(environment)
        newest_purge = _newest_published(flow)
        fault.end(environment, fault.routers)
        in_step_s = environment.wait_until(
            lambda: _know(environment, fault.routers, newest_purge), IN_STEP_TIMEOUT_S
        )
        after = take_sample(environment)
        all_in_step = environment.wait_in_step(IN_STEP_TIMEOUT_S) is not None
        self._verdict(fault, "all in step again", all_in_step)
        unaffected = _measure_unaffected(environment, flow, fault.routers)
        self._verdict(fault, "no purge lost to the others", unaffected.lost_purges == 0)
        self._table.add(
            fault.name,
            len(set(fault.routers)),
            math.nan if in_step_s is None else in_step_s,
            *_burst_cost(before, after),
            environment.state().repeated_purges - repeated_before,
            unaffected.p99_ms,
            unaffected.lost_purges,
        )

    def _begin(self, fault: Fault) -> PurgePlan:
        """Start the flow of purges and then the fault, and let it last; return the flow."""
        environment = self._environment
        # The numbers of missed purges are below those of the flow, whose last one is published last.
        first_missed = environment.reserve_purges(fault.missed_purges)
        flow = environment.publish_purges(PEAK_PURGES_PER_S, int(PEAK_PURGES_PER_S * 2 * self._fault_s))
        environment.pause_until(flow.start_s)
        if fault.begin is not None:
            fault.begin(environment, fault.routers)
        environment.pause(self._fault_s)
        if fault.missed_purges:
            environment.publish_history(first_missed, fault.missed_purges, MISSED_HISTORY_S)
            environment.pause(HISTORY_PUBLISHED_S)
        if fault.isolates:
            received = environment.state(fault.routers).highest_newest_purge
            self._verdict(fault, "none of them heard across the cut", received < environment.newest_purge)
        return flow

    def _verdict(self, fault: Fault, statement: str, holds: bool) -> None:
        self._report.verdict(f"{self._mode}: {fault.name}: {statement}", holds)


def _newest_published(flow: PurgePlan) -> int:
    """The number of the newest purge of the flow that is published by now."""
    published = int((time.monotonic() - flow.start_s) * flow.purges_per_s)
    return flow.first + min(published, flow.count - 1)


def _know(environment: ScaleEnvironment, routers: Sequence[str], newest_purge: int) -> bool:
    """Whether these are connected and know discovery's list and that purge, or a later one."""
    state = environment.state(routers)
    if state.connected < state.running:
        return False
    return state.list_digests == environment.list_digests() and state.lowest_newest_purge >= newest_purge


def _measure_unaffected(
    environment: ScaleEnvironment, flow: PurgePlan, affected: Sequence[str]
) -> UnaffectedRouters:
    all_routers = {name for site in environment.sites for name in site.routers}
    unaffected_count = len(all_routers - set(affected))
    deliveries = environment.deliveries(flow)
    lost_purges = sum(
        number not in deliveries or deliveries[number].router_count < unaffected_count
        for number in flow.numbers()
    )
    apart = environment.deliveries(flow, excluded_routers=affected)
    times_ms = [
        (apart[number].last_s - flow.due_s(number)) * 1000.0 for number in flow.numbers() if number in apart
    ]
    return UnaffectedRouters(lost_purges, quantile(times_ms, 0.99))


def _burst_cost(before: Sample, after: Sample) -> tuple[float, float, float, float]:
    """MB that routers received; processor seconds of routers, discovery, and the relay that used most."""
    received_bytes = increase(
        before.hollow_groups, after.hollow_groups, lambda group: group.counters.bytes_in
    )
    routers_cpu_s = increase(before.hollow_groups, after.hollow_groups, lambda group: group.usage.cpu_s)
    discovery_cpu_s = increase(before.discoveries, after.discoveries, lambda figures: figures.usage.cpu_s)
    relay_s = max(relay_cpu_s(before, after), default=0.0)
    return received_bytes / 1e6, routers_cpu_s, discovery_cpu_s, relay_s
