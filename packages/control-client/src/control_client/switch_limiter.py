"""Limits how often a selector switches sources without a failure."""

from __future__ import annotations

import math

from control_client.backoff import exponential_backoff
from control_client.selection_timings import SelectionTimings


class SwitchLimiter:
    """Doubles the interval between switches without a failure; resets it after ``stable_ms`` without one."""

    def __init__(self, timings: SelectionTimings) -> None:
        self.next_allowed_ms = -math.inf
        self._timings = timings
        self._last_switch_ms = -math.inf
        self._switches = 0

    def allows(self, now: float) -> bool:
        """Return whether a switch without a failure is allowed now."""
        return now >= self.next_allowed_ms

    def record(self, now: float) -> None:
        """Record a switch without a failure."""
        timings = self._timings
        if now - self._last_switch_ms >= timings.stable_ms:
            self._switches = 0
        interval_ms = exponential_backoff(
            timings.switch_interval_ms, self._switches, timings.max_switch_interval_ms
        )
        self.next_allowed_ms = now + interval_ms
        self._last_switch_ms = now
        self._switches += 1
