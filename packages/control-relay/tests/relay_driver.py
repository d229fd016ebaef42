"""A relay with a clock, for tests: timers fire when time goes on."""

from __future__ import annotations

import heapq
import json
from collections.abc import Mapping
from typing import Any

from control_relay import (
    Answer,
    Confirmed,
    ListTold,
    Polled,
    PurgeTold,
    Refuse,
    Relay,
    RelayAction,
    RelayEvent,
    RelaySettings,
)
from sansio_core import Notice, SetTimer, Started, TimerFired

BASE = 1_764_600_000 << 20


def host(name: str, **more: Any) -> dict[str, Any]:
    return {"host": name, "health": "active", **more}


class Driver:
    def __init__(self, epoch: str = "r1", base: int = BASE, **settings: Any) -> None:
        self.relay, self.now, self.epoch = Relay(RelaySettings(**settings), epoch, base), 0.0, epoch
        self.answers: dict[int, bytes] = {}
        self.refused: dict[int, str] = {}
        self.told: list[Notice] = []
        self._timers: list[tuple[float, int]] = []
        self._upstream = 0
        self.do(Started())

    def do(self, event: RelayEvent) -> list[RelayAction]:
        actions = self.relay.handle(self.now, event)
        for action in actions:
            match action:
                case Answer(poller, body):
                    self.answers[poller] = body
                case Refuse(poller, why):
                    self.refused[poller] = why
                case SetTimer(in_ms, token):
                    heapq.heappush(self._timers, (self.now + in_ms, token))
                case Notice():
                    self.told.append(action)
        return actions

    def wait(self, ms: float) -> None:
        until = self.now + ms
        while self._timers and self._timers[0][0] <= until:
            self.now, token = heapq.heappop(self._timers)
            self.do(TimerFired(token))
        self.now = until

    # -- upstream

    def number(self) -> int:
        self._upstream += 1
        return self._upstream

    def list(self, *hosts: Mapping[str, Any], seq: int | None = 1, whole: bool = True) -> None:
        self.do(ListTold(self.number(), seq, whole, hosts))

    def purge(self, key: str, when: float = 1e12, age: float = 0.0) -> None:
        self.do(PurgeTold(self.number(), key, -1, when, age))

    def group(self, family: int, when: float = 1e12) -> None:
        self.do(PurgeTold(self.number(), None, family, when))

    def confirm(self, age: float = 0.0) -> None:
        self.do(Confirmed(age, self._upstream))

    def ready(self, *hosts: Mapping[str, Any]) -> Driver:
        self.list(*(hosts or (host("a"), host("b"))))
        self.confirm()
        return self

    # -- routers

    def poll(self, poller: int, resume: int, name: str = "", **more: Any) -> dict[str, Any] | None:
        """The answer if it came at once."""
        self.answers.pop(poller, None)
        poll = {"epoch": self.epoch, "block_ms": 1_000.0, **more}
        self.do(Polled(poller, resume, name=name, **poll))
        return self.answer(poller)

    def answer(self, poller: int) -> dict[str, Any] | None:
        body = self.answers.get(poller)
        return json.loads(body) if body is not None else None

    def follow(self, poller: int, resume: int = 0, name: str = "") -> int:
        """Poll until there is nothing more; returns the last event's number."""
        for _ in range(1_000):
            told = self.poll(poller, resume, name)
            if told is None:
                return resume
            resume = last(told, resume)
        raise AssertionError("the same is told again and again")


def numbers(told: dict[str, Any] | None) -> list[int]:
    assert told is not None
    return [command["cursor"] for command in told["cmds"]]


def last(told: dict[str, Any] | None, otherwise: int = 0) -> int:
    return max(numbers(told), default=otherwise)
