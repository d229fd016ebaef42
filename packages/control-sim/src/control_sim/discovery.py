"""Discovery by the plain protocol: the one source of truth, which issues changes and purges for a while."""

from __future__ import annotations

import json
from typing import Any

from fleet_sim import Disk
from sansio_core import RandomSource, SetTimer, Started, TimerFired

from control_sim.lines import Asked, HungUp, Reply

SHELFS = ("s1", "s2", "s3", "s4")
CLOCK = "clock"  # a shelf whose line changes with every version, so that a list tells which one it is
OBJECTS = tuple(f"{n:016x}" for n in range(6))
FIRST = 1_000_000  # number, less a thousand a life
ISSUES = 16  # events, until it is still
KEPT = 12  # purges that a new start tells again
ISSUE = 0  # timer; those of polls are greater


class Discovery:
    """Numbers anew at each start, below all that went before: numbers that go on in another life can't be
    told from those that do in the same one, by the protocol.  With its disk it goes on with its list;
    without, it is set back."""

    def __init__(self, incarnation: int, draw: RandomSource, disk: Disk) -> None:
        self.draw, self.disk, self.life = draw, disk, incarnation
        disk.setdefault("seq", 3)
        disk.setdefault("version", incarnation << 20)
        disk.setdefault("lines", {name: self._line(name, "active") for name in (*SHELFS, CLOCK)})
        disk.setdefault("purges", [])
        disk.setdefault("issued", 0)
        self.lines: dict[str, dict[str, Any]] = disk["lines"]
        self.purges: list[tuple[str | int, float]] = []  # of this life, as they were issued
        self.first = FIRST - 1_000 * incarnation
        self.events: list[str] = []
        self._waiting: dict[int, tuple[str, int, int]] = {}  # by token: who, connection, resume
        self._token = 0
        self._started = 0.0

    @property
    def last(self) -> int:
        """The number of the last event."""
        return self.first + len(self.events) - 1

    @property
    def version(self) -> int:
        return int(self.disk["version"])

    def handle(self, now: float, event: object) -> list[Any]:
        match event:
            case Started():
                self._started = now
                self._tell_list(True, list(self.lines.values()))
                for what, when in self.disk["purges"]:
                    self._tell_purge(what, when)
                return [SetTimer(self._wait(), ISSUE)]
            case TimerFired(token=token):
                return self._issue(now) if token == ISSUE else self._expired(token)
            case Asked():
                return self._asked(event)
            case HungUp():
                self._waiting = {t: w for t, w in self._waiting.items() if w[1] != event.connection}
        return []

    def _wait(self) -> float:
        return 50.0 + 700.0 * self.draw() ** 2

    def _issue(self, now: float) -> list[Any]:
        if self.disk["issued"] >= ISSUES:
            return []
        self.disk["issued"] += 1
        if self.draw() < 0.4:
            self._change()
        else:
            self._purge(now)
        return [*self._answer_all(), SetTimer(self._wait(), ISSUE)]

    def _change(self) -> None:
        name = SHELFS[int(self.draw() * len(SHELFS))]
        self.disk["version"] += 1
        self.disk["seq"] += 1
        line = self._line(name, ("active", "leaving", "left")[int(self.draw() * 3)])
        clock = self._line(CLOCK, "active")
        for changed in (line, clock):
            if changed["health"] == "left":
                self.lines.pop(name, None)
            else:
                self.lines[changed["host"]] = changed
        self._tell_list(False, [line, clock])

    def _purge(self, now: float) -> None:
        what: str | int = OBJECTS[int(self.draw() * 6)] if self.draw() < 0.8 else int(self.draw() * 2)
        when = self.life * 1e7 + now - self._started
        if self.draw() < 0.1:
            when -= 400.0  # told late
        self.purges.append((what, when))
        self.disk["purges"] = [*self.disk["purges"], (what, when)][-KEPT:]
        self._tell_purge(what, when)

    def _line(self, name: str, health: str) -> dict[str, Any]:
        return {"host": name, "health": health, "version": self.disk["version"], "dial": "10.0.0.1:1"}

    def _tell_list(self, whole: bool, lines: list[dict[str, Any]]) -> None:
        self._tell({"nodes": {"seq": self.disk["seq"], "whole": whole, "hosts": lines}})

    def _tell_purge(self, what: str | int, when: float) -> None:
        self._tell({"drop": {"id" if isinstance(what, str) else "family": what, "when": when}})

    def _tell(self, event: dict[str, Any]) -> None:
        self.events.append(json.dumps({"cursor": self.last + 1, **event}))

    def _asked(self, event: Asked) -> list[Any]:
        poll = event.poll
        if poll.resume < self.last or poll.block_ms < 1:
            return [self._reply(event.source, event.connection, poll.resume)]
        self._token += 1
        self._waiting[self._token] = event.source, event.connection, poll.resume
        return [SetTimer(poll.block_ms, self._token)]

    def _answer_all(self) -> list[Any]:
        waiting, self._waiting = self._waiting, {}
        return [self._reply(*poll) for poll in waiting.values()]

    def _expired(self, token: int) -> list[Any]:
        poll = self._waiting.pop(token, None)
        return [] if poll is None else [self._reply(*poll)]

    def _reply(self, source: str, connection: int, resume: int) -> Reply:
        told = ",".join(self.events[max(0, resume + 1 - self.first) :])
        return Reply(source, connection, b'{"cursor":%d,"cmds":[%s]}' % (self.last, told.encode()))
