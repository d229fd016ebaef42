"""A running environment: publishes plans of events, reports what routers know, and waits with bounds."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Self

from fleet_scale.environment.environment_processes import EnvironmentOptions, EnvironmentProcesses
from fleet_scale.environment.processes import ask_all
from fleet_scale.errors import MemoryLimitError, TimeLimitError
from fleet_scale.event_counters import Delivery, merge_deliveries
from fleet_scale.event_plan import ChangePlan, EventPlan, PurgePlan
from fleet_scale.messages import (
    Acknowledged,
    BlockRoutes,
    Deliveries,
    Direction,
    DiscoveryFigures,
    PublishPlan,
    ReportDeliveries,
    ReportFigures,
    ReportRouterStates,
    RouterStates,
)
from fleet_scale.topology import Topology

# Share of the machine's memory that a run may use.
MAX_MEMORY_SHARE = 0.5
# Memory of the machine that a run leaves to others.
MIN_FREE_MB = 300.0
# Interval at which an expected state is looked at.
WAIT_INTERVAL_S = 0.1
# Time before a plan begins, within which every process receives it.
PLAN_LEAD_S = 0.5
DEFAULT_TIME_LIMIT_S = 600.0


@dataclass(frozen=True, slots=True)
class FleetState:
    """What hollow routers know: digests of their endpoint lists, and the newest purges that they received.

    ``lowest_newest_purge`` is that of the router that is furthest behind, ``highest_newest_purge`` that of
    the router that is furthest ahead; -1 stands for none.
    """

    running: int
    connected: int
    list_digests: frozenset[str]
    lowest_newest_purge: int
    highest_newest_purge: int
    repeated_purges: int


def merge_states(replies: Iterable[RouterStates]) -> FleetState:
    """Combine what the hollow routers of several processes know."""
    states = [reply for reply in replies if reply.running]
    digests = Counter[str]()
    for state in states:
        digests.update(state.list_digests)
    return FleetState(
        running=sum(state.running for state in states),
        connected=sum(state.connected for state in states),
        list_digests=frozenset(digests),
        lowest_newest_purge=min((state.lowest_newest_purge for state in states), default=-1),
        highest_newest_purge=max((state.highest_newest_purge for state in states), default=-1),
        repeated_purges=sum(state.repeated_purges for state in states),
    )


class ScaleEnvironment(EnvironmentProcesses):
    """A context manager that starts all processes and ends them in every outcome.

    Raises RunError for what keeps a run from going on, among it the bounds on memory and on time, which is
    ``time_limit_s`` from the construction on.
    """

    def __init__(
        self,
        topology: Topology,
        options: EnvironmentOptions,
        time_limit_s: float = DEFAULT_TIME_LIMIT_S,
        member_timings: Mapping[str, float] | None = None,
    ) -> None:
        super().__init__(topology, options, member_timings or {})
        self.until_s = time.monotonic() + time_limit_s
        self.ended_routers: set[str] = set()  # that were ended at any time
        self._next_purge = 0
        self._next_change = 1

    def __enter__(self) -> Self:
        try:
            self.start()
        except BaseException:
            self.processes.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.processes.stop()

    # -- events --

    @property
    def newest_purge(self) -> int:
        """The highest number of a purge that was reserved."""
        return self._next_purge - 1

    def reserve_purges(self, count: int) -> int:
        """Reserve numbers for so many purges and return the first."""
        first = self._next_purge
        self._next_purge += count
        return first

    def publish_purges(self, purges_per_s: float, count: int) -> PurgePlan:
        """Publish so many purges from soon on."""
        first = self.reserve_purges(count)
        plan = PurgePlan(time.monotonic() + PLAN_LEAD_S, purges_per_s, count, first)
        self._publish(plan)
        return plan

    def publish_history(self, first: int, count: int, history_s: float) -> PurgePlan:
        """Publish purges with reserved numbers as those of the last ``history_s`` seconds.

        Routers in step count as having received them; all others lack them from soon on.
        """
        plan = PurgePlan(time.monotonic() + PLAN_LEAD_S, 0.0, count, first, history_s)
        self._publish(plan)
        return plan

    def publish_changes(self, interval_s: float, count: int) -> ChangePlan:
        """Publish so many changes of the endpoint list from soon on."""
        plan = ChangePlan(time.monotonic() + PLAN_LEAD_S, interval_s, count, self._next_change)
        self._next_change += count
        self._publish(plan)
        return plan

    def _publish(self, plan: EventPlan) -> None:
        ask_all(self.discoveries, PublishPlan(plan), Acknowledged)

    def block_routes(self, routes: Sequence[str], directions: Sequence[Direction]) -> None:
        """Block these directions of routes, and unblock their others."""
        for worker, carried in self.proxies.items():
            of_worker = tuple(route for route in routes if route in carried)
            worker.ask(BlockRoutes(of_worker, tuple(directions)), Acknowledged)

    # -- knowledge --

    def deliveries(self, plan: EventPlan, excluded_routers: Iterable[str] = ()) -> dict[int, Delivery]:
        """Return how the events of a plan were received, without processes that hold an excluded router."""
        excluded = set(excluded_routers)
        workers = [worker for worker, routers in self.hollow_groups.items() if not routers & excluded]
        numbers = plan.numbers()
        command = ReportDeliveries(plan.kind, numbers.start, numbers.stop)
        replies = ask_all(workers, command, Deliveries)
        return merge_deliveries(reply.by_number for reply in replies)

    def state(self, names: Iterable[str] | None = None) -> FleetState:
        """Return what these hollow routers know, or all of them."""
        command = ReportRouterStates(None if names is None else tuple(names))
        return merge_states(ask_all(self.hollow_workers, command, RouterStates))

    def _discovery_figures(self) -> list[DiscoveryFigures]:
        return ask_all(self.discoveries, ReportFigures(), DiscoveryFigures)

    def list_digests(self) -> frozenset[str]:
        """The digest of discovery's endpoint list; several only while one of its processes is later."""
        return frozenset(figures.list_digest for figures in self._discovery_figures())

    def is_in_step(self, names: Iterable[str] | None = None) -> bool:
        """Whether all plans are published and these routers know discovery's list and the newest purge."""
        if any(figures.planned_events for figures in self._discovery_figures()):
            return False
        state = self.state(names)
        if state.list_digests != self.list_digests():
            return False
        return state.lowest_newest_purge == self.newest_purge

    # -- bounds --

    def wait_until(self, condition: Callable[[], bool], timeout_s: float) -> float | None:
        """Return the seconds until a condition holds, or None if it does not in time.

        Raises RunError at the end of the run's time.
        """
        begin_s = time.monotonic()
        while not condition():
            self._check_time()
            if time.monotonic() >= begin_s + timeout_s:
                return None
            time.sleep(WAIT_INTERVAL_S)
        return time.monotonic() - begin_s

    def wait_in_step(self, timeout_s: float) -> float | None:
        """Wait until all routers are in step; see ``wait_until``."""
        return self.wait_until(self.is_in_step, timeout_s)

    def pause(self, seconds: float) -> None:
        """Let time pass.  Raises RunError at the end of the run's time or above its memory."""
        time.sleep(max(min(seconds, self.until_s - time.monotonic()), 0.0))
        self.check_bounds()

    def pause_until(self, moment_s: float) -> None:
        """Let time pass until a moment of the monotonic clock; see ``pause``."""
        self.pause(max(moment_s - time.monotonic(), 0.0))

    def check_bounds(self) -> None:
        """Raise RunError at the end of the run's time or above its memory."""
        self._check_time()
        used_mb = self.processes.resident_mb()
        total_mb, free_mb = _machine_memory_mb()
        if used_mb > MAX_MEMORY_SHARE * total_mb or free_mb < MIN_FREE_MB:
            raise MemoryLimitError(used_mb, total_mb, free_mb)

    def _check_time(self) -> None:
        if time.monotonic() >= self.until_s:
            raise TimeLimitError


def _machine_memory_mb() -> tuple[float, float]:
    """The machine's memory, and what of it is free."""
    lines = Path("/proc/meminfo").read_text().splitlines()
    values = dict(line.split(":") for line in lines)
    total_mb = float(values["MemTotal"].split()[0]) / 1024.0
    free_mb = float(values["MemAvailable"].split()[0]) / 1024.0
    return total_mb, free_mb
