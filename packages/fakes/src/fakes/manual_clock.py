"""A clock that a test advances, and the deadlines by it."""

from __future__ import annotations

from thornjunction.memory.deadlines import Deadlines

# Milliseconds at which the clock starts.
START_MS = 1000.0


class ManualClock:
    """Milliseconds that pass only when a test says so."""

    def __init__(self) -> None:
        self.now_ms = START_MS
        self.deadlines = Deadlines()

    def advance(self, elapsed_ms: float) -> None:
        """Let time pass; each deadline runs at its time, with no turn of the reactor between."""
        end_ms = self.now_ms + elapsed_ms
        while (due_ms := self.deadlines.next_due()) <= end_ms:
            self.now_ms = max(self.now_ms, due_ms)
            self.deadlines.run_due(self.now_ms)
        self.now_ms = end_ms
