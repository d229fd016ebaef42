"""The rank at which a fill is cached, after Song et al., section 3.

An object's score is either d1 = hits/s x fetch time / size, the cost that caching it saves, or d2 =
hits/s. A random number selects one of the two for each fill. The probability of d1 rises while fills are
overloaded, and falls while the link is nearly full.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from thornjunction.estimates import FAST_GAIN, RecentScores, SmoothedMean

# Half-life of the decaying count of requests, as in the paper.
COUNT_HALF_LIFE_MS = 10_000.0
# Objects whose requests are counted; the one requested longest ago is evicted.
MAX_COUNTED_OBJECTS = 8192
# Percentiles of the score above which the rank is 3 and 2: each rank gets a third of the fills.
HIGH_RANK_ABOVE = 2 / 3
MIDDLE_RANK_ABOVE = 1 / 3
# Probability of ranking by cost at the start.
START_COST_PROBABILITY = 0.5
# Change of that probability a second: from its start it reaches either limit in ten seconds.
COST_PROBABILITY_STEP = 0.05
# Utilization of the link to the sources above which its bytes must be saved.
LINK_NEAR_FULL = 0.85
# Fetch time assumed for all objects until the first fill; its value does not matter, as it is the same for
# all.
DEFAULT_FETCH_MS = 1.0


@dataclass(slots=True)
class RequestCount:
    """The decayed number of requests for one object, and the fetch time of its last fill."""

    count: float
    counted_at_ms: float  # when ``count`` was computed
    fetch_ms: float | None = None  # time to the first byte of its last fill

    def decayed(self, now_ms: float) -> float:
        """Return the count, decayed to this time."""
        return self.count * math.exp2((self.counted_at_ms - now_ms) / COUNT_HALF_LIFE_MS)


def rank_of(percentile: float) -> int:
    """Return the rank, 1 to 3, for a score's percentile among recent ones."""
    if percentile > HIGH_RANK_ABOVE:
        return 3
    if percentile > MIDDLE_RANK_ABOVE:
        return 2
    return 1


class FillRanking:
    """Counts requests, learns fetch times, and ranks fills by one of the two scores."""

    def __init__(self, draw: Callable[[], float]) -> None:
        self._draw = draw
        self.cost_probability = START_COST_PROBABILITY
        # Counts by object hash, the object requested longest ago first.
        self.counts: dict[int, RequestCount] = {}
        self.mean_fetch_ms = SmoothedMean(FAST_GAIN)
        self.link_load = SmoothedMean(FAST_GAIN)
        self.cost_scores = RecentScores()
        self.hit_scores = RecentScores()

    def adjust(self, *, fills_overloaded: bool) -> None:
        """Move the probability of ranking by cost one step; call this once a second.

        It rises while fills are slow or fail, and falls while the link is nearly full. Without reports of the
        link's utilization it returns to its start once fills are no longer overloaded.
        """
        link_near_full = self.link_load.get(0.0) > LINK_NEAR_FULL
        if fills_overloaded and not link_near_full:
            self.cost_probability = min(self.cost_probability + COST_PROBABILITY_STEP, 1.0)
        elif link_near_full and not fills_overloaded:
            self.cost_probability = max(self.cost_probability - COST_PROBABILITY_STEP, 0.0)
        elif self.link_load.value is None and not fills_overloaded:
            lowered = self.cost_probability - COST_PROBABILITY_STEP
            self.cost_probability = max(lowered, START_COST_PROBABILITY)

    def count_request(self, object_hash: int, now_ms: float) -> float:
        """Count a request for an object; return the decayed count of those before it."""
        entry = self.counts.pop(object_hash, None)
        if entry is None:
            entry = RequestCount(0.0, now_ms)
        earlier = entry.decayed(now_ms)
        entry.count = earlier + 1.0
        entry.counted_at_ms = now_ms
        self.counts[object_hash] = entry
        if len(self.counts) > MAX_COUNTED_OBJECTS:
            del self.counts[next(iter(self.counts))]
        return earlier

    def rank(self, object_hash: int, transfer_ms: float) -> int:
        """Return the rank, 1 to 3, at which a fill is cached; an object of rank 3 is kept longest."""
        entry = self.counts.get(object_hash)
        count = 1.0 if entry is None else entry.count
        if self._draw() >= self.cost_probability:
            return rank_of(self.hit_scores.percentile(count))
        fetch_ms = None if entry is None else entry.fetch_ms
        if fetch_ms is None:
            fetch_ms = self.mean_fetch_ms.get(DEFAULT_FETCH_MS)
        return rank_of(self.cost_scores.percentile(count * fetch_ms / transfer_ms))

    def record_fill(self, object_hash: int, first_byte_ms: float) -> None:
        """Learn the time to a fill's first byte."""
        self.mean_fetch_ms.add(first_byte_ms)
        entry = self.counts.get(object_hash)
        if entry is not None:
            entry.fetch_ms = first_byte_ms
