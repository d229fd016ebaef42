"""Runs a subject with a seed and a schedule of faults, and returns the outcome."""

from __future__ import annotations

import string
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from .cluster import ActionHandler, ClusterOptions, Invariant, MessageDescriber, SimulatedCluster
from .fault_plans import FaultProfile, Schedule, draw_schedule, schedule_faults
from .network import LinkQuality
from .node import MachineFactory
from .trace import TraceEntry
from .trace_rendering import render_trace
from .violations import InvariantViolationError

# Simulated time between checks of whether the subject has settled.
POLL_INTERVAL_MS = 250.0

# Default number of entries at the end of the trace that a report shows: enough for a shrunk failure.
REPORT_ENTRIES = 120


def _nothing_unsettled(_cluster: SimulatedCluster) -> str | None:
    return None


def _no_description(_data: bytes) -> str:
    return ""


def _no_counters(_cluster: SimulatedCluster, _counts: Counter[str]) -> None:
    return None


@dataclass(frozen=True)
class Subject:
    """The simulated system and its invariants.

    ``find_unsettled`` describes what has not settled since the last fault, or returns None, which it must do
    within ``settle_timeout_ms``.  ``invariants`` makes new objects for each run; ``attach_counters`` adds
    listeners that only count and never fail a run.
    """

    factory: MachineFactory
    invariants: Callable[[], Iterable[Invariant]] = tuple
    find_unsettled: Callable[[SimulatedCluster], str | None] = _nothing_unsettled
    settle_timeout_ms: float = 20_000.0
    base_quality: LinkQuality = field(default_factory=LinkQuality)
    describe: MessageDescriber = _no_description
    action_handlers: Mapping[type, ActionHandler] = field(default_factory=dict)
    attach_counters: Callable[[SimulatedCluster, Counter[str]], None] = _no_counters


@dataclass(frozen=True)
class Plan:
    """The inputs that determine a run of a subject."""

    seed: int
    names: tuple[str, ...]
    schedule: Schedule


@dataclass(frozen=True)
class Outcome:
    """The outcome of a run.

    ``settled_ms`` is the time from the end of the last fault to the end of the run.  ``trace`` contains
    messages only in a traced run.
    """

    plan: Plan
    violation: InvariantViolationError | None
    steps: int
    simulated_ms: float
    settled_ms: float
    counts: Counter[str]
    trace: list[TraceEntry]

    def report_text(self, max_entries: int = REPORT_ENTRIES) -> str:
        """Return the result, the schedule and the last ``max_entries`` of the timeline (0: all) as text."""
        heading = f"seed {self.plan.seed}, {len(self.plan.names)} nodes: {self.violation or 'holds'}"
        faults = "\n".join(f"  {fault}" for fault in self.plan.schedule)
        timeline = render_trace(self.trace, self.plan.names, max_entries)
        return f"{heading}\nschedule:\n{faults}\n{timeline}"


def node_names(count: int) -> tuple[str, ...]:
    """Return the names a, b, c, ..., or n0, n1, ... if there are more than 26 nodes."""
    if count <= len(string.ascii_lowercase):
        return tuple(string.ascii_lowercase[:count])
    return tuple(f"n{index}" for index in range(count))


def draw_plan(seed: int, count: int, profile: FaultProfile) -> Plan:
    """Draw a plan for ``count`` nodes; equal arguments give equal plans."""
    names = node_names(count)
    return Plan(seed, names, draw_schedule(seed, names, profile))


def run(subject: Subject, plan: Plan, *, trace: bool = False) -> Outcome:
    """Run until the first violation, or until the subject has settled after the last fault."""
    cluster = make_cluster(subject, plan.seed, plan.names, trace=trace)
    counts: Counter[str] = Counter()
    subject.attach_counters(cluster, counts)
    healed_ms = schedule_faults(cluster, plan.schedule)
    violation = None
    try:
        for name in plan.names:
            cluster.start(name)
        cluster.run_until(healed_ms)
        _settle(cluster, subject, healed_ms)
    except InvariantViolationError as error:
        violation = error
    settled_ms = cluster.now - healed_ms
    return Outcome(plan, violation, cluster.steps, cluster.now, settled_ms, counts, cluster.trace)


def make_cluster(subject: Subject, seed: int, names: tuple[str, ...], *, trace: bool) -> SimulatedCluster:
    """Make a cluster of the subject's state machines; none is started yet."""
    options = ClusterOptions(
        base_quality=subject.base_quality,
        invariants=subject.invariants(),
        describe=subject.describe if trace else None,
        action_handlers=subject.action_handlers,
    )
    return SimulatedCluster(seed, names, subject.factory, options)


def _settle(cluster: SimulatedCluster, subject: Subject, healed_ms: float) -> None:
    deadline_ms = healed_ms + subject.settle_timeout_ms
    while (unsettled := subject.find_unsettled(cluster)) is not None:
        if cluster.now >= deadline_ms:
            reason = f"{subject.settle_timeout_ms:.0f} ms after healing: {unsettled}"
            raise InvariantViolationError("settled", cluster.now, "", reason)
        cluster.run_until(min(deadline_ms, cluster.now + POLL_INTERVAL_MS))
