"""Conversion of Unix times from discovery to the core's clock (``docs/design/clocks.md``)."""

from __future__ import annotations

import math
import time
from collections.abc import Callable

from thornjunction.net.event_loop.timer_service import core_ms

# Milliseconds by which the clocks of discovery and of this machine may differ while both count as correct.
MAX_SKEW_MS = 1000.0


class UnixClock:
    """Converts Unix time to the core's clock by an offset that a step of the machine's clock does not change.

    The offset is measured once.  It is measured again only if a time from discovery contradicts it and agrees
    with this machine's present clock: then that clock was wrong at the first measurement, or it was stepped
    together with discovery's.
    """

    def __init__(
        self, clock: Callable[[], float] = core_ms, unix_s: Callable[[], float] | None = None
    ) -> None:
        self._clock = clock
        self._unix_s = unix_s or time.time
        self._offset_ms = self._measure_offset_ms()

    def now_ms(self) -> float:
        """Return the Unix time in milliseconds, by the stored offset."""
        return self._clock() + self._offset_ms

    def to_core(self, unix_ms: float, recent_ms: float = math.inf) -> float:
        """Return the time of a past event on the core's clock, which is now at the latest.

        The age of events older than ``recent_ms`` does not matter.  If an event is recent by both offsets,
        the lower age is used: to overestimate the age of a purge or a start breaks a rule, to underestimate
        it costs a little work.
        """
        measured_ms = self._measure_offset_ms()
        credible = [
            offset_ms
            for offset_ms in (self._offset_ms, measured_ms)
            if -MAX_SKEW_MS <= self._clock() + offset_ms - unix_ms <= recent_ms
        ]
        if credible and self._offset_ms not in credible:
            self._offset_ms = measured_ms
        offset_ms = min(credible) if credible and math.isfinite(recent_ms) else self._offset_ms
        return min(unix_ms - offset_ms, self._clock())

    def _measure_offset_ms(self) -> float:
        return self._unix_s() * 1000.0 - self._clock()
