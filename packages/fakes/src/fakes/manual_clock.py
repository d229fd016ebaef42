"""A clock that a test advances, with deadlines that it runs."""

from __future__ import annotations

from thornjunction.memory.deadlines import Deadlines

# Milliseconds at which the clock starts.
START_MS = 1000.0


class ManualClock:
    """A millisecond clock that advances only when a test calls ``advance``."""

    def __init__(self) -> None:
        self.now_ms = START_MS
        self.deadlines = Deadlines()

    def advance(self, elapsed_ms: float) -> None:
        """Advance the clock; each deadline runs at its due time, and the reactor does not run in between."""
        end_ms = self.now_ms + elapsed_ms
        while (due_ms := self.deadlines.next_due()) <= end_ms:
            self.now_ms = max(self.now_ms, due_ms)
            self.deadlines.run_due(self.now_ms)
        self.now_ms = end_ms
