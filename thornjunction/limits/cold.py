"""Rule 4 for the fleet: what each router may send to a server that started lately, so that all together stay
under what it bears though none hears another."""

from __future__ import annotations

import math

from thornjunction import interface as api
from thornjunction.estimates import FAST_GAIN, Mean

PACE, BURST, LARGEST = 0.5, 0.2, 0.8  # of a cold server's budget: rate; saved up; one request at most
MISS_SHARE = 0.25  # of work, the parents', where weights are not told


class Bucket:
    """What this router may still send to one server; ``cold_since``: when it started, -inf if long ago."""

    def __init__(self, started_ms: float, now: float) -> None:
        self.cold_since = started_ms if started_ms > 0 else -math.inf
        self.tokens, self.at = math.inf, now

    def restart(self, now: float) -> None:
        """It was away: perhaps a new, cold process that is not listed yet."""
        self.cold_since, self.tokens = now, 0.0


class ColdBudgets:
    """Each router's share of each cold server, by the settings' numbers."""

    def __init__(self) -> None:
        self.load = Mean(FAST_GAIN)  # ms of sending time asked of this router, a ms
        self.most = dict.fromkeys(api.Role, 1)  # ever listed: who bears the load where none is away

    def adopt(self, s: api.Settings) -> None:
        """Share by these settings from now on."""
        edge = (s.cold_share, s.cold_ms, s.fall_multiple, s.zone_fronts.get(s.zone, s.instances), 1.0)
        parent = (s.parent_cold_share, s.parent_cold_ms, s.parent_fall_multiple, s.instances, MISS_SHARE)
        self.terms = {api.Role.EDGE: edge, api.Role.PARENT: parent, api.Role.ORIGIN: (1.0, 0.0, 0.0, 1, 0.0)}
        self.weighted, self.fall_ms = s.weighted, s.fall_ms

    def rate(self, entry: api.ServerEntry, bucket: Bucket, now: float) -> float:
        """Sending time a ms that this front may ask of a cold server; infinite once it is warm."""
        share, warm_in, multiple, fronts, warm_load = self.terms[entry.role]
        age = max(now - bucket.cold_since, 0.0)
        if age >= warm_in:
            return math.inf
        capacity = entry.weight / max(fronts, 1)
        if not self.weighted:  # what a warm one bears from this front alone
            capacity = self.load.get(0.0) * warm_load / self.most[entry.role]
        return PACE * multiple * (share + (1 - share) * age / warm_in) * capacity

    def within(
        self, entry: api.ServerEntry, bucket: Bucket, work: float, now: float, take: bool = False
    ) -> bool:
        """A bucket that fills at the budget; the budget binds in any window, so bursts are kept short."""
        rate = math.inf if bucket.cold_since == -math.inf else self.rate(entry, bucket, now)
        if rate == math.inf:
            return True
        depth = BURST * rate * self.fall_ms
        tokens = min(depth, bucket.tokens + rate * (now - bucket.at)) - work * take
        bucket.tokens, bucket.at = tokens, now
        return bucket.tokens >= min(work, depth) and work <= LARGEST * rate * self.fall_ms
