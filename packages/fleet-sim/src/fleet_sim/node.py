"""A simulated process: its machine, its clocks, its disk, and what waits for it while it is paused."""

from __future__ import annotations

import random
from collections.abc import Callable
from enum import Enum
from typing import Any

from sansio_core import Address, DatagramReceived, RandomSource, StateMachine

Disk = dict[str, Any]  # what survives a kill; a life without its disk starts with an empty one
Factory = Callable[
    [str, Address, int, RandomSource, Disk], StateMachine[Any, Any]
]  # name, address, incarnation, ...

BACKLOG = 128  # datagrams that wait at a paused process; later ones are lost, as in a full socket buffer
DRIFT = 5e-4  # the fastest and slowest clock, as a share of true time
TICK_MS = 0.05  # no timer fires sooner: time goes on while a process works
ZERO_MS = 1e6  # clocks start anywhere below this


class State(Enum):
    DOWN = "down"
    RUNNING = "running"
    PAUSED = "paused"


class Node:
    """One name and address, over all its lives."""

    def __init__(self, name: str, address: Address, seed: int) -> None:
        self.name = name
        self.address = address
        self.state = State.DOWN
        self.incarnation = 0
        self.machine: StateMachine[Any, Any] | None = None
        self.disk: Disk = {}
        self.down_by = ""  # the fault that ended this life, if one did
        self.since = 0.0  # world time of the last change of `state`
        self.late: dict[str, float] = {}  # by cause: timers fire up to so many ms late
        self.wall_ms = 0.0  # the wall clock less the monotonic one; steps must not matter
        self.sent = 0  # datagrams
        self.sent_bytes = 0
        self._held: list[Any] = []
        self._held_datagrams = 0
        self._seed = seed
        self._zero = 0.0
        self._rate = 1.0
        self.fate: RandomSource = random.Random(f"{seed}/{name}/fate").random  # of its datagrams and timers

    @property
    def running(self) -> bool:
        return self.state is State.RUNNING

    def begin(self, now: float, factory: Factory) -> None:
        """A new life: next incarnation, fresh clock and draw."""
        self.incarnation += 1
        draw = random.Random(f"{self._seed}/{self.name}/{self.incarnation}").random
        self._zero = now - ZERO_MS * self.fate()
        self._rate = 1 + DRIFT * (2 * self.fate() - 1)
        self.machine = factory(self.name, self.address, self.incarnation, draw, self.disk)
        self.down_by = ""
        self.turn(State.RUNNING, now)

    def end(self, now: float, cause: str, keep_disk: bool) -> None:
        self.machine = None
        self.down_by = cause
        self._held, self._held_datagrams = [], 0
        if not keep_disk:
            self.disk = {}
        self.turn(State.DOWN, now)

    def turn(self, state: State, now: float) -> None:
        self.state = state
        self.since = now

    def local(self, now: float) -> float:
        """The node's monotonic clock in ms; its zero and rate are its own."""
        return (now - self._zero) * self._rate

    def wall(self, now: float) -> float:
        """The node's wall clock in ms: no machine may decide by it."""
        return self.local(now) + self.wall_ms

    def due(self, now: float, in_ms: float) -> float:
        """World time at which a timer fires: by the node's own rate, and late if a fault says so."""
        late = max(self.late.values(), default=0.0)
        return now + max(in_ms, TICK_MS) / self._rate + (late * self.fate() if late else 0.0)

    def hold(self, event: Any) -> bool:
        """Keep an event for the end of a pause; False when the backlog is full and it is lost."""
        if isinstance(event, DatagramReceived):
            if self._held_datagrams >= BACKLOG:
                return False
            self._held_datagrams += 1
        self._held.append(event)
        return True

    def release(self) -> list[Any]:
        """What waited: datagrams before timers or the other way round, as the reactor may find them."""
        held, self._held, self._held_datagrams = self._held, [], 0
        timers_first = self.fate() < 0.5
        return sorted(held, key=lambda event: isinstance(event, DatagramReceived) is timers_first)
