"""Unix times that discovery tells, on the core's clock (``docs/design/clocks.md``)."""

from __future__ import annotations

import math
import time
from collections.abc import Callable

from thornjunction.net.event_loop.timer_service import core_ms

SKEW_MS = 1000.0  # by which the clocks of discovery and of this machine may differ while both are right


class UnixClock:
    """The offset between Unix time and the core's clock, taken once: a step of this machine's clock does not
    move it.

    It is taken anew only where a told time speaks against it, and for the machine's clock as that reads now:
    then that clock was wrong when the offset was taken, or discovery's was stepped with it."""

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

        ``recent_ms``: of what was told just now; what is older than that matters no more.  Where both offsets
        make it a recent one, it counts as the younger: to take a purge or a start for older than it is breaks
        a rule, to take it for younger costs a little work."""
        read_ms = self._read_offset_ms()
        credible = [
            offset_ms
            for offset_ms in (self._offset_ms, read_ms)
            if -SKEW_MS <= self._clock() + offset_ms - unix_ms <= recent_ms
        ]
        if credible and self._offset_ms not in credible:
            self._offset_ms = read_ms
        offset_ms = min(credible) if credible and math.isfinite(recent_ms) else self._offset_ms
        return min(unix_ms - offset_ms, self._clock())

    def _read_offset_ms(self) -> float:
        return self._unix_s() * 1000.0 - self._clock()
