"""Runs a scenario and compares observations with expectations, by step and order rather than by time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from .cluster import SimulatedCluster
from .run import Subject, make_cluster
from .scenario import Expectation, Scenario, Step
from .scenario_actions import ScenarioActions
from .trace import EntryKind, TraceEntry
from .trace_rendering import TIME_WIDTH, TraceRenderer
from .violations import InvariantViolationError

# Makes the subject of a scenario; it may depend on the options in the scenario's header.
SubjectFactory = Callable[[Scenario], Subject]

# Simulated time between readings of the trace; a ``then`` step may start late by this time.
POLL_INTERVAL_MS = 10.0

# Characters between the timeline and the expectations beside it, including those after the time column.
COLUMN_GAP = 4


@dataclass
class ScenarioReport:
    """The result of running a scenario with one seed.

    ``annotations`` states, by index of a trace entry, which expectation the entry met or violated.
    """

    scenario: Scenario
    seed: int
    trace: list[TraceEntry]
    annotations: dict[int, str] = field(default_factory=dict)
    failures: list[str] = field(default_factory=list)

    def text(self) -> str:
        """Return the failures, then the timeline with the expectations beside it."""
        renderer = TraceRenderer(self.scenario.names)
        width = TIME_WIDTH + COLUMN_GAP + renderer.column_width * len(self.scenario.names)
        rows = [f"{self.scenario.title} (seed {self.seed})", *self.failures]
        rows.append(f"{renderer.header():<{width}}expected")
        for index, entry in enumerate(self.trace):
            first_row, *further_rows = renderer.draw(entry)
            rows.append(f"{first_row:<{width}}{self.annotations.get(index, '')}".rstrip())
            rows += further_rows
        rows += [f"{'':<{width}}{failure}" for failure in self.failures]
        return "\n".join(rows)


@dataclass(frozen=True, slots=True)
class _Pending:
    """An expectation that is not met yet, for one of its nodes."""

    expectation: Expectation
    node: str


class _StepExpectations:
    """The expectations of one step; each notice meets at most one of them."""

    def __init__(self, step: Step) -> None:
        self.forbidden = [line for line in step.expectations if line.forbidden]
        self._settled = [line for line in step.expectations if not line.nodes]
        expected = [line for line in step.expectations if not line.forbidden and line.nodes]
        self._pending = [_Pending(line, node) for line in expected for node in line.nodes]

    def meet(self, node: str, text: str) -> Expectation | None:
        """Return the expectation that a notice meets and remove it, or return None."""
        for index, pending in enumerate(self._pending):
            if pending.node == node and pending.expectation.matches(node, text) and self._may_meet(index):
                del self._pending[index]
                return pending.expectation
        return None

    def _may_meet(self, index: int) -> bool:
        """Return whether an expectation may be met now: an ordered one only after all lines above it."""
        expectation = self._pending[index].expectation
        lines_before = [pending.expectation.line for pending in self._pending[:index]]
        return not expectation.ordered or all(line >= expectation.line for line in lines_before)

    def missing(self, cluster: SimulatedCluster, subject: Subject) -> list[str]:
        """Return a failure text for each expectation that is not met."""
        failures = [f"MISSING {pending.expectation} (at {pending.node})" for pending in self._pending]
        unsettled = subject.find_unsettled(cluster) if self._settled else None
        if unsettled:
            failures.append(f"MISSING {self._settled[0]} ({unsettled})")
        return failures


class _ScenarioRunner:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario, subject: Subject, seed: int) -> None:
        self._scenario = scenario
        self._subject = subject
        self._cluster = make_cluster(subject, seed, scenario.names, trace=True)
        self._actions = ScenarioActions(self._cluster)
        self._current: _StepExpectations | None = None
        self._entries_read = 0
        self.report = ScenarioReport(scenario, seed, self._cluster.trace)

    def run(self) -> None:
        """Run the steps until the first failure."""
        self._catch_violation(self._start_nodes)
        for step in self._scenario.steps:
            self._wait_for(step)
            if self.report.failures:
                return
            self._current = _StepExpectations(step)
            self._cluster.record(EntryKind.FAULT, f"line {step.line}: {' '.join(step.action)}")
            self._catch_violation(partial(self._actions.perform, step.line, step.action))
        self._run_until(self._cluster.now + self._scenario.timeout_ms)
        self._report_missing()

    def _start_nodes(self) -> None:
        for name in self._scenario.names:
            if name not in self._scenario.started_later:
                self._cluster.start(name)

    def _catch_violation(self, run: Callable[[], None]) -> None:
        try:
            run()
        except InvariantViolationError as error:
            self.report.failures.append(f"VIOLATION {error}")

    def _wait_for(self, step: Step) -> None:
        if step.at_ms is not None:
            self._run_until(step.at_ms)
        else:
            deadline_ms = self._cluster.now + self._scenario.timeout_ms
            while self._missing() and self._cluster.now < deadline_ms and not self.report.failures:
                self._run_until(self._cluster.now + POLL_INTERVAL_MS)
            self._run_until(self._cluster.now + step.pause_ms)
        self._report_missing()

    def _run_until(self, until_ms: float) -> None:
        self._catch_violation(partial(self._cluster.run_until, until_ms))
        trace = self._cluster.trace
        for index in range(self._entries_read, len(trace)):
            if trace[index].kind is EntryKind.NOTICE:
                self._observe(index, trace[index])
        self._entries_read = len(trace)

    def _observe(self, index: int, entry: TraceEntry) -> None:
        current_forbidden = self._current.forbidden if self._current else []
        for forbidden in (*self._scenario.forbidden, *current_forbidden):
            if forbidden.matches(entry.node, entry.text):
                self.report.annotations[index] = f"BREAKS {forbidden}"
                self.report.failures.append(f"BROKEN {forbidden} (at {entry.at_ms:.1f} ms)")
        met = self._current.meet(entry.node, entry.text) if self._current else None
        if met is not None:
            self.report.annotations[index] = f"ok {met}"

    def _missing(self) -> list[str]:
        if self._current is None:
            return []
        return self._current.missing(self._cluster, self._subject)

    def _report_missing(self) -> None:
        self.report.failures += self._missing()


def run_scenario(scenario: Scenario, make_subject: SubjectFactory, seed: int) -> ScenarioReport:
    """Run a scenario with one seed; it passed if the report has no failures.

    Raises ScenarioSyntaxError for an unknown action.
    """
    runner = _ScenarioRunner(scenario, make_subject(scenario), seed)
    runner.run()
    return runner.report
