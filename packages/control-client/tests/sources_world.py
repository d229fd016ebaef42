"""Sources that live, hang, refuse, fall behind and come back, and one who polls them, in virtual time."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any

from control_client import Answered, Ask, Failed, Leave, Polled, Probe, Sources, SourceTimes
from sansio_core import Address, Notice, SetTimer, Started, TimerFired

BLOCK_MS, WAY_MS, PROBE_SILENT_MS = 800.0, 1.0, 900.0
TIMES = SourceTimes()


class World:
    """``ways`` says of each source how it is: ``up``, ``dead`` (nobody listens), ``hung`` (nothing is
    answered), ``bare`` (503); ``stuck`` since when what it tells does not grow."""

    def __init__(self, upstreams: int, siblings: int = 0, seed: int = 1) -> None:
        self.addresses: list[Address] = [(f"127.0.0.{at + 1}", 1) for at in range(upstreams + siblings)]
        self.ways = dict.fromkeys(self.addresses, "up")
        self.stuck: dict[Address, float] = {}
        self.now = 0.0
        self.machine = Sources(
            self.addresses[:upstreams], random.Random(seed).random, self.addresses[upstreams:], TIMES
        )
        self.asked: list[tuple[float, int, str]] = []  # when, which, why
        self.probes: list[tuple[float, int]] = []
        self.link = 0  # the connection that polls; 0 where there is none
        self._links = self._order = 0
        self._open: Address | None = None
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self.feed(Started())

    def way(self, at: int, way: str) -> None:
        """From now on the source is so; what dies ends its connections."""
        self.ways[self.addresses[at]] = way
        if way == "dead" and self._open == self.addresses[at]:
            self.lost(self._open, "lost")

    def stick(self, at: int, since: float) -> None:
        self.stuck[self.addresses[at]] = since

    def run(self, ms: float) -> None:
        end = self.now + ms
        while self._due and self._due[0][0] <= end:
            self.now, _, call = heapq.heappop(self._due)
            call()
        self.now = end

    def current(self) -> int:
        return self.addresses.index(self._open) if self._open is not None else -1

    def feed(self, event: Any) -> None:
        for action in self.machine.handle(self.now, event):
            self.carry_out(action)

    def carry_out(self, action: Any) -> None:
        if isinstance(action, SetTimer):
            self.later(action.in_ms, lambda: self.feed(TimerFired(action.token)))
        elif isinstance(action, Ask):
            assert self._open is None, "two sources are asked at once"
            self._links += 1
            self._open, self.link = action.source, self._links
            self.later(WAY_MS, lambda link=self.link: self.dialled(link))  # type: ignore[misc]
        elif isinstance(action, Leave):
            assert self._open == action.source
            self._open, self.link = None, 0
        elif isinstance(action, Probe):
            self.probes.append((self.now, self.addresses.index(action.source)))
            self.later(WAY_MS, lambda: self.probed(action.source))
        elif isinstance(action, Notice) and action.name == "source-asked":
            at = [f"{host}:{port}" for host, port in self.addresses].index(str(action.fields["source"]))
            self.asked.append((self.now, at, str(action.fields["why"])))

    def later(self, ms: float, call: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._due, (self.now + ms, self._order, call))

    def age(self, address: Address) -> float:
        return max(self.now - self.stuck.get(address, self.now), 0.0)

    def dialled(self, link: int) -> None:
        if link != self.link or self._open is None:
            return
        if self.ways[self._open] == "dead":
            return self.lost(self._open, "dial-failed")
        self.poll(link, WAY_MS)

    def poll(self, link: int, block_ms: float) -> None:
        if self._open is not None:
            self.feed(Polled(self._open))
            self.later(block_ms, lambda: self.answer(link))

    def answer(self, link: int) -> None:
        if link != self.link or self._open is None:
            return
        way = self.ways[self._open]
        if way == "hung":
            self.later(WAY_MS, lambda: self.answer(link))
        elif way == "bare":
            self.lost(self._open, "status-503")
        else:
            self.feed(Answered(self._open, self.age(self._open)))
            if link == self.link:
                self.poll(link, BLOCK_MS)

    def lost(self, address: Address, why: str) -> None:
        self._open, self.link = None, 0
        self.feed(Failed(address, why))

    def probed(self, address: Address) -> None:
        way = self.ways[address]
        if way == "up":
            self.feed(Answered(address, self.age(address), probe=True))
        else:
            wait_ms = PROBE_SILENT_MS if way == "hung" else 0.0
            self.later(wait_ms, lambda: self.feed(Failed(address, way, probe=True)))
