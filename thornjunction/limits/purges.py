"""Rule 5: no answer from a copy older than a purge that was told."""

from __future__ import annotations

import math

from thornjunction import interface as api

PURGES = 4096  # at most; with more, everything counts as purged


class Purges:
    """When each object and group was purged last."""

    def __init__(self) -> None:
        self.when: dict[tuple[str, int], float] = {}
        self.all, self.takes_ms = -math.inf, 0.0

    def add(self, event: api.Purged, now: float) -> None:
        when = now - max(event.age_ms, 0.0)
        name = ("group", event.group) if event.key is None else ("key", event.key)
        self.when[name] = max(when, self.when.pop(name, when))
        if len(self.when) > PURGES:
            self.all = max(self.all, self.when.pop(next(iter(self.when))))

    def max_age(self, event: api.Request, fresh_ms: float, now: float, grace_ms: float = 0.0) -> float:
        """Rule 5: until all caches have dropped what was purged, only younger copies will do; else those of
        the class's fresh time (0), and older by ``grace_ms`` where that is asked for."""
        names = ("key", event.key), ("group", event.group)
        when = max(self.all, *(self.when.get(name, -math.inf) for name in names))
        if now > when + self.takes_ms:
            return fresh_ms + grace_ms if fresh_ms > 0 and grace_ms > 0 else 0.0
        bound = max(now - when - 1.0, 1.0)  # 1 ms: what the wire and the caches may round
        return min(bound, fresh_ms + grace_ms) if fresh_ms > 0 else bound
