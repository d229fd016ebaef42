"""What is done: latched, so that it never goes back."""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import deque
from dataclasses import dataclass

from control_relay.active_purges import What

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
        self._last_taken = 0
        self._upstream: deque[tuple[int, int]] = deque()  # done here up to, means done there up to

    def attached(self) -> None:
        """The upstream's numbers start anew."""
        self.upstream_done = self._last_taken = 0
        self._upstream.clear()

    def taken(self, upstream: int) -> None:
        """An event of the upstream was taken.  Guards what is handed up: those of one answer need not come
        in the order of their numbers, so none counts before ``all_taken``."""
        self._last_taken = max(self._last_taken, upstream)

    def all_taken(self, own: int, upstream: int) -> None:
        """All of the upstream's up to this number (0: up to the last that came) stands under the relay's
        numbers up to ``own``."""
        if self._upstream and self._upstream[-1][0] == own:
            self._upstream.pop()
        self._upstream.append((own, upstream or self._last_taken))
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
