"""Wakes the deadlines, by one reactor call for the nearest of them; and the core's clock."""

from __future__ import annotations

import math
import time
from typing import Any

from thornjunction.log_events import LogEvent
from thornjunction.logs import get_logger
from thornjunction.memory.deadlines import DeadlineCallbackErrors, Deadlines

log = get_logger("net")

EARLY_MS = 1e9  # keeps starts before this machine's own boot above zero, which the module reads as "long ago"

LATE_MS = 50.0  # of a ring: half of the 0.1 s after which no attempt may begin for a client that has left


def core_ms() -> float:
    """The core's clock: monotonic milliseconds."""
    return time.monotonic() * 1000.0 + EARLY_MS


class TimerService:
    """Runs ``deadlines`` from the reactor."""

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.deadlines = Deadlines(self._arm)
        self._call: Any = None
        self._at, self._late = math.inf, False

    def _arm(self, when: float) -> None:
        if self._call is not None and self._call.active():
            if self._at <= when:
                return
            self._call.cancel()
        self._at = when
        self._call = self.reactor.callLater(max(when - core_ms(), 0.0) / 1000.0, self._ring)

    def _ring(self) -> None:
        now, self._call = core_ms(), None
        if now - self._at > LATE_MS and not self._late:
            # Guards clients that have left meanwhile against a retry, and answers that have come against a
            # time-out: after a long turn the event loop goes to its sockets first, once.
            self._late, self._call = True, self.reactor.callLater(0, self._ring)
            return
        self._late = False
        try:
            self.deadlines.run_due(now)
        except DeadlineCallbackErrors:
            log.exception(LogEvent.DEADLINE_FAILED)
        due = self.deadlines.next_due()
        if due < math.inf:
            self._arm(due)

    def stop(self) -> None:
        if self._call is not None and self._call.active():
            self._call.cancel()
