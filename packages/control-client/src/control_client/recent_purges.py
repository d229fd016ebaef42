"""The purges that were taken recently, by target."""

from __future__ import annotations

from collections.abc import Hashable
from typing import NamedTuple

MAX_REMOVALS_PER_CALL = 2
"""More than the one addition per call, so that memory shrinks while no call is long."""


class _TakenPurge(NamedTuple):
    issued_unix_ms: float
    taken_at_ms: float


class RecentPurges:
    """Recognizes purges that were taken before.

    A purge is remembered for ``retention_ms``, and at most ``max_purges`` are.  One that was forgotten counts
    as new again, which only repeats it.
    """

    def __init__(self, retention_ms: float, max_purges: int) -> None:
        self._retention_ms = retention_ms
        self._max_purges = max_purges
        self._taken: dict[Hashable, _TakenPurge] = {}  # oldest first

    def __len__(self) -> int:
        return len(self._taken)

    def is_new(self, now: float, target: Hashable, issued_unix_ms: float) -> bool:
        """Return whether no purge of the target issued then or later was taken; remember it if so."""
        known = self._taken.get(target)
        if known is not None and issued_unix_ms <= known.issued_unix_ms and not self._has_expired(known, now):
            return False
        self._taken.pop(target, None)
        self._taken[target] = _TakenPurge(issued_unix_ms, now)
        self._forget_oldest(now)
        return True

    def _has_expired(self, purge: _TakenPurge, now: float) -> bool:
        return now - purge.taken_at_ms >= self._retention_ms

    def _forget_oldest(self, now: float) -> None:
        for _ in range(min(MAX_REMOVALS_PER_CALL, len(self._taken) - 1)):
            oldest = next(iter(self._taken))
            if len(self._taken) <= self._max_purges and not self._has_expired(self._taken[oldest], now):
                return
            del self._taken[oldest]
