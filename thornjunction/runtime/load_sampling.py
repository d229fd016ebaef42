"""Samples the delay of the event loop and the processor time for load shedding."""

from __future__ import annotations

import math
import time
from collections.abc import Callable

from thornjunction.core.load_shedding import SAMPLE_INTERVAL_MS, LoadShedder
from thornjunction.memory.deadlines import Deadlines


class LoadSampler:
    """Takes a sample every ``SAMPLE_INTERVAL_MS`` once it is started.

    Args:
        load_shedder: receives the samples.
        deadlines: the queue of deadlines.
        clock: the core's clock, in ms.
        delay_ms: returns for how long the oldest queued work has waited at a given time of the clock.
        overhead_ms: returns the processor time that clients have used without requests that reach the core;
            it counts as unused, since the rejection of other requests would not lower it.
    """

    def __init__(
        self,
        load_shedder: LoadShedder,
        deadlines: Deadlines,
        clock: Callable[[], float],
        delay_ms: Callable[[float], float],
        overhead_ms: Callable[[], float],
    ) -> None:
        self._load_shedder = load_shedder
        self._deadlines = deadlines
        self._clock = clock
        self._delay_ms = delay_ms
        self._overhead_ms = overhead_ms
        self._due_ms = 0.0
        self._previous_ms = -math.inf  # so that the first sample reports a processor share of 0
        self._previous_processor_s = 0.0

    def start(self) -> None:
        """Take the first sample now and schedule the others."""
        self._due_ms = self._clock()
        self._take_sample()

    def _take_sample(self) -> None:
        """Record a sample and schedule the next one."""
        now_ms = self._clock()
        processor_s = time.process_time() - self._overhead_ms() / 1000.0
        late_ms = max(now_ms - self._due_ms, self._delay_ms(now_ms))
        self._load_shedder.record_sample(late_ms, self._processor_share(now_ms, processor_s))
        self._previous_ms = now_ms
        self._previous_processor_s = processor_s
        self._due_ms = now_ms + SAMPLE_INTERVAL_MS
        self._deadlines.add(self._due_ms, self._take_sample)

    def _processor_share(self, now_ms: float, processor_s: float) -> float:
        """Return the share of one processor core that the process used since the previous sample."""
        wall_s = (now_ms - self._previous_ms) / 1000.0
        return (processor_s - self._previous_processor_s) / wall_s
