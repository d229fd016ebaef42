"""Admission gates: the share of new requests that is admitted, adjusted by the outcomes of earlier ones.

Additive increase and multiplicative decrease (Chiu and Jain, 1989), as in TCP's congestion avoidance.
"""

from __future__ import annotations

import math
from collections.abc import Callable

# Factor by which one late answer reduces the share. With a fifth of the answers late the gate stays open,
# with half of them late about a third of the requests is admitted.
LATE_FACTOR = 0.85
# Amount by which one answer in time increases the share.
IN_TIME_INCREASE = 0.04
# Lower bound of the share: some requests are always admitted, whose answers show that the overload is over.
MIN_SHARE = 0.05
# Increase of the share in each ms, whatever the answers are: a shut gate is fully open after seven seconds.
RECOVERY_PER_MS = 0.00015
# Lower bound of a large request's probability of admission, as a multiple of its class's, so that large
# requests are not all rejected.
LARGE_REQUEST_FACTOR = 0.7
# A late answer counts as one more for each such time since the previous answer, because other routers
# received late answers in the meantime.
ANSWER_SPAN_MS = 50.0
# Upper bound of the number of answers that one late answer counts as.
MAX_ANSWER_WEIGHT = 9.0


class AdmissionGate:
    """Admits a share of new requests, depending on the share of answers that arrive in time.

    A share works for one busy router as well as for hundreds with one request in flight each, where a limit
    on concurrent requests would not. Large requests are rejected first, so that more requests are served for
    the same bytes; ``LARGE_REQUEST_FACTOR`` bounds that within a class.

    Each of hundreds of routers gets few answers. So a late answer has more weight the longer ago the previous
    answer arrived, and the share also increases with time.
    """

    def __init__(self, recovery_per_ms: float = RECOVERY_PER_MS) -> None:
        self.recovery_per_ms = recovery_per_ms
        self.share = 1.0
        self.updated_at_ms = 0.0
        self._last_answer_at_ms = -math.inf

    def record(self, now_ms: float, *, late: bool) -> None:
        """Update the share for one answer; a rejection for overload counts as late."""
        since_last_ms = max(now_ms - self._last_answer_at_ms, 0.0)
        weight = min(1.0 + since_last_ms / ANSWER_SPAN_MS, MAX_ANSWER_WEIGHT)
        share = self.current_share(now_ms)
        self._last_answer_at_ms = now_ms
        if late:
            self.share = max(LATE_FACTOR**weight * share, MIN_SHARE)
        else:
            self.share = min(share + IN_TIME_INCREASE, 1.0)

    def current_share(self, now_ms: float) -> float:
        """Return the share of requests that is admitted now, after its increase with time."""
        if self.share < 1.0:
            elapsed_ms = max(now_ms - self.updated_at_ms, 0.0)
            self.share = min(self.share + self.recovery_per_ms * elapsed_ms, 1.0)
        self.updated_at_ms = now_ms
        return self.share

    def admits(
        self,
        now_ms: float,
        draw: Callable[[], float],
        size_weight: float = 1.0,
        class_weight: float = 1.0,
    ) -> bool:
        """Return whether one request is admitted; draws a random number only if the gate is not fully open.

        ``size_weight`` is the request's size, ``class_weight`` the mean size of its class, both divided by
        the mean size of all requests.
        """
        share = self.current_share(now_ms)
        if share >= 1:
            return True
        chance: float = max(share**size_weight, LARGE_REQUEST_FACTOR * share**class_weight)
        return draw() < chance
