"""Admission gates: what share of new work may proceed, learnt from how earlier work ended.

Additive increase and multiplicative decrease (Chiu and Jain, 1989), as in TCP's congestion avoidance.
"""

from __future__ import annotations

import math
from collections.abc import Callable

# Factor of the share for one late answer, and its growth for one in time: with a fifth of the answers
# late the gate stays open, with a half late about a third of the work is admitted.
LATE_FACTOR = 0.85
IN_TIME_INCREASE = 0.04
# Some work is always admitted, or no answer could tell that the trouble is over.
LOWEST_SHARE = 0.05
# Share regained in each ms without regard to answers: seven seconds from shut to open.
RECOVERY_PER_MS = 0.00015
# The largest requests get at least this multiple of their class's chance; half of their answers are owed.
LARGE_REQUEST_FACTOR = 0.7
# A late answer speaks for the time since the answer before it: one more for each span, up to a limit.
ANSWER_SPAN_MS = 50.0
MAX_ANSWERS_FOR_ONE = 9.0


class AdmissionGate:
    """Admits a share of new work, by the share of answers that come in time.

    A share holds for one busy router and for hundreds that have one request in flight each, as a count
    would not. Large requests are rejected first: more requests are served for the same bytes. Within a
    class that is bounded, or large requests would hardly be served at all.

    One of hundreds of routers gets few answers. So a late answer weighs more the longer none came before
    it, as it stands for those that other routers got meanwhile; and the gate opens with time as well.
    """

    def __init__(self, recovery_per_ms: float = RECOVERY_PER_MS) -> None:
        self.recovery_per_ms = recovery_per_ms
        self.share = 1.0
        self.updated_at_ms = 0.0
        self._last_answer_at_ms = -math.inf

    def record(self, now_ms: float, *, late: bool) -> None:
        """Learn from an answer, in time or late; a rejection for overload counts as late."""
        since_last_ms = max(now_ms - self._last_answer_at_ms, 0.0)
        weight = min(1.0 + since_last_ms / ANSWER_SPAN_MS, MAX_ANSWERS_FOR_ONE)
        share = self.current_share(now_ms)
        self._last_answer_at_ms = now_ms
        if late:
            self.share = max(LATE_FACTOR**weight * share, LOWEST_SHARE)
        else:
            self.share = min(share + IN_TIME_INCREASE, 1.0)

    def current_share(self, now_ms: float) -> float:
        """Return the share of work that is admitted now, with what time alone has regained."""
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
        """Decide on one request; draws a random number only where the gate is not fully open.

        ``size_weight`` is the request's size over the mean of all, ``class_weight`` its class's mean size
        over the same.
        """
        share = self.current_share(now_ms)
        if share >= 1:
            return True
        chance: float = max(share**size_weight, LARGE_REQUEST_FACTOR * share**class_weight)
        return draw() < chance
