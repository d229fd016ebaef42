"""Routers and relays of the simulation."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any

from control_client import Event, ListEvent
from control_relay import (
    Answer,
    Attached,
    Confirmed,
    ListTold,
    PollerGone,
    PurgeTold,
    Refuse,
    Relay,
)
from control_relay import Polled as RelayPolled
from sansio_core import Notice, RandomSource, SetTimer, Started, TimerFired

from control_sim.client import BLOCK_MS, Client, read
from control_sim.lines import Asked, Broken, HungUp, Poll, Replied, Reply, Request

Lines = dict[str, Any]
LIFE_BITS = 20


def first_connection(place: int, incarnation: int) -> int:
    """Numbers of connections tell whose they are, and of which life."""
    return (place << LIFE_BITS | incarnation) << LIFE_BITS


def life_of(connection: int) -> int:
    return connection >> LIFE_BITS & (1 << LIFE_BITS) - 1


class Held:
    """A list and purges, as a router holds them: an earlier purge changes nothing."""

    def __init__(self) -> None:
        self.lines: Lines = {}
        self.purges: dict[Any, float] = {}

    def take(self, event: Event) -> None:
        if not isinstance(event, ListEvent):
            self.purges[event.what] = max(event.when_ms, self.purges.get(event.what, event.when_ms))
            return
        if event.whole:
            self.lines = {}
        for name, line in event.lines.items():
            if line is None:
                self.lines.pop(name, None)
            else:
                self.lines[name] = line


class Router:
    def __init__(
        self, name: str, upstreams: tuple[str, ...], draw: RandomSource, first_connection: int, hold_ms: float
    ) -> None:
        self.name, self.held = name, Held()
        self.client = Client(
            upstreams,
            (),
            draw,
            first_connection,
            hold_ms,
            lambda now, sibling: Poll(0, 0, name=name),
            self._take,
        )

    def handle(self, now: float, event: object) -> list[Any]:
        return self.client.handle(now, event)

    def _take(self, now: float, events: Sequence[Event], all_told: bool) -> list[Any]:
        for event in events:
            self.held.take(event)
        return []


class PlainRouter:
    """A router that knows nothing of relays: one address, a number that never goes back."""

    SILENT_MS, WAIT_MS = 1300.0, 200.0

    def __init__(self, source: str, first_connection: int) -> None:
        self.held, self.cursor, self.source = Held(), 0, source
        self.connection, self._polls, self._asked = first_connection, 0, False

    def handle(self, now: float, event: object) -> list[Any]:
        match event:
            case Started():
                return self._ask()
            case TimerFired(token=token) if token == self._polls:
                self.connection += self._asked
                return self._ask()
            case Replied() if event.connection == self.connection and event.body and not event.cut:
                start = self.cursor
                for told in sorted(read(event.body).events, key=lambda one: one.number):
                    if told.number > start:
                        self.cursor = told.number
                        self.held.take(told)
                return self._ask() if self.cursor > start else self._later()
            case Replied() | Broken() if event.connection == self.connection:
                self.connection += 1
                return self._later()
        return []

    def _ask(self) -> list[Any]:
        self._polls, self._asked = self._polls + 1, True
        poll = Request(self.source, self.connection, Poll(self.cursor, BLOCK_MS))
        return [poll, SetTimer(self.SILENT_MS, self._polls)]

    def _later(self) -> list[Any]:
        self._polls, self._asked = self._polls + 1, False
        return [SetTimer(self.WAIT_MS, self._polls)]


class RelayNode:
    """The core, and the client that feeds it.  Timers of the core are even, those of the client odd."""

    def __init__(
        self,
        name: str,
        relay: Relay,
        upstreams: tuple[str, ...],
        siblings: tuple[str, ...],
        draw: RandomSource,
        first_connection: int,
    ) -> None:
        self.name, self.relay = name, relay
        self.lives: dict[str, int] = {}  # of those that polled, which one it was
        self._upstream_epoch = ""
        self._sources: dict[int, str] = {}
        hold_ms = relay.settings.hold_ms
        self.client = Client(upstreams, siblings, draw, first_connection, hold_ms, self._poll, self._take)

    @property
    def lines(self) -> Lines:
        """The list as the core holds it."""
        shelves = self.relay.state.shelves
        if not shelves.number:
            return {}
        hosts = json.loads(shelves.event())["nodes"]["hosts"]
        return {line["host"]: line for line in hosts}

    def handle(self, now: float, event: object) -> list[Any]:
        match event:
            case Started():
                return self._core(now, event) + self.client.handle(now, event)
            case TimerFired(token=token) if token % 2 == 0:
                return self._core(now, TimerFired(token // 2))
            case Asked(source=source, connection=connection, poll=poll):
                self._sources[connection] = source
                if poll.role != "probe":
                    self.lives[source] = life_of(connection)
                names = poll.role, poll.name, poll.done, poll.behind, poll.names
                return self._core(
                    now, RelayPolled(connection, poll.resume, poll.block_ms, poll.epoch, *names)
                )
            case HungUp(connection=connection):
                self._sources.pop(connection, None)
                return self._core(now, PollerGone(connection))
        return self.client.handle(now, event)

    def _poll(self, now: float, sibling: bool) -> Poll:
        if sibling:
            return Poll(0, 0, role="sibling")
        up = self.relay.handed_up(now)
        return Poll(0, 0, "", "relay", self.name, up.done, up.behind, up.names)

    def _take(self, now: float, events: Sequence[Event], all_told: bool) -> list[Any]:
        actions: list[Any] = []
        if self.client.follower.epoch != self._upstream_epoch:
            self._upstream_epoch = self.client.follower.epoch
            actions += self._core(now, Attached())
        for event in events:
            actions += self._core(now, _told(event))
        if all_told:
            actions += self._core(now, Confirmed(self.client.age_ms(now), self.client.follower.cursor))
        return actions

    def _core(self, now: float, event: Any) -> list[Any]:
        done: list[Any] = []
        for action in self.relay.handle(now, event):
            match action:
                case Answer(poller=poller, body=body):
                    done.append(Reply(self._sources[poller], poller, body))
                case Refuse(poller=poller):
                    done.append(Reply(self._sources[poller], poller, None))
                case SetTimer(in_ms=in_ms, token=token):
                    done.append(SetTimer(in_ms, token * 2))
                case Notice():
                    done.append(action)
        return done


def _told(event: Event) -> ListTold | PurgeTold:
    if isinstance(event, ListEvent):
        hosts = event.body if event.body is not None else event.lines.values()
        return ListTold(event.number, event.seq, event.whole, tuple(hosts))
    key, family = (event.what, -1) if isinstance(event.what, str) else (None, event.what)
    assert isinstance(family, int)
    return PurgeTold(event.number, key, family, event.when_ms)
