"""Schedules the probes of sources that are not polled."""

from __future__ import annotations

import math

from sansio_core import RandomSource

from control_client.backoff import exponential_backoff, jittered
from control_client.selection_timings import SelectionTimings
from control_client.source_health import SourceHealth

# Time after which a probe without a reported result counts as failed.
PROBE_TIMEOUT_MS = 3000.0


class ProbeScheduler:
    """Plans probes of preferred sources, and of all alternatives while the polled source is degraded.

    ``rounds`` counts the rounds of probes since the polled source became degraded; the time between rounds
    increases.
    """

    def __init__(self, timings: SelectionTimings, draw: RandomSource) -> None:
        self.rounds = 0
        self._timings = timings
        self._draw = draw

    def plan(self, source: SourceHealth, now: float, *, is_preferred: bool, is_alternative: bool) -> None:
        """Plan the next probe of a source that is not polled, unless one is in flight."""
        if source.is_probed:
            return
        if not is_preferred and not is_alternative:
            source.next_probe_ms = math.inf
            source.mark_unhealthy()
            return
        doublings = source.consecutive_failures
        if is_alternative:
            doublings = max(doublings, self.rounds - 1)
        interval_ms = exponential_backoff(
            self._timings.probe_interval_ms, doublings, self._timings.max_probe_interval_ms
        )
        source.next_probe_ms = now + jittered(interval_ms, self._draw)

    def start(self, source: SourceHealth, now: float) -> None:
        """Record that a probe of this source is sent."""
        source.next_probe_ms = math.inf
        source.probe_deadline_ms = now + PROBE_TIMEOUT_MS
