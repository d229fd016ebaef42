"""Outlier detection: which servers are ejected after failures, and for how long."""

from __future__ import annotations

import math

# Failures in a row that eject a server; fewer are as likely chance, and its objects would move.
EJECT_AFTER_FAILURES = 5
# ms of a first ejection; each further one lasts twice as long, up to the longest.
FIRST_EJECTION_MS = 500.0
MAX_EJECTION_MS = 4_000.0
# ms between resets within which they count as one broken connection.
SAME_RESET_MS = 10.0


class OutlierDetector:
    """Failures in a row of one server, and its ejection.

    A server that loses some answers still holds its objects and stays in service.
    """

    def __init__(self) -> None:
        self.consecutive_failures = 0
        # Length of the present ejection, and of the last one while it waits for its trial; 0: in service.
        self.ejected_for_ms = 0.0
        self._ejected_until_ms = -math.inf
        self._last_reset_at_ms = -math.inf

    @property
    def is_ejected(self) -> bool:
        """Whether the server is out of service, or on trial after that."""
        return self.ejected_for_ms > 0

    def is_trial_due(self, now_ms: float) -> bool:
        """Tell whether an ejected server may get one attempt as a trial."""
        return now_ms >= self._ejected_until_ms

    def eject(self, now_ms: float) -> None:
        """Take the server out of service, for twice as long as the last time."""
        self.ejected_for_ms = min(max(FIRST_EJECTION_MS, 2 * self.ejected_for_ms), MAX_EJECTION_MS)
        self._ejected_until_ms = now_ms + self.ejected_for_ms

    def record_success(self) -> bool:
        """Record an answer; return whether it brings an ejected server back into service."""
        self.consecutive_failures = 0
        recovered = self.ejected_for_ms > 0
        self.ejected_for_ms = 0.0
        return recovered

    def record_failure(self, now_ms: float) -> None:
        """Record a failure; enough of them in a row, or a failed trial, eject the server."""
        self.consecutive_failures += 1
        self._eject_if_due(now_ms)

    def record_refused_connection(self, now_ms: float) -> None:
        """Record a refused connection, which alone ejects the server.

        Hundreds of routers that keep trying would push over a server that comes back.
        """
        self.consecutive_failures = EJECT_AFTER_FAILURES
        self._eject_if_due(now_ms)

    def record_reset(self, now_ms: float) -> None:
        """Record an attempt whose connection broke.

        All attempts on that connection end together; they count as one failure, however many there were.
        """
        if now_ms - self._last_reset_at_ms > SAME_RESET_MS:
            self.record_failure(now_ms)
        self._last_reset_at_ms = now_ms

    def _eject_if_due(self, now_ms: float) -> None:
        if now_ms < self._ejected_until_ms:
            return
        if self.ejected_for_ms or self.consecutive_failures >= EJECT_AFTER_FAILURES:
            self.eject(now_ms)
