"""The polling side of a router or relay: the real ``Sources`` and ``Follower``, and the state that comes of
them."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any

from control_client import (
    Answer,
    Answered,
    Ask,
    Event,
    Failed,
    Follower,
    Leave,
    ListEvent,
    Polled,
    Probe,
    PurgeEvent,
    Sources,
    SourceTimes,
    Standing,
)
from sansio_core import Address, RandomSource, SetTimer, Started, TimerFired

from control_sim.lines import Broken, Hangup, Poll, Replied, Request

BLOCK_MS, PAUSE_MS = 800.0, 50.0
TIMES = SourceTimes(look_ms=1000.0, good_ms=1500.0, spread_ms=1000.0, most_look_ms=4000.0)
Take = Callable[[float, Sequence[Event], bool], list[Any]]  # what an answer brought, and whether it told all


def read(body: bytes, times: float = 1.0) -> Answer:
    """The first part of an answer's events, as far as it has come."""
    told = json.loads(body)
    events = [_event(command) for command in told["cmds"]]
    return Answer(
        told.get("epoch", ""),
        float(told.get("age", 0.0)),
        told["cursor"],
        tuple(events[: int(len(events) * times)]),
    )


def _event(command: dict[str, Any]) -> Event:
    number = command["cursor"]
    if "drop" in command:
        drop = command["drop"]
        return PurgeEvent(number, drop.get("id", drop.get("family")), drop["when"])
    nodes = command["nodes"]
    lines = {line["host"]: None if line["health"] == "left" else line for line in nodes["hosts"]}
    return ListEvent(number, nodes["seq"], nodes["whole"], lines, nodes["hosts"])


class Client:
    """``poll`` gives what is said of oneself; ``take`` is handed what may be taken.  All timers are odd; the
    first is the pause before a poll."""

    def __init__(
        self,
        upstreams: tuple[str, ...],
        siblings: tuple[str, ...],
        draw: RandomSource,
        first_connection: int,
        hold_ms: float,
        poll: Callable[[float, bool], Poll],
        take: Take,
    ) -> None:
        self.siblings = siblings
        addresses: list[Address] = [(name, 0) for name in upstreams]
        self.sources = Sources(addresses, draw, [(name, 0) for name in siblings], TIMES)
        self.follower = Follower(hold_ms)
        self.standing: Standing | None = None
        self.epochs: dict[str, int] = {}  # numbers taken with their list, by epoch
        self._draw, self._poll, self._take = draw, poll, take
        self._source: Address | None = None
        self._connection, self._last_connection = 0, first_connection
        self._probes: dict[int, Address] = {}
        self._asked = False  # a poll is out

    @property
    def source(self) -> str:
        return self._source[0] if self._source is not None else ""

    def handle(self, now: float, event: object) -> list[Any]:
        match event:
            case Started():
                return self._carry(now, self.sources.handle(now, event))
            case TimerFired(token=1):
                return self._ask(now) if self._connection and not self._asked else []
            case TimerFired(token=token):
                return self._carry(now, self.sources.handle(now, TimerFired(token // 2)))
            case Replied() if event.connection in self._probes:
                return self._probed(now, event)
            case Replied() if event.connection == self._connection:
                return self._replied(now, event)
            case Broken() if event.connection in self._probes:
                failed = Failed(self._probes.pop(event.connection), "broken", probe=True)
                return self._carry(now, self.sources.handle(now, failed))
            case Broken() if event.connection == self._connection:
                return self._failed(now, "broken")
        return []

    @property
    def settled(self) -> bool:
        """Whether the last answer told all that its source had, and the source is no older than what is
        held."""
        return self.standing is Standing.IN_STEP

    def age_ms(self, now: float) -> float:
        return self.follower.age_ms(now)

    def _carry(self, now: float, actions: Sequence[Any]) -> list[Any]:
        done: list[Any] = []
        for action in actions:
            match action:
                case Ask(source=source):
                    self._source, self._connection = source, self._next_connection()
                    done += self._ask(now)
                case Leave(source=source):
                    done.append(Request(source[0], self._connection, self._farewell(now)))
                    done.append(Hangup(source[0], self._connection))
                    self._source, self._connection = None, 0
                case Probe(source=source):
                    connection = self._next_connection()
                    self._probes[connection] = source
                    done.append(Request(source[0], connection, self._farewell(now)))
                case SetTimer(in_ms=in_ms, token=token):
                    done.append(SetTimer(in_ms, token * 2 + 1))
                case _:
                    done.append(action)
        return done

    def _farewell(self, now: float) -> Poll:
        """A probe: it says that we are served elsewhere."""
        follower = self.follower
        return Poll(follower.cursor, 1.0, follower.epoch, "probe", self._poll(now, False).name)

    def _next_connection(self) -> int:
        self._last_connection += 1
        return self._last_connection

    def _ask(self, now: float) -> list[Any]:
        assert self._source is not None
        self._asked = True
        position = self.follower.asked(now)
        poll = self._poll(now, self._source[0] in self.siblings)
        poll = replace(poll, resume=position.resume, epoch=position.epoch, block_ms=BLOCK_MS)
        request = Request(self._source[0], self._connection, poll)
        return [request, *self._carry(now, self.sources.handle(now, Polled(self._source)))]

    def _probed(self, now: float, event: Replied) -> list[Any]:
        source = self._probes.pop(event.connection)
        if event.body is None or event.cut:
            return self._carry(now, self.sources.handle(now, Failed(source, "refused", probe=True)))
        age = read(event.body).age_ms
        return self._carry(now, self.sources.handle(now, Answered(source, age, probe=True)))

    def _failed(self, now: float, why: str) -> list[Any]:
        source, self._source, self._connection = self._source, None, 0
        assert source is not None
        return self._carry(now, self.sources.handle(now, Failed(source, why)))

    def _replied(self, now: float, event: Replied) -> list[Any]:
        self._asked = False
        if event.body is None:
            return self._failed(now, "refused")
        if event.cut:
            part = read(event.body, self._draw())
            self.follower.begin(now, part.epoch, part.age_ms, part.cursor)
            taken = [one for one in part.events if self.follower.offer(one)]
            return self._take(now, taken, False) + self._failed(now, "cut")
        answer = read(event.body)
        before = self.follower.cursor, self.follower.epoch
        told = self.follower.take(now, answer)
        self.standing = told.standing
        self._note_epoch()
        actions = self._take(now, told.events, told.standing is Standing.IN_STEP)
        older = told.standing is Standing.OLDER
        source = self._source
        assert source is not None
        actions += self._carry(now, self.sources.handle(now, Answered(source, answer.age_ms, older)))
        if source != self._source or not self._connection:
            return actions
        if before == (self.follower.cursor, self.follower.epoch):
            return [*actions, SetTimer(PAUSE_MS, 1)]
        return actions + self._ask(now)

    def _note_epoch(self) -> None:
        follower = self.follower
        if follower.epoch and (self.standing is not Standing.MORE or follower.epoch in self.epochs):
            self.epochs[follower.epoch] = max(self.epochs.get(follower.epoch, 0), follower.cursor)
