"""The form of a `.timeline` file: steps on the left, what must be seen after them on the right.

README.md of this package documents the form. Everything here is about text; `play` runs it.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from fnmatch import fnmatchcase
from pathlib import Path

FOR_MS = 20_000.0
SEEDS = 3

_STEP = re.compile(r"(?:at\s+(?P<at>[\d_.]+)|then(?:\s+(?P<pause>[\d_.]+))?)\s+(?P<act>\S.*)")
_HEADER = re.compile(r"(?P<key>[a-z_]+):\s*(?P<value>.*)")
_EXPECTED = re.compile(r"(?P<mark>then\s+|no\s+)?(?P<nodes>[\w ]+):\s*(?P<words>\S.*)")


class FormError(ValueError):
    """The file isn't of the form; the message names its line."""


@dataclass(frozen=True, slots=True)
class Expected:
    """One `nodes: words` of the right side; `settled` has no nodes."""

    line: int
    nodes: tuple[str, ...]
    words: tuple[str, ...]
    never: bool = False  # must not be seen until the next step
    ordered: bool = False  # only after all lines above it in its block

    def fits(self, node: str, text: str) -> bool:
        """Whether a told text starts with these words; `*` and other globs stand within a word."""
        told = text.split(" ")
        pairs = zip(told, self.words, strict=False)
        long_enough = len(told) >= len(self.words)
        return node in self.nodes and long_enough and all(fnmatchcase(word, glob) for word, glob in pairs)

    def __str__(self) -> str:
        mark = "no " if self.never else "then " if self.ordered else ""
        nodes = f"{' '.join(self.nodes)}: " if self.nodes else ""
        return f"line {self.line}: {mark}{nodes}{' '.join(self.words)}"


@dataclass(frozen=True, slots=True)
class Step:
    """An act at a time, or (`at_ms` None) `pause_ms` after all that was expected before it."""

    line: int
    at_ms: float | None
    pause_ms: float
    act: tuple[str, ...]
    expected: tuple[Expected, ...]


@dataclass(frozen=True)
class Scenario:
    """`options` are the header's lines that the form itself doesn't know: the subject's."""

    title: str
    names: tuple[str, ...]
    later: frozenset[str]  # not started at 0
    for_ms: float  # after the last step, and the limit of each `then`
    seeds: int
    never: tuple[Expected, ...]
    steps: tuple[Step, ...]
    options: dict[str, tuple[str, ...]]


def load(path: Path) -> Scenario:
    """Read a file. Raises FormError."""
    return parse(path.read_text(encoding="utf-8"))


def parse(text: str) -> Scenario:
    """Raises FormError."""
    header: dict[str, tuple[str, ...]] = {}
    never: list[Expected] = []
    steps: list[Step] = []
    for number, raw in enumerate(text.splitlines(), 1):
        line = raw.split("#")[0].rstrip()
        left, bar, right = (part.strip() for part in line.partition("|"))
        if left and (step := _STEP.fullmatch(left)):
            steps.append(_step(number, step))
        elif left and not steps and not bar and (entry := _HEADER.fullmatch(left)):
            if entry["key"] == "never":
                never.append(_expected(number, "no " + entry["value"]))
            else:
                header[entry["key"]] = tuple(entry["value"].split())
        elif left or (bar and not steps):
            raise FormError(f"line {number}: neither a header, a step nor an expectation: {raw.strip()}")
        if right:
            last = steps[-1]
            more = (*last.expected, _expected(number, right))
            steps[-1] = Step(last.line, last.at_ms, last.pause_ms, last.act, more)
    return _scenario(header, tuple(never), tuple(steps))


def _scenario(
    header: dict[str, tuple[str, ...]], never: tuple[Expected, ...], steps: tuple[Step, ...]
) -> Scenario:
    names = header.pop("nodes", ())
    if not names or not steps:
        raise FormError("a scenario needs `nodes:` and at least one step")
    scenario = Scenario(
        title=" ".join(header.pop("title", ())),
        names=names,
        later=frozenset(header.pop("later", ())),
        for_ms=float(header.pop("for", (FOR_MS,))[0]),
        seeds=int(header.pop("seeds", (SEEDS,))[0]),
        never=never,
        steps=steps,
        options=header,
    )
    for expected in [*never, *(line for step in steps for line in step.expected)]:
        if unknown := set(expected.nodes) - set(names):
            raise FormError(f"line {expected.line}: no node {' '.join(sorted(unknown))}")
    return scenario


def _step(number: int, found: re.Match[str]) -> Step:
    at = None if found["at"] is None else float(found["at"])
    return Step(number, at, float(found["pause"] or 0), tuple(found["act"].split()), ())


def _expected(number: int, text: str) -> Expected:
    if text == "settled":
        return Expected(number, (), ("settled",))
    found = _EXPECTED.fullmatch(text)
    if found is None:
        raise FormError(f"line {number}: not an expectation: {text}")
    mark = (found["mark"] or "").strip()
    words = tuple(found["words"].split())
    return Expected(number, tuple(found["nodes"].split()), words, mark == "no", mark == "then")
