"""The time that a source has to answer a poll."""

from __future__ import annotations

import math

from control_client.backoff import exponential_backoff
from control_client.selection_timings import SelectionTimings

# A timer that fires later than this shows that this process was delayed and may have unread responses.
LATE_TIMER_MS = 100.0

# Upper bound of the grace period that a late timer grants to read them.
MAX_GRACE_MS = 500.0


class ResponseTimeout:
    """Deadline of the current poll, infinite where none is in flight.

    Consecutive timeouts, of any sources, double the time: if sources are slow because many clients arrive at
    once, polling one after the other would only make them encode complete states that are never read.
    """

    def __init__(self, timings: SelectionTimings) -> None:
        self.deadline_ms = math.inf
        self._timings = timings
        self._consecutive_timeouts = 0

    def start(self, now: float) -> None:
        """Set the deadline of a poll that is sent now, or of the connection for it."""
        timeout_ms = exponential_backoff(
            self._timings.response_timeout_ms,
            self._consecutive_timeouts,
            self._timings.max_response_timeout_ms,
        )
        self.deadline_ms = now + timeout_ms

    def response_received(self) -> None:
        """Clear the deadline, and the count of consecutive timeouts."""
        self.deadline_ms = math.inf
        self._consecutive_timeouts = 0

    def record_timeout(self) -> None:
        """Count a timeout."""
        self._consecutive_timeouts += 1

    def has_expired(self, now: float, timer_late_ms: float) -> bool:
        """Return whether the source timed out; a late timer grants a grace period instead."""
        if now < self.deadline_ms:
            return False
        if timer_late_ms > LATE_TIMER_MS:
            self.deadline_ms = now + min(timer_late_ms, MAX_GRACE_MS)
            return False
        return True
