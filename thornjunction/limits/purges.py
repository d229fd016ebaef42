"""Rule 5: no answer from a copy that is older than an announced purge."""

from __future__ import annotations

import math
from typing import Literal

from thornjunction import interface as api

# Purges that are remembered; past that, everything counts as purged at the time of the oldest forgotten.
MOST_PURGES = 4096
# ms that the wire and the caches may lose in rounding a copy's age.
ROUNDING_MS = 1.0
# Lowest age that is asked for: 0 would stand for the class's fresh time.
LOWEST_AGE_MS = 1.0

PurgeTarget = tuple[Literal["key", "group"], int]


class Purges:
    """When each object and each group was purged last."""

    def __init__(self) -> None:
        self.purged_at_ms: dict[PurgeTarget, float] = {}
        # Until all caches have dropped what was purged, it takes so long.
        self.propagation_ms = 0.0
        self._everything_purged_at_ms = -math.inf

    def add(self, event: api.PurgeReceived, now_ms: float) -> None:
        """Take in a purge of one object or of a group."""
        purged_at_ms = now_ms - max(event.age_ms, 0.0)
        target: PurgeTarget = ("group", event.group) if event.key is None else ("key", event.key)
        earlier_ms = self.purged_at_ms.pop(target, purged_at_ms)
        self.purged_at_ms[target] = max(purged_at_ms, earlier_ms)
        if len(self.purged_at_ms) > MOST_PURGES:
            oldest = next(iter(self.purged_at_ms))
            forgotten_ms = self.purged_at_ms.pop(oldest)
            self._everything_purged_at_ms = max(self._everything_purged_at_ms, forgotten_ms)

    def max_age_ms(
        self, request: api.Request, fresh_ms: float, now_ms: float, grace_ms: float = 0.0
    ) -> float:
        """Return the age in ms of the oldest copy that may answer a request; 0: the class's fresh time.

        ``fresh_ms`` is the class's fresh time (0: a copy is good until it is purged), ``grace_ms`` how much
        older a copy may be. Until all caches have dropped what was purged, only younger copies will do.
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
        since_purge_ms = max(now_ms - purged_at_ms - ROUNDING_MS, LOWEST_AGE_MS)
        if fresh_ms > 0:
            return min(since_purge_ms, fresh_ms + grace_ms)
        return since_purge_ms
