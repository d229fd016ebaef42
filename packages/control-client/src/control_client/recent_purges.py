"""The purges that were accepted recently, by target."""

from __future__ import annotations

from collections.abc import Hashable
from typing import NamedTuple

# Upper bound on the removals in one call: more than the one addition, so that the table shrinks in short
# steps.
MAX_REMOVALS_PER_CALL = 2


class _AcceptedPurge(NamedTuple):
    issued_unix_ms: float
    accepted_at_ms: float


class RecentPurges:
    """Recognizes purges that were accepted before.

    A purge is remembered for ``retention_ms``, and at most ``max_purges`` are.  One that was forgotten counts
    as new again, which only repeats the removal.
    """

    def __init__(self, retention_ms: float, max_purges: int) -> None:
        self._retention_ms = retention_ms
        self._max_purges = max_purges
        # By target, the oldest first.
        self._accepted: dict[Hashable, _AcceptedPurge] = {}

    def __len__(self) -> int:
        return len(self._accepted)

    def accept_if_new(self, now: float, target: Hashable, issued_unix_ms: float) -> bool:
        """Accept a purge, and return True, unless one of its target that is no older is known."""
        known = self._accepted.get(target)
        if known is not None and issued_unix_ms <= known.issued_unix_ms and not self._has_expired(known, now):
            return False
        self._accepted.pop(target, None)
        self._accepted[target] = _AcceptedPurge(issued_unix_ms, now)
        self._forget_oldest(now)
        return True

    def _has_expired(self, purge: _AcceptedPurge, now: float) -> bool:
        return now - purge.accepted_at_ms >= self._retention_ms

    def _forget_oldest(self, now: float) -> None:
        for _ in range(min(MAX_REMOVALS_PER_CALL, len(self._accepted) - 1)):
            oldest = next(iter(self._accepted))
            if len(self._accepted) <= self._max_purges and not self._has_expired(self._accepted[oldest], now):
                return
            del self._accepted[oldest]
