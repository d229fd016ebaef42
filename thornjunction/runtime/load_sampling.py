"""Samples of the event loop's delay and of the processor time, for load shedding."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from thornjunction.core.load_shedding import SAMPLE_INTERVAL_MS, LoadShedder
from thornjunction.memory.deadlines import Deadlines


@dataclass(frozen=True, slots=True)
class Sample:
    """One sample.

    Attributes:
        at_ms: when it was taken.
        processor_s: processor time that the process had used by then.
    """

    at_ms: float
    processor_s: float


class LoadSampler:
    """Takes a sample at each interval once it is started.

    Args:
        load_shedder: is given the samples.
        deadlines: the queue of deadlines.
        clock: the core's clock, in ms.
        delay_ms: returns how late the oldest pending work is at a time of the clock.
    """

    def __init__(
        self,
        load_shedder: LoadShedder,
        deadlines: Deadlines,
        clock: Callable[[], float],
        delay_ms: Callable[[float], float],
    ) -> None:
        self._load_shedder = load_shedder
        self._deadlines = deadlines
        self._clock = clock
        self._delay_ms = delay_ms

    def start(self) -> None:
        """Take the first sample now."""
        self._take(due_ms=self._clock(), previous=None)

    def _take(self, due_ms: float, previous: Sample | None) -> None:
        sample = Sample(self._clock(), time.process_time())
        late_ms = max(sample.at_ms - due_ms, self._delay_ms(sample.at_ms))
        self._load_shedder.record_sample(late_ms, _processor_share(previous, sample))
        next_ms = sample.at_ms + SAMPLE_INTERVAL_MS
        self._deadlines.add(next_ms, lambda: self._take(next_ms, sample))


def _processor_share(previous: Sample | None, sample: Sample) -> float:
    """Return the share of one processor that the process used between two samples."""
    if previous is None:
        return 0.0
    wall_s = (sample.at_ms - previous.at_ms) / 1000.0
    return (sample.processor_s - previous.processor_s) / wall_s
