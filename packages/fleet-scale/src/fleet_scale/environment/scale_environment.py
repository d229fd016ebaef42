"""A running environment: publishes plans of events, collects the state of routers, and waits with limits."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Self

from fleet_scale.environment.environment_processes import EnvironmentOptions, EnvironmentProcesses
from fleet_scale.environment.processes import call_all
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
# Memory of the machine that a run must leave available.
MIN_FREE_MB = 300.0
# Interval at which a condition that is waited for is checked.
WAIT_INTERVAL_S = 0.1
# Lead time before a plan begins, so that every discovery process receives it before.
PLAN_LEAD_S = 0.5
DEFAULT_TIME_LIMIT_S = 600.0


@dataclass(frozen=True, slots=True)
class FleetState:
    """State of hollow routers: digests of their endpoint lists, and the newest purges that they received.

    ``lowest_newest_purge`` is that of the router that is furthest behind, ``highest_newest_purge`` that of
    the router that is furthest ahead; -1 means that no purge was received.
    """

    running: int
    connected: int
    list_digests: frozenset[str]
    lowest_newest_purge: int
    highest_newest_purge: int
    repeated_purges: int


def merge_states(replies: Iterable[RouterStates]) -> FleetState:
    """Merge the states that several processes of hollow routers report."""
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
    """A context manager that starts all processes and always kills them on exit.

    Its methods raise RunError if the run cannot continue, for instance above its memory limit, or later than
    ``time_limit_s`` after construction.  A fleet has converged when every running router knows discovery's
    endpoint list and the newest purge.
    """

    def __init__(
        self,
        topology: Topology,
        options: EnvironmentOptions,
        time_limit_s: float = DEFAULT_TIME_LIMIT_S,
        member_timings: Mapping[str, float] | None = None,
    ) -> None:
        super().__init__(topology, options, member_timings or {})
        self.deadline_s = time.monotonic() + time_limit_s
        self.ended_routers: set[str] = set()  # that were ended at any time of the run
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
        """The highest purge number that was reserved; -1 if none was."""
        return self._next_purge - 1

    def reserve_purges(self, count: int) -> int:
        """Reserve ``count`` consecutive purge numbers and return the first."""
        first = self._next_purge
        self._next_purge += count
        return first

    def publish_purges(self, purges_per_s: float, count: int) -> PurgePlan:
        """Publish ``count`` purges at a steady rate, after the lead time, and return their plan."""
        first = self.reserve_purges(count)
        plan = PurgePlan(time.monotonic() + PLAN_LEAD_S, purges_per_s, count, first)
        self._publish(plan)
        return plan

    def publish_history(self, first: int, count: int, history_s: float) -> PurgePlan:
        """Publish purges with reserved numbers as a history of the last ``history_s`` seconds.

        Only routers that are behind receive them; see ``PurgePlan``.
        """
        plan = PurgePlan(time.monotonic() + PLAN_LEAD_S, 0.0, count, first, history_s)
        self._publish(plan)
        return plan

    def publish_changes(self, interval_s: float, count: int) -> ChangePlan:
        """Publish ``count`` changes of the endpoint list, after the lead time, and return their plan."""
        plan = ChangePlan(time.monotonic() + PLAN_LEAD_S, interval_s, count, self._next_change)
        self._next_change += count
        self._publish(plan)
        return plan

    def _publish(self, plan: EventPlan) -> None:
        call_all(self.discoveries, PublishPlan(plan), Acknowledged)

    def block_routes(self, routes: Sequence[str], directions: Sequence[Direction]) -> None:
        """Block these directions of the routes, and unblock their other directions."""
        for worker, worker_routes in self.proxies.items():
            affected_routes = tuple(route for route in routes if route in worker_routes)
            worker.call(BlockRoutes(affected_routes, tuple(directions)), Acknowledged)

    # -- state of the routers --

    def deliveries(self, plan: EventPlan, excluded_routers: Iterable[str] = ()) -> dict[int, Delivery]:
        """Return the deliveries of a plan's events, without processes that hold an excluded router."""
        excluded = set(excluded_routers)
        workers = [worker for worker, routers in self.hollow_groups.items() if not routers & excluded]
        numbers = plan.numbers()
        command = ReportDeliveries(plan.kind, numbers.start, numbers.stop)
        replies = call_all(workers, command, Deliveries)
        return merge_deliveries(reply.by_number for reply in replies)

    def state(self, names: Iterable[str] | None = None) -> FleetState:
        """Return the state of these hollow routers, or of all if ``names`` is None."""
        command = ReportRouterStates(None if names is None else tuple(names))
        return merge_states(call_all(self.hollow_workers, command, RouterStates))

    def _discovery_figures(self) -> list[DiscoveryFigures]:
        return call_all(self.discoveries, ReportFigures(), DiscoveryFigures)

    def list_digests(self) -> frozenset[str]:
        """Return the digests of discovery's list: one, or several while one of its processes is behind."""
        return frozenset(figures.list_digest for figures in self._discovery_figures())

    def is_converged(self, names: Iterable[str] | None = None) -> bool:
        """Whether all plans are published, and these routers have discovery's list and the newest purge."""
        if any(figures.planned_events for figures in self._discovery_figures()):
            return False
        state = self.state(names)
        if state.list_digests != self.list_digests():
            return False
        return state.lowest_newest_purge == self.newest_purge

    # -- waiting and limits --

    def wait_until(self, condition: Callable[[], bool], timeout_s: float) -> float | None:
        """Wait for a condition; return the seconds that it took, or None after the timeout.

        Raises RunError at the run's time limit.
        """
        begin_s = time.monotonic()
        while not condition():
            self._check_time()
            if time.monotonic() >= begin_s + timeout_s:
                return None
            time.sleep(WAIT_INTERVAL_S)
        return time.monotonic() - begin_s

    def wait_until_converged(self, timeout_s: float) -> float | None:
        """Wait until all routers have converged; returns as ``wait_until`` does."""
        return self.wait_until(self.is_converged, timeout_s)

    def pause(self, seconds: float) -> None:
        """Sleep.  Raises RunError at the run's time limit or above its memory limit."""
        time.sleep(max(min(seconds, self.deadline_s - time.monotonic()), 0.0))
        self.check_bounds()

    def pause_until(self, moment_s: float) -> None:
        """Sleep until a moment of the monotonic clock; see ``pause``."""
        self.pause(max(moment_s - time.monotonic(), 0.0))

    def check_bounds(self) -> None:
        """Raise RunError at the run's time limit or above its memory limit."""
        self._check_time()
        used_mb = self.processes.resident_mb()
        total_mb, free_mb = _machine_memory_mb()
        if used_mb > MAX_MEMORY_SHARE * total_mb or free_mb < MIN_FREE_MB:
            raise MemoryLimitError(used_mb, total_mb, free_mb)

    def _check_time(self) -> None:
        if time.monotonic() >= self.deadline_s:
            raise TimeLimitError


def _machine_memory_mb() -> tuple[float, float]:
    """Return the total and the available memory of the machine."""
    lines = Path("/proc/meminfo").read_text().splitlines()
    values = dict(line.split(":") for line in lines)
    total_mb = float(values["MemTotal"].split()[0]) / 1024.0
    free_mb = float(values["MemAvailable"].split()[0]) / 1024.0
    return total_mb, free_mb
