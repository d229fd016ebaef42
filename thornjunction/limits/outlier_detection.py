"""Outlier detection: ejects a server after repeated failures for a limited time."""

from __future__ import annotations

import math

# Consecutive failures that eject a server; fewer may be chance, and an ejection moves its objects.
EJECT_AFTER_FAILURES = 5
# Duration of the first ejection; each further one lasts twice as long.
FIRST_EJECTION_MS = 500.0
# Upper bound of the duration of an ejection.
MAX_EJECTION_MS = 4_000.0
# Time between resets within which they count as one broken connection.
SAME_RESET_MS = 10.0


class OutlierDetector:
    """Counts the consecutive failures of one server and ejects it.

    A server that loses single answers still has its objects cached and stays in service.
    """

    def __init__(self) -> None:
        self.consecutive_failures = 0
        # Duration of the present ejection, also after its end until the trial; 0 while in service.
        self.ejected_for_ms = 0.0
        self._ejected_until_ms = -math.inf
        self._last_reset_at_ms = -math.inf

    @property
    def is_ejected(self) -> bool:
        """Whether the server is ejected, or on trial after an ejection."""
        return self.ejected_for_ms > 0

    def is_trial_due(self, now_ms: float) -> bool:
        """Return whether an ejected server may get one attempt as a trial."""
        return now_ms >= self._ejected_until_ms

    def eject(self, now_ms: float) -> None:
        """Eject the server, for twice as long as the last time."""
        self.ejected_for_ms = min(max(FIRST_EJECTION_MS, 2 * self.ejected_for_ms), MAX_EJECTION_MS)
        self._ejected_until_ms = now_ms + self.ejected_for_ms

    def record_success(self) -> bool:
        """Record an answer; return whether it ends an ejection."""
        self.consecutive_failures = 0
        recovered = self.ejected_for_ms > 0
        self.ejected_for_ms = 0.0
        return recovered

    def record_failure(self, now_ms: float) -> None:
        """Record a failure; enough consecutive ones, or a failed trial, eject the server."""
        self.consecutive_failures += 1
        self._eject_if_due(now_ms)

    def record_refused_connection(self, now_ms: float) -> None:
        """Record a refused connection, which alone ejects the server.

        Connection attempts of hundreds of routers would overload a server that is restarting.
        """
        self.consecutive_failures = EJECT_AFTER_FAILURES
        self._eject_if_due(now_ms)

    def record_reset(self, now_ms: float) -> None:
        """Record an attempt whose connection was reset.

        All attempts on that connection end together and count as one failure.
        """
        if now_ms - self._last_reset_at_ms > SAME_RESET_MS:
            self.record_failure(now_ms)
        self._last_reset_at_ms = now_ms

    def _eject_if_due(self, now_ms: float) -> None:
        """Eject the server after a failed trial or enough failures, unless it is ejected already."""
        if now_ms < self._ejected_until_ms:
            return
        if self.ejected_for_ms or self.consecutive_failures >= EJECT_AFTER_FAILURES:
            self.eject(now_ms)
