"""Unix times that discovery tells, on the core's clock (``docs/design/clocks.md``)."""

from __future__ import annotations

import math
import time
from collections.abc import Callable

from thornjunction.net.alarm import core_ms

SKEW_MS = 1000.0  # by which the clocks of discovery and of this machine may differ while both are right


class UnixClock:
    """The offset between Unix time and the core's clock, taken once: a step of this machine's clock does not
    move it.

    It is taken anew only where a told time speaks against it and for the machine's clock as that reads now:
    that one was wrong when the offset was taken, and has been set right since."""

    def __init__(
        self, clock: Callable[[], float] = core_ms, unix_s: Callable[[], float] | None = None
    ) -> None:
        self._clock, self._unix_s = clock, unix_s or time.time
        self._offset_ms = self._read_offset_ms()

    def now_ms(self) -> float:
        """Unix milliseconds, by the offset that is kept."""
        return self._clock() + self._offset_ms

    def to_core(self, unix_ms: float, recent_ms: float = math.inf) -> float:
        """The time of something that has happened, on the core's clock: this moment at the latest.

        ``recent_ms``: what is older can't be, or matters no more.  The offset is doubted where it makes the
        time one to come, or an older one."""
        if not self._is_credible(unix_ms, self._offset_ms, recent_ms):
            offset_ms = self._read_offset_ms()
            if self._is_credible(unix_ms, offset_ms, recent_ms):
                self._offset_ms = offset_ms
        return min(unix_ms - self._offset_ms, self._clock())

    def _is_credible(self, unix_ms: float, offset_ms: float, recent_ms: float) -> bool:
        age_ms = self._clock() + offset_ms - unix_ms
        return -SKEW_MS <= age_ms <= recent_ms

    def _read_offset_ms(self) -> float:
        return self._unix_s() * 1000.0 - self._clock()
