"""The actions of a scenario's steps, which begin faults or end faults that are in effect."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from .cluster import SimulatedCluster
from .faults import (
    Cut,
    Fault,
    Flap,
    Garbage,
    Kill,
    Lag,
    Leave,
    Noise,
    Partition,
    Pause,
    Replay,
    WallClockStep,
)
from .network import Link, LinkQuality
from .scenario import ScenarioSyntaxError

# The words of an action, with or without its verb.
Words = tuple[str, ...]

# The field of ``LinkQuality`` for each key of the action ``noise``; the keys are part of the file format.
QUALITY_KEYS: Mapping[str, str] = {
    "loss": "loss",
    "least_ms": "min_delay_ms",
    "most_ms": "max_delay_ms",
    "doubled": "duplicated",
    "reordered": "reordered",
    "held_ms": "reorder_delay_ms",
}

# Types of faults without a duration, which no later action can end.
MOMENTARY_FAULTS = (WallClockStep, Replay, Garbage)


class ScenarioActions:
    """Carries out actions on a cluster; keeps the faults in effect so that later actions can end them."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self._cluster = cluster
        self._active: dict[str, Fault] = {}
        self._count = 0

    def perform(self, line: int, words: Words) -> None:
        """Carry out the action of a line; raises ScenarioSyntaxError if it is unknown or malformed."""
        verb, *rest = words
        arguments = tuple(rest)
        try:
            if verb in _FAULT_PARSERS:
                for fault in _FAULT_PARSERS[verb](arguments):
                    self._begin(fault)
            else:
                self._end_faults(verb, arguments)
        except (IndexError, KeyError, ValueError) as error:
            raise ScenarioSyntaxError.at_line(line, f"not an action: {' '.join(words)}") from error

    def _begin(self, fault: Fault) -> None:
        self._count += 1
        cause = f"act {self._count}"  # it seeds the garbage: another text would change the run
        self._cluster.active_faults.add(cause)
        fault.begin(self._cluster, cause)
        if isinstance(fault, MOMENTARY_FAULTS):
            self._cluster.active_faults.discard(cause)
        else:
            self._active[cause] = fault

    def _end_faults(self, verb: str, arguments: Words) -> None:
        match verb:
            case "heal":
                self._heal(parse_arrow(arguments) if arguments else [])
            case "ontime":
                self._end_where(lambda fault: isinstance(fault, Lag) and fault.node in arguments)
            case "start" | "restart":
                self._end_where(lambda fault: isinstance(fault, (Kill, Leave)) and fault.node in arguments)
                for name in arguments:
                    self._cluster.start(name)
            case "continue":
                self._end_where(lambda fault: isinstance(fault, Pause) and fault.node in arguments)
            case "wait":
                pass
            case _:
                raise KeyError(verb)

    def _heal(self, links: list[Link]) -> None:
        if links:
            self._end_where(lambda fault: isinstance(fault, Flap) and (fault.source, fault.target) in links)
            self._cluster.heal_links(links)
        else:
            self._end_where(lambda fault: isinstance(fault, (Cut, Partition, Flap, Noise)))

    def _end_where(self, condition: Callable[[Fault], bool]) -> None:
        for cause, fault in list(self._active.items()):
            if condition(fault):
                del self._active[cause]
                self._cluster.active_faults.discard(cause)
                fault.end(self._cluster, cause)


def parse_arrow(words: Sequence[str]) -> list[Link]:
    """Return the links of ``a -> b`` or ``a <-> b``; raises ValueError."""
    source, arrow, target = words
    match arrow:
        case "->":
            return [(source, target)]
        case "<->":
            return [(source, target), (target, source)]
        case _:
            raise ValueError(arrow)


def parse_quality(words: Sequence[str]) -> dict[str, float]:
    """Return fields of ``LinkQuality`` from pairs of key and value; raises KeyError or ValueError."""
    pairs = zip(words[::2], words[1::2], strict=True)
    return {QUALITY_KEYS[key]: float(value) for key, value in pairs}


def _parse_cut(words: Words) -> list[Fault]:
    return [Cut(0, 0, source, target) for source, target in parse_arrow(words)]


def _parse_split(words: Words) -> list[Fault]:
    groups = tuple(tuple(group.split()) for group in " ".join(words).split("/"))
    return [Partition(0, 0, groups)]


def _parse_flap(words: Words) -> list[Fault]:
    *arrow, every, interval_ms = words
    links = parse_arrow(arrow)
    if every != "every":
        raise ValueError(every)
    source, target = links[0]
    return [Flap(0, 0, source, target, float(interval_ms), both_ways=len(links) == 2)]


def _parse_noise(words: Words) -> list[Fault]:
    node = ""
    if "node" in words[::2]:
        index = words.index("node")
        node = words[index + 1]
        words = words[:index] + words[index + 2 :]
    return [Noise(0, 0, LinkQuality(**parse_quality(words)), node)]


def _parse_kill(words: Words) -> list[Fault]:
    keep_disk = words[-2:] != ("without", "disk")
    names = words if keep_disk else words[:-2]
    return [Kill(0, 0, name, keep_disk) for name in names]


def _parse_leave(words: Words) -> list[Fault]:
    return [Leave(0, 0, name) for name in words]


def _parse_pause(words: Words) -> list[Fault]:
    return [Pause(0, 0, name) for name in words]


def _parse_lag(words: Words) -> list[Fault]:
    return [Lag(0, 0, words[0], float(words[1]))]


def _parse_wall_clock_step(words: Words) -> list[Fault]:
    return [WallClockStep(0, 0, words[0], float(words[1]))]


def _parse_replay(words: Words) -> list[Fault]:
    source, target = parse_arrow(words[:3])[0]
    return [Replay(0, 0, source, target, int(words[3]))]


def _parse_garbage(words: Words) -> list[Fault]:
    return [Garbage(0, 0, words[0], int(words[1]))]


_FAULT_PARSERS: dict[str, Callable[[Words], list[Fault]]] = {
    "cut": _parse_cut,
    "split": _parse_split,
    "flap": _parse_flap,
    "noise": _parse_noise,
    "kill": _parse_kill,
    "leave": _parse_leave,
    "pause": _parse_pause,
    "late": _parse_lag,
    "step": _parse_wall_clock_step,
    "replay": _parse_replay,
    "garbage": _parse_garbage,
}
