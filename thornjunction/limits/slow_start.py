"""Rule 4 for the fleet: what each router may send to a server that started lately, so that all together stay
under what it bears though none hears another."""

from __future__ import annotations

import math
from collections.abc import Callable

from thornjunction import interface as api
from thornjunction.estimates import FAST_GAIN, Mean

PACE = 0.5  # of a cold server's budget in each window: two windows that meet in one of its own stay within it
MISS_SHARE = 0.25  # of work, the parents', where weights are not told


class Bucket:
    """What this router has sent to one server in its present window; ``cold_since``: when the server started,
    -inf if long ago."""

    def __init__(self, started_ms: float) -> None:
        self.cold_since = started_ms if started_ms > 0 else -math.inf
        self.until, self.part, self.spent, self.chance = math.nan, 1.0, 0.0, 1.0

    def restart(self, now: float) -> None:
        """It was away: perhaps a new, cold process that is not listed yet."""
        self.cold_since, self.until = now, math.nan

    def turn(self, now: float, window_ms: float, draw: Callable[[], float]) -> None:
        """Begin the window that ``now`` lies in.  The first ends at a moment of its own and counts in part:
        hundreds of routers hear of a start together, and must not all begin anew together."""
        if math.isnan(self.until):
            self.part = 1.0 - draw()
            self.until = now + window_ms * self.part
        elif now >= self.until:
            self.part = 1.0
            self.until += window_ms * (math.floor((now - self.until) / window_ms) + 1)
        else:
            return
        self.spent, self.chance = 0.0, 1.0 - draw()


class ColdBudgets:
    """Each router's share of each cold server, by the settings' numbers.

    Of a fleet of two hundred, each has a part of one request in a window.  What is no whole request is a
    chance of one, to the window's end.  Rounded up, or saved until it is one, two hundred parts would be two
    hundred requests at the moment when all are asked."""

    def __init__(self, draw: Callable[[], float]) -> None:
        self.draw = draw
        self.load = Mean(FAST_GAIN)  # ms of sending time asked of this router, a ms
        self.most = dict.fromkeys(api.Role, 1)  # ever listed: who bears the load where none is away

    def adopt(self, s: api.Settings) -> None:
        """Share by these settings from now on."""
        edge = (s.cold_share, s.cold_ms, s.fall_multiple, s.zone_fronts.get(s.zone, s.instances), 1.0)
        parent = (s.parent_cold_share, s.parent_cold_ms, s.parent_fall_multiple, s.instances, MISS_SHARE)
        self.terms = {api.Role.EDGE: edge, api.Role.PARENT: parent, api.Role.ORIGIN: (1.0, 0.0, 0.0, 1, 0.0)}
        self.weighted, self.fall_ms = s.weighted, max(s.fall_ms, 1.0)

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
        """Whether one more fits this window's share; ``take``: it is sent."""
        rate = math.inf if bucket.cold_since == -math.inf else self.rate(entry, bucket, now)
        if rate == math.inf:
            return True
        bucket.turn(now, self.fall_ms, self.draw)
        fits = bucket.spent + bucket.chance * work <= rate * self.fall_ms * bucket.part
        bucket.spent += work * take
        return fits
