"""The format of a ``.timeline`` file: steps on the left, what must be observed after them on the right.

README.md of this package documents the format.  This module only parses it; ``scenario_runner`` runs it.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, replace
from fnmatch import fnmatchcase
from pathlib import Path

# Default time for which a scenario waits for an expectation; longer than any suspicion.
DEFAULT_TIMEOUT_MS = 20_000.0

# Default number of seeds with which a scenario is run.
DEFAULT_SEEDS = 3

# The expectation without nodes: it is met if the subject has settled.
SETTLED = "settled"

_STEP = re.compile(r"(?:at\s+(?P<at>[\d_.]+)|then(?:\s+(?P<pause>[\d_.]+))?)\s+(?P<action>\S.*)")
_HEADER = re.compile(r"(?P<key>[a-z_]+):\s*(?P<value>.*)")
_EXPECTATION = re.compile(r"(?P<prefix>then\s+|no\s+)?(?P<nodes>[\w ]+):\s*(?P<words>\S.*)")


class ScenarioSyntaxError(ValueError):
    """A text that does not conform to the format; the message names the line if there is one."""

    @classmethod
    def at_line(cls, line: int, problem: str) -> ScenarioSyntaxError:
        """Return an error whose message names the line."""
        return cls(f"line {line}: {problem}")


@dataclass(frozen=True, slots=True)
class Expectation:
    """One ``nodes: words`` on the right side; ``settled`` has no nodes.

    ``forbidden``: it must not be observed until the next step.  ``ordered``: it may only be met after all
    expectations above it in the same step.
    """

    line: int
    nodes: tuple[str, ...]
    words: tuple[str, ...]
    forbidden: bool = False
    ordered: bool = False

    def matches(self, node: str, text: str) -> bool:
        """Return whether a notice's text begins with these words, which may be globs."""
        observed = text.split(" ")
        if node not in self.nodes or len(observed) < len(self.words):
            return False
        return all(fnmatchcase(word, glob) for word, glob in zip(observed, self.words, strict=False))

    def __str__(self) -> str:
        prefix = ""
        if self.forbidden:
            prefix = "no "
        elif self.ordered:
            prefix = "then "
        nodes = f"{' '.join(self.nodes)}: " if self.nodes else ""
        return f"line {self.line}: {prefix}{nodes}{' '.join(self.words)}"


@dataclass(frozen=True, slots=True)
class Step:
    """An action at ``at_ms``, or if that is None, ``pause_ms`` after all earlier expectations were met."""

    line: int
    at_ms: float | None
    pause_ms: float
    action: tuple[str, ...]
    expectations: tuple[Expectation, ...]


@dataclass(frozen=True)
class Scenario:
    """A parsed ``.timeline`` file.

    ``started_later`` are the nodes that are not started at 0; ``timeout_ms`` is how long the run continues
    after the last step, and the limit of each ``then``; ``forbidden`` must not be observed in the entire run.
    ``options`` are the header lines that are interpreted by the subject.
    """

    title: str
    names: tuple[str, ...]
    started_later: frozenset[str]
    timeout_ms: float
    seeds: int
    forbidden: tuple[Expectation, ...]
    steps: tuple[Step, ...]
    options: dict[str, tuple[str, ...]]


def load(path: Path) -> Scenario:
    """Parse a ``.timeline`` file; raises ScenarioSyntaxError."""
    return parse(path.read_text(encoding="utf-8"))


def parse(text: str) -> Scenario:
    """Parse the text of a scenario; raises ScenarioSyntaxError."""
    parser = _Parser()
    for line_number, raw in enumerate(text.splitlines(), 1):
        parser.add_line(line_number, raw)
    return parser.scenario()


class _Parser:
    """Parses a scenario line by line."""

    def __init__(self) -> None:
        self._header: dict[str, tuple[str, ...]] = {}
        self._forbidden: list[Expectation] = []
        self._steps: list[Step] = []

    def add_line(self, line_number: int, raw: str) -> None:
        """Parse one line; raises ScenarioSyntaxError."""
        line = raw.split("#")[0].rstrip()
        left, bar, right = (part.strip() for part in line.partition("|"))
        if left and (step := _STEP.fullmatch(left)):
            self._steps.append(_step(line_number, step))
        elif left and not self._steps and not bar and (entry := _HEADER.fullmatch(left)):
            self._add_header(line_number, entry["key"], entry["value"])
        elif left or (bar and not self._steps):
            problem = f"neither a header, a step nor an expectation: {raw.strip()}"
            raise ScenarioSyntaxError.at_line(line_number, problem)
        if right:
            step_before = self._steps[-1]
            expectations = (*step_before.expectations, _expectation(line_number, right))
            self._steps[-1] = replace(step_before, expectations=expectations)

    def _add_header(self, line_number: int, key: str, value: str) -> None:
        if key == "never":
            self._forbidden.append(_expectation(line_number, f"no {value}"))
        else:
            self._header[key] = tuple(value.split())

    def scenario(self) -> Scenario:
        """Return the scenario of all added lines; raises ScenarioSyntaxError if it is incomplete."""
        header = dict(self._header)
        names = header.pop("nodes", ())
        if not names or not self._steps:
            problem = "a scenario needs `nodes:` and at least one step"
            raise ScenarioSyntaxError(problem)
        self._check_nodes(names)
        return Scenario(
            title=" ".join(header.pop("title", ())),
            names=names,
            started_later=frozenset(header.pop("later", ())),
            timeout_ms=float(header.pop("for", (DEFAULT_TIMEOUT_MS,))[0]),
            seeds=int(header.pop("seeds", (DEFAULT_SEEDS,))[0]),
            forbidden=tuple(self._forbidden),
            steps=tuple(self._steps),
            options=header,
        )

    def _check_nodes(self, names: tuple[str, ...]) -> None:
        expectations = [*self._forbidden, *(line for step in self._steps for line in step.expectations)]
        for expectation in expectations:
            unknown = set(expectation.nodes) - set(names)
            if unknown:
                raise ScenarioSyntaxError.at_line(expectation.line, f"no node {' '.join(sorted(unknown))}")


def _step(line_number: int, match: re.Match[str]) -> Step:
    at_ms = None if match["at"] is None else float(match["at"])
    return Step(line_number, at_ms, float(match["pause"] or 0), tuple(match["action"].split()), ())


def _expectation(line_number: int, text: str) -> Expectation:
    if text == SETTLED:
        return Expectation(line_number, (), (SETTLED,))
    match = _EXPECTATION.fullmatch(text)
    if match is None:
        raise ScenarioSyntaxError.at_line(line_number, f"not an expectation: {text}")
    prefix = (match["prefix"] or "").strip()
    nodes = tuple(match["nodes"].split())
    words = tuple(match["words"].split())
    return Expectation(line_number, nodes, words, forbidden=prefix == "no", ordered=prefix == "then")
