"""Runs a scenario and holds what was seen against what must be seen: order and cause, not milliseconds."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from .cluster import Violation, World
from .run import Subject, make_world
from .scenario import Expected, Scenario, Step
from .scenario_actions import Acts
from .trace import Entry, Kind
from .trace_rendering import Renderer

Maker = Callable[[Scenario], Subject]
LOOK_MS = 10.0  # how often the log is read; a `then` comes so much later at most


@dataclass
class Report:
    """What came of one play; `beside` tells for entries of the log which line they met or broke."""

    scenario: Scenario
    seed: int
    log: list[Entry]
    beside: dict[int, str] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)

    def text(self) -> str:
        """The faults, then the timeline that happened with the expected lines beside it."""
        renderer = Renderer(self.scenario.names)
        width = 14 + renderer.width * len(self.scenario.names)
        rows = [f"{self.scenario.title} (seed {self.seed})", *self.faults]
        rows.append(f"{renderer.head():<{width}}expected")
        for index, entry in enumerate(self.log):
            first, *more = renderer.draw(entry)
            rows += [f"{first:<{width}}{self.beside.get(index, '')}".rstrip(), *more]
        rows += [f"{'':<{width}}{fault}" for fault in self.faults]
        return "\n".join(rows)


class _Block:
    """The expectations of one step, met one by one."""

    def __init__(self, step: Step) -> None:
        self.never = [line for line in step.expected if line.never]
        self.settled = [line for line in step.expected if not line.nodes]
        self._lines = [line for line in step.expected if not line.never and line.nodes]
        self._open = [(line, node) for line in self._lines for node in line.nodes]

    def meet(self, node: str, text: str) -> Expected | None:
        """The line that this entry meets, if one: a `then` only when all lines above it are met."""
        for index, (line, wanted) in enumerate(self._open):
            early = line.ordered and any(other.line < line.line for other, _ in self._open[:index])
            if wanted == node and not early and line.fits(node, text):
                del self._open[index]
                return line
        return None

    def missing(self, world: World, subject: Subject) -> list[str]:
        open_lines = [f"MISSING {line} (at {node})" for line, node in self._open]
        wrong = subject.settled(world) if self.settled else None
        return open_lines + ([f"MISSING {self.settled[0]} ({wrong})"] if wrong else [])


class _Play:
    def __init__(self, scenario: Scenario, subject: Subject, seed: int) -> None:
        self.scenario, self.subject = scenario, subject
        self.world = make_world(subject, seed, scenario.names, trace=True)
        self.report = Report(scenario, seed, self.world.log)
        self.block: _Block | None = None
        self._read = 0

    def all(self) -> None:
        acts = Acts(self.world)
        self._guarded(self._start)
        for step in self.scenario.steps:
            self._wait_for(step)
            if self.report.faults:
                return
            self.block = _Block(step)
            self.world.note(Kind.FAULT, f"line {step.line}: {' '.join(step.act)}")
            self._guarded(partial(acts.do, step.line, step.act))
        self._run_to(self.world.now + self.scenario.for_ms)
        self._judge()

    def _start(self) -> None:
        for name in self.scenario.names:
            if name not in self.scenario.later:
                self.world.start(name)

    def _guarded(self, act: Callable[[], None]) -> None:
        try:
            act()
        except Violation as error:
            self.report.faults.append(f"VIOLATION {error}")

    def _wait_for(self, step: Step) -> None:
        if step.at_ms is not None:
            self._run_to(step.at_ms)
        else:
            limit = self.world.now + self.scenario.for_ms
            while self._missing() and self.world.now < limit and not self.report.faults:
                self._run_to(self.world.now + LOOK_MS)
            self._run_to(self.world.now + step.pause_ms)
        self._judge()

    def _run_to(self, until: float) -> None:
        self._guarded(partial(self.world.run_until, until))
        for index in range(self._read, len(self.world.log)):
            entry = self.world.log[index]
            if entry.kind is Kind.TOLD:
                self._see(index, entry)
        self._read = len(self.world.log)

    def _see(self, index: int, entry: Entry) -> None:
        for line in (*self.scenario.never, *(self.block.never if self.block else ())):
            if line.fits(entry.node, entry.text):
                self.report.beside[index] = f"BREAKS {line}"
                self.report.faults.append(f"BROKEN {line} (at {entry.at:.1f} ms)")
        line = self.block.meet(entry.node, entry.text) if self.block else None
        if line is not None:
            self.report.beside[index] = f"ok {line}"

    def _missing(self) -> list[str]:
        return self.block.missing(self.world, self.subject) if self.block else []

    def _judge(self) -> None:
        self.report.faults += self._missing()


def play(scenario: Scenario, maker: Maker, seed: int) -> Report:
    """Play a scenario once; it holds when the report has no faults. Raises FormError for an unknown act."""
    played = _Play(scenario, maker(scenario), seed)
    played.all()
    return played.report
