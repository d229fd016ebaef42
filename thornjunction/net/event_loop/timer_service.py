"""The core's clock, and the service that runs its deadlines using one delayed call of the reactor."""

from __future__ import annotations

import math
import time

from thornjunction.log_events import LogEvent
from thornjunction.logs import get_logger
from thornjunction.memory.deadlines import DeadlineCallbackErrors, Deadlines
from thornjunction.net.event_loop.ports import DelayedCall, Reactor

# Added to the monotonic clock, so that a server's start before this machine's boot still has a time above
# zero, which the decisions take as long ago.
CLOCK_OFFSET_MS = 1e9

# Lag of the event loop above which sockets are read once before deadlines run.  It is half of the 0.1 s after
# which no attempt may start for a client that has left.
MAX_LAG_MS = 50.0

log = get_logger("net")


def core_ms() -> float:
    """Return the time of the core's clock, in monotonic milliseconds."""
    return time.monotonic() * 1000.0 + CLOCK_OFFSET_MS


class TimerService:
    """Runs the callbacks of ``deadlines`` when they are due, using one delayed call for the earliest."""

    def __init__(self, reactor: Reactor) -> None:
        self.reactor = reactor
        self.deadlines = Deadlines(self._schedule)
        self._call: DelayedCall | None = None
        self._due_ms = math.inf
        self._has_yielded = False

    def stop(self) -> None:
        """Stop running deadlines until the next one is added."""
        if self._call is not None and self._call.active():
            self._call.cancel()

    def _schedule(self, due_ms: float) -> None:
        if self._call is not None and self._call.active():
            if self._due_ms <= due_ms:
                return
            self._call.cancel()
        self._due_ms = due_ms
        self._call = self.reactor.callLater(max(due_ms - core_ms(), 0.0) / 1000.0, self._on_expiry)

    def _on_expiry(self) -> None:
        now = core_ms()
        self._call = None
        if now - self._due_ms > MAX_LAG_MS and not self._has_yielded:
            # After a long iteration the event loop first reads its sockets once.  Otherwise attempts would be
            # retried for clients that have left, and would time out although their responses have arrived.
            self._has_yielded = True
            self._call = self.reactor.callLater(0, self._on_expiry)
            return
        self._has_yielded = False
        try:
            self.deadlines.run_due(now)
        except DeadlineCallbackErrors:
            log.exception(LogEvent.DEADLINE_FAILED)
        next_due_ms = self.deadlines.next_due()
        if next_due_ms < math.inf:
            self._schedule(next_due_ms)
