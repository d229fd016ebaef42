"""A scenario as text: what is done on the left, what must be seen after it on the right.

    about: a crash is found by the two others
    nodes: a b c
    voters: a b c               (all nodes, where left out)
    foreign: z                  (those with a secret of their own)
    timings: probe_every_ms=100 (over the rig's own)
    within: 15000               (ms, the bound of each line)

    start a b c   | all: alive
    kill c        | a b: c failed; a b: majority 1

Done (times in ms, shares in percent; ``A>B`` is one direction, ``A B`` between two, ``A B / C`` between two
sides, nothing all links):

    start N.. | kill N.. | stop N.. | cont N.. | term N.. | restart N.. | restart-bare N.. (its data lost)
    cut LINKS | heal LINKS | loss P LINKS | delay MS LINKS | duplicate P LINKS | reorder P LINKS
    flap MS A>B (cut and heal by turns, until `steady`) | steady
    replay A>B (what was sent there last, once more) | traffic N (wait until so many datagrams passed)

Seen, by each router on the left of the colon (``all``: those that run):

    N alive | N suspect | N failed | N left     its last word of N
    N anew          N is alive with a higher incarnation than before the line
    alive           it calls all routers alive that run, are not foreign, and are not itself
    majority 0|1    mode M
    refused WHY     it refused a datagram for that reason, at least once since it started
    exit CODE       its process ended so
    never N failed | never failed    it called N, or any, failed at no time of its life
    door TEXT       TEXT stands in the reply of its operators' door to `fleet`
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

DEFAULT_WITHIN_MS = 15_000.0
LIVES = frozenset({"start", "kill", "stop", "cont", "term", "restart", "restart-bare"})
LINKS = frozenset({"cut", "heal", "loss", "delay", "duplicate", "reorder", "flap", "steady", "replay"})
DONE = LIVES | LINKS | {"traffic"}
STATES = "alive", "suspect", "failed", "left", "anew"


class ScenarioError(Exception):
    """The first line that can't be read, and why."""


@dataclass(frozen=True, slots=True)
class Wanted:
    """What one or more routers must have said."""

    routers: tuple[str, ...]
    words: tuple[str, ...]

    def __str__(self) -> str:
        return f"{' '.join(self.routers)}: {' '.join(self.words)}"


@dataclass(frozen=True, slots=True)
class Line:
    """One step, empty where there is only something to see, and what must be seen after it."""

    step: tuple[str, ...]
    wanted: tuple[Wanted, ...]


@dataclass(frozen=True, slots=True)
class Scenario:
    """A whole file."""

    about: str
    nodes: tuple[str, ...]
    voters: tuple[str, ...]
    foreign: tuple[str, ...]
    lines: tuple[Line, ...]
    within_ms: float = DEFAULT_WITHIN_MS
    timings: Mapping[str, float] = field(default_factory=dict)


def read_scenario(text: str) -> Scenario:
    """A scenario from its file's text; ScenarioError names the line."""
    head: dict[str, str] = {}
    lines: list[Line] = []
    for number, raw in enumerate(text.splitlines(), 1):
        told = raw.partition("#")[0].strip()
        try:
            if not told:
                continue
            if "|" in told:
                lines.append(_line(told))
            else:
                key, value = told.split(":", 1)
                head[key.strip()] = value.strip()
        except ValueError as error:
            raise ScenarioError(f"line {number}: {error}: {raw.strip()}") from error
    try:
        return _scenario(head, tuple(lines))
    except (KeyError, ValueError) as error:
        raise ScenarioError(f"head: {error}") from error


def _scenario(head: dict[str, str], lines: tuple[Line, ...]) -> Scenario:
    nodes = tuple(head["nodes"].split())
    foreign = tuple(head.get("foreign", "").split())
    voters = tuple(head.get("voters", "").split()) or tuple(name for name in nodes if name not in foreign)
    timings = dict(_timing(word) for word in head.get("timings", "").split())
    unknown = (set(voters) | set(foreign)) - set(nodes)
    if unknown or not lines:
        raise ValueError(f"no lines, or unknown routers {sorted(unknown)}")
    within_ms = float(head.get("within", DEFAULT_WITHIN_MS))
    return Scenario(head["about"], nodes, voters, foreign, lines, within_ms, timings)


def _timing(word: str) -> tuple[str, float]:
    name, value = word.split("=")
    return name, float(value)


def _line(told: str) -> Line:
    left, right = told.split("|", 1)
    step = tuple(left.split())
    if step and step[0] not in DONE:
        raise ValueError("no such step")
    return Line(step, tuple(_wanted(part) for part in right.split(";") if part.strip()))


def _wanted(part: str) -> Wanted:
    who, what = part.split(":", 1)
    words = tuple(what.split())
    match words:
        case ("alive",) | ("never", "failed") | ("never", _, "failed") | ("door", *_):
            pass
        case ("majority" | "mode" | "refused" | "exit", _):
            pass
        case (_, state) if state in STATES:
            pass
        case _:
            raise ValueError("nothing that can be seen")
    if not who.split():
        raise ValueError("seen by nobody")
    return Wanted(tuple(who.split()), words)
