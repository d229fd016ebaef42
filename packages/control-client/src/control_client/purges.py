"""The purges that were taken and still hold, by what they purge."""

from __future__ import annotations

from collections.abc import Hashable


class PurgeMemory:
    """Tells purges that say something new from those that were taken before.  An entry is kept for
    ``hold_ms`` after it was taken, and ``most`` are kept; one that was forgotten counts as new again,
    which costs a repeat of what was done."""

    def __init__(self, hold_ms: float, most: int) -> None:
        self.hold_ms, self.most = hold_ms, most
        self._taken: dict[Hashable, tuple[float, float]] = {}  # when it was issued, when taken; oldest first

    def __len__(self) -> int:
        return len(self._taken)

    def is_new(self, now: float, what: Hashable, when_ms: float) -> bool:
        """Whether no purge of the same with this time or a later one was taken; remembers it if so."""
        known = self._taken.get(what)
        if known is not None and when_ms <= known[0] and now - known[1] < self.hold_ms:
            return False
        self._taken.pop(what, None)
        self._taken[what] = (when_ms, now)
        self._forget(now)
        return True

    def _forget(self, now: float) -> None:
        """At most two a call: the memory shrinks faster than it grows, and no call is long."""
        for _ in range(min(2, len(self._taken) - 1)):
            oldest = next(iter(self._taken))
            if len(self._taken) <= self.most and now - self._taken[oldest][1] < self.hold_ms:
                return
            del self._taken[oldest]
