"""What is done: latched, so that it never goes back."""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import deque
from dataclasses import dataclass

from control_relay.purges import What

MOST_MARKS = 4_096


@dataclass(slots=True)
class Record:
    """A purge for the operators' eyes."""

    number: int
    what: What
    when_ms: float
    told_at: float
    done_since: float | None = None


class Marks:
    """``done`` in the relay's numbers, ``upstream_done`` in the upstream's; the last purges."""

    def __init__(self, done: int, recent: int) -> None:
        self.done, self.upstream_done = done, 0
        self.records: deque[Record] = deque(maxlen=max(1, recent))
        self._upstream: deque[tuple[int, int]] = deque()  # done here up to, means done there up to

    def attached(self) -> None:
        """The upstream's numbers start anew."""
        self.upstream_done = 0
        self._upstream.clear()

    def taken(self, own: int, upstream: int) -> None:
        """An event of the upstream stands under the relay's numbers up to ``own``."""
        last = upstream
        while self._upstream and (self._upstream[-1][1] >= upstream or self._upstream[-1][0] == own):
            last = max(last, self._upstream.pop()[1])  # Guards an event that comes after later ones
        self._upstream.append((own, last))
        if len(self._upstream) > MOST_MARKS:
            self._upstream = deque(list(self._upstream)[1::2])

    def advance(self, now: float, lowest: float, told: int) -> None:
        """All routers have confirmed up to ``lowest``; without routers all that was told is done."""
        done = min(lowest, told)
        if done > self.done:
            self.done = int(done)
            for record in self.records:
                if record.done_since is None and record.number <= self.done:
                    record.done_since = now
        while self._upstream and self._upstream[0][0] <= self.done:
            self.upstream_done = self._upstream.popleft()[1]


class Flushes:
    """When which number went out, for the last ``most`` times: coarser the further back."""

    def __init__(self, most: int = 1_024) -> None:
        self._most = most
        self._flushes: list[tuple[int, float]] = []

    def add(self, number: int, now: float) -> None:
        self._flushes.append((number, now))
        if len(self._flushes) > self._most:
            half = self._most // 2
            self._flushes = self._flushes[0:half:2] + self._flushes[half:]

    def first_after(self, number: int) -> float:
        """When something later than this number first went out; infinite: nothing has."""
        at = bisect_right(self._flushes, number, key=lambda flush: flush[0])
        return self._flushes[at][1] if at < len(self._flushes) else math.inf
