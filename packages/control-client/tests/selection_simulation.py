"""Sources that answer, hang, refuse, lag and recover, and a client that polls them in simulated time."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from enum import Enum
from typing import Any, NamedTuple

from control_client import (
    PollAnswered,
    PollFailed,
    PollSent,
    ProbeAnswered,
    ProbeFailed,
    SelectionTimings,
    SelectorNotice,
    SendProbe,
    SourceSelector,
    StartPolling,
    StopPolling,
)
from sansio_core import Address, Notice, SetTimer, Started, TimerFired

BLOCK_MS = 800.0
LATENCY_MS = 1.0
PROBE_TIMEOUT_MS = 900.0
TIMINGS = SelectionTimings()


class SourceMode(Enum):
    UP = "up"
    DEAD = "dead"
    """Connections are refused."""

    HUNG = "hung"
    """Connections are accepted; no poll or probe is answered."""

    NO_STATE = "no state"
    """Polls are answered with status 503."""


class PollStart(NamedTuple):
    """A source was polled from this time on, for this reason."""

    at_ms: float
    source: int
    reason: str


class ProbeSent(NamedTuple):
    at_ms: float
    source: int


class SelectionSimulation:
    """``stale_since`` holds the time from which a source's state is no longer updated."""

    def __init__(self, upstreams: int, siblings: int = 0, seed: int = 1) -> None:
        self.addresses: list[Address] = [(f"127.0.0.{index + 1}", 1) for index in range(upstreams + siblings)]
        self.modes = dict.fromkeys(self.addresses, SourceMode.UP)
        self.stale_since: dict[Address, float] = {}
        self.now = 0.0
        self.selector = SourceSelector(
            self.addresses[:upstreams], random.Random(seed).random, self.addresses[upstreams:], TIMINGS
        )
        self.poll_starts: list[PollStart] = []
        self.probes: list[ProbeSent] = []
        self._connection = 0
        self._polled: Address | None = None
        self._scheduled = 0
        self._calls: list[tuple[float, int, Callable[[], None]]] = []
        self.feed(Started())

    def set_mode(self, index: int, mode: SourceMode) -> None:
        """Change how a source behaves; one that becomes ``DEAD`` closes its connections."""
        address = self.addresses[index]
        self.modes[address] = mode
        if mode is SourceMode.DEAD and self._polled == address:
            self._lose_connection(address, "lost")

    def set_stale(self, index: int, since_ms: float) -> None:
        self.stale_since[self.addresses[index]] = since_ms

    def run(self, ms: float) -> None:
        end = self.now + ms
        while self._calls and self._calls[0][0] <= end:
            self.now, _, call = heapq.heappop(self._calls)
            call()
        self.now = end

    def current(self) -> int:
        return self.addresses.index(self._polled) if self._polled is not None else -1

    def polled_sources(self) -> list[int]:
        return [start.source for start in self.poll_starts]

    def feed(self, event: Any) -> None:
        for action in self.selector.handle(self.now, event):
            self._carry_out(action)

    def _carry_out(self, action: Any) -> None:
        match action:
            case SetTimer(in_ms, token):
                self._call_later(in_ms, lambda: self.feed(TimerFired(token)))
            case StartPolling(source):
                self._connect(source)
            case StopPolling(source):
                assert self._polled == source
                self._polled = None
                self._connection += 1
            case SendProbe(source):
                self.probes.append(ProbeSent(self.now, self.addresses.index(source)))
                self._call_later(LATENCY_MS, lambda: self._answer_probe(source))
            case Notice(name, fields) if name == SelectorNotice.SOURCE_SELECTED:
                names = [f"{host}:{port}" for host, port in self.addresses]
                index = names.index(str(fields["source"]))
                self.poll_starts.append(PollStart(self.now, index, str(fields["cause"])))

    def _call_later(self, ms: float, call: Callable[[], None]) -> None:
        self._scheduled += 1
        heapq.heappush(self._calls, (self.now + ms, self._scheduled, call))

    def _age_ms(self, address: Address) -> float:
        return max(self.now - self.stale_since.get(address, self.now), 0.0)

    def _connect(self, source: Address) -> None:
        assert self._polled is None, "two sources are polled at once"
        self._polled = source
        self._connection += 1
        connection = self._connection
        self._call_later(LATENCY_MS, lambda: self._connected(connection))

    def _connected(self, connection: int) -> None:
        if connection != self._connection or self._polled is None:
            return
        if self.modes[self._polled] is SourceMode.DEAD:
            self._lose_connection(self._polled, "dial-failed")
        else:
            self._poll(connection, LATENCY_MS)

    def _poll(self, connection: int, block_ms: float) -> None:
        if self._polled is not None:
            self.feed(PollSent(self._polled))
            self._call_later(block_ms, lambda: self._answer_poll(connection))

    def _answer_poll(self, connection: int) -> None:
        if connection != self._connection or self._polled is None:
            return
        match self.modes[self._polled]:
            case SourceMode.HUNG:
                self._call_later(LATENCY_MS, lambda: self._answer_poll(connection))
            case SourceMode.NO_STATE:
                self._lose_connection(self._polled, "status-503")
            case _:
                self.feed(PollAnswered(self._polled, self._age_ms(self._polled)))
                if connection == self._connection:
                    self._poll(connection, BLOCK_MS)

    def _lose_connection(self, address: Address, reason: str) -> None:
        self._polled = None
        self._connection += 1
        self.feed(PollFailed(address, reason))

    def _answer_probe(self, address: Address) -> None:
        mode = self.modes[address]
        if mode is SourceMode.UP:
            self.feed(ProbeAnswered(address, self._age_ms(address)))
        else:
            wait_ms = PROBE_TIMEOUT_MS if mode is SourceMode.HUNG else 0.0
            self._call_later(wait_ms, lambda: self.feed(ProbeFailed(address)))
