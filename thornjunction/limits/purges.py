"""Purges (rule 5 of the simulator): no answer may come from a copy that is older than an announced purge."""

from __future__ import annotations

import math
from typing import Literal

from thornjunction import interface as api

# Purges that are stored; if there are more, every object counts as purged at the time of the evicted ones.
MAX_PURGES = 4096
# Rounding error of a copy's age on the wire and in the caches.
ROUNDING_MS = 1.0
# Lower bound of a maximum age, since 0 stands for the freshness time of the request class.
MIN_MAX_AGE_MS = 1.0

PurgeTarget = tuple[Literal["key", "group"], int]


class Purges:
    """The time of the latest purge of each object and each group."""

    def __init__(self) -> None:
        self.purged_at_ms: dict[PurgeTarget, float] = {}
        # Time that it takes until all caches have dropped a purged object.
        self.propagation_ms = 0.0
        self._everything_purged_at_ms = -math.inf

    def add(self, event: api.PurgeReceived, now_ms: float) -> None:
        """Record a purge of one object or of a group."""
        purged_at_ms = now_ms - max(event.age_ms, 0.0)
        target: PurgeTarget = ("group", event.group) if event.key is None else ("key", event.key)
        earlier_ms = self.purged_at_ms.pop(target, purged_at_ms)
        self.purged_at_ms[target] = max(purged_at_ms, earlier_ms)
        if len(self.purged_at_ms) > MAX_PURGES:
            oldest = next(iter(self.purged_at_ms))
            evicted_purge_ms = self.purged_at_ms.pop(oldest)
            self._everything_purged_at_ms = max(self._everything_purged_at_ms, evicted_purge_ms)

    def max_age_ms(
        self, request: api.Request, fresh_ms: float, now_ms: float, grace_ms: float = 0.0
    ) -> float:
        """Return the maximum age of a copy that may answer a request; 0 for the class's freshness time.

        ``fresh_ms`` is the class's freshness time (0: a copy is valid until it is purged), ``grace_ms`` how
        much older a copy may be. Until all caches have dropped a purged object, a copy must be younger than
        the purge.
        """
        purged_at_ms = max(
            self._everything_purged_at_ms,
            self.purged_at_ms.get(("key", request.key), -math.inf),
            self.purged_at_ms.get(("group", request.group), -math.inf),
        )
        if now_ms > purged_at_ms + self.propagation_ms:
            if fresh_ms > 0 and grace_ms > 0:
                return fresh_ms + grace_ms
            return 0.0
        since_purge_ms = max(now_ms - purged_at_ms - ROUNDING_MS, MIN_MAX_AGE_MS)
        if fresh_ms > 0:
            return min(since_purge_ms, fresh_ms + grace_ms)
        return since_purge_ms
