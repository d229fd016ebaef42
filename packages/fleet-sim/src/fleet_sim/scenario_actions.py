"""The acts of a scenario's steps: faults that last until they are healed, and ends of faults."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import fields

from .cluster import World
from .faults import Cut, Fault, Flap, Garbage, Kill, Lag, Leave, Noise, Partition, Pause, Replay, WallStep
from .network import Link, Quality
from .scenario import FormError

Words = tuple[str, ...]


class Acts:
    """Carries out steps in a world; remembers what works, so that `heal` can end it."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._working: dict[str, Fault] = {}
        self._count = 0

    def do(self, line: int, words: Words) -> None:
        """Raises FormError for words that are no act."""
        verb, rest = words[0], words[1:]
        try:
            if verb in _FAULTS:
                for fault in _FAULTS[verb](rest):
                    self._begin(fault)
            else:
                self._end(verb, rest)
        except (IndexError, KeyError, ValueError) as error:
            raise FormError(f"line {line}: not an act: {' '.join(words)}") from error

    def _begin(self, fault: Fault) -> None:
        self._count += 1
        cause = f"act {self._count}"
        self._world.storm(cause, True)
        fault.begin(self._world, cause)
        if isinstance(fault, (WallStep, Replay, Garbage)):
            self._world.storm(cause, False)
        else:
            self._working[cause] = fault

    def _end(self, verb: str, rest: Words) -> None:
        if verb == "heal":
            self._heal(_arrow(rest) if rest else [])
        elif verb == "ontime":
            self._finish(lambda fault: isinstance(fault, Lag) and fault.node in rest)
        elif verb in ("start", "restart"):
            self._finish(lambda fault: isinstance(fault, (Kill, Leave)) and fault.node in rest)
            for name in rest:
                self._world.start(name)
        elif verb == "continue":
            self._finish(lambda fault: isinstance(fault, Pause) and fault.node in rest)
        elif verb != "wait":
            raise KeyError(verb)

    def _heal(self, links: list[Link]) -> None:
        if links:
            self._finish(lambda fault: isinstance(fault, Flap) and (fault.source, fault.target) in links)
            self._world.mend_links(links)
        else:
            self._finish(lambda fault: isinstance(fault, (Cut, Partition, Flap, Noise)))

    def _finish(self, which: Callable[[Fault], bool]) -> None:
        for cause, fault in list(self._working.items()):
            if which(fault):
                del self._working[cause]
                self._world.storm(cause, False)
                fault.end(self._world, cause)


def _arrow(words: Words) -> list[Link]:
    source, arrow, target = words
    if arrow not in ("->", "<->"):
        raise ValueError(arrow)
    return [(source, target), (target, source)] if arrow == "<->" else [(source, target)]


def _cut(words: Words) -> list[Fault]:
    return [Cut(0, 0, *link) for link in _arrow(words)]


def _split(words: Words) -> list[Fault]:
    groups = tuple(tuple(group.split()) for group in " ".join(words).split("/"))
    return [Partition(0, 0, groups)]


def _flap(words: Words) -> list[Fault]:
    (*link, every, ms) = words
    links = _arrow(tuple(link))
    if every != "every":
        raise ValueError(every)
    return [Flap(0, 0, *links[0], float(ms), len(links) == 2)]


def _noise(words: Words) -> list[Fault]:
    pairs = dict(zip(words[::2], words[1::2], strict=True))
    node = pairs.pop("node", "")
    unknown = pairs.keys() - {quality.name for quality in fields(Quality)}
    if unknown:
        raise ValueError(unknown)
    return [Noise(0, 0, Quality(**{key: float(value) for key, value in pairs.items()}), node)]


def _kill(words: Words) -> list[Fault]:
    keeps = words[-2:] != ("without", "disk")
    return [Kill(0, 0, name, keeps) for name in (words if keeps else words[:-2])]


_FAULTS: dict[str, Callable[[Words], list[Fault]]] = {
    "cut": _cut,
    "split": _split,
    "flap": _flap,
    "noise": _noise,
    "kill": _kill,
    "leave": lambda words: [Leave(0, 0, name) for name in words],
    "pause": lambda words: [Pause(0, 0, name) for name in words],
    "late": lambda words: [Lag(0, 0, words[0], float(words[1]))],
    "step": lambda words: [WallStep(0, 0, words[0], float(words[1]))],
    "replay": lambda words: [Replay(0, 0, *_arrow(words[:3])[0], int(words[3]))],
    "garbage": lambda words: [Garbage(0, 0, words[0], int(words[1]))],
}
