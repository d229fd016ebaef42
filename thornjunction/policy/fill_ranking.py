"""The rank of a fill (paper, section 3): d1 = hits/s x fetch time / size or d2 = hits/s, by a chance w."""

from __future__ import annotations

import math
from collections.abc import Callable

from thornjunction.estimates import FAST_GAIN, Mean, Recent

HALF_LIFE, KNOWN = 10_000.0, 0.5  # ms, of request counts (the design's); count that makes a copy likely there
COPIES = 8192  # in the table at most
TOP, BOTTOM = 2 / 3, 1 / 3  # places that part the ranks: three equal shares
W_START, W_STEP = 0.5, 0.05  # chance of d1 at the start, and its change a second: ten seconds to a limit
LINK_FULL = 0.85  # strain of the link above


class Placer(Recent):
    """Where a score stands among recent ones of its kind, as a rank."""

    def rank(self, score: float) -> int:
        share = self.place(score)
        return 3 if share > TOP else 2 if share > BOTTOM else 1


class Ranking:
    """What is asked how often, what its fetch costs, and which of the two scores decides."""

    def __init__(self, draw: Callable[[], float]) -> None:
        self.draw, self.w = draw, W_START
        self.counts: dict[int, tuple[float, float, float]] = {}  # by copy: count, at, fetch time or -1
        self.fetch, self.link = Mean(FAST_GAIN), Mean(FAST_GAIN)
        self.by_cost, self.by_hits = Placer(), Placer()

    def step(self, strained: bool) -> None:
        """Lean toward d1 when fills slow or fail, toward d2 when the link nears full."""
        if self.link.value is None and not strained:
            self.w = max(W_START, self.w - W_STEP)
        self.w = min(max(self.w + W_STEP * (strained - (self.link.get(0.0) > LINK_FULL)), 0.0), 1.0)

    def count(self, copy: int, now: float) -> float:
        """A request for a copy; how many there were before, decayed."""
        count, at, fetch = self.counts.pop(copy, (0.0, now, -1.0))
        count *= math.exp2((at - now) / HALF_LIFE)
        self.counts[copy] = (count + 1.0, now, fetch)
        if len(self.counts) > COPIES:
            del self.counts[next(iter(self.counts))]
        return count

    def rank(self, copy: int, work: float, now: float) -> int:
        """The rank at which a fill is kept: where its score stands among recent ones of its kind."""
        count, _, fetch = self.counts.get(copy, (1.0, now, -1.0))
        if self.draw() >= self.w:
            return self.by_hits.rank(count)
        return self.by_cost.rank(count * (self.fetch.get(1.0) if fetch < 0 else fetch) / work)

    def filled(self, copy: int, wait: float) -> None:
        """A fill's first byte came after so many ms."""
        self.fetch.add(wait)
        if copy in self.counts:
            self.counts[copy] = (*self.counts[copy][:2], wait)
