"""Low-water marks: the highest event number that all members have acknowledged.  They never decrease."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

from control_relay.active_purges import PurgeTarget

# Upper bound on the checkpoints; if it is exceeded, every other one is dropped, which only delays reports to
# the upstream.
MAX_CHECKPOINTS = 4_096


@dataclass(slots=True)
class PropagatingPurge:
    """A recent purge, kept for reports; ``propagated_at_ms`` is None until all members acknowledged it."""

    number: int
    target: PurgeTarget
    issued_unix_ms: float
    received_at_ms: float
    propagated_at_ms: float | None = None


class Checkpoint(NamedTuple):
    """Once ``local`` is acknowledged here, ``upstream`` is acknowledged in the upstream's numbers."""

    local: int
    upstream: int


class LowWaterMarks:
    """The low-water mark in the relay's numbers (``acknowledged``) and in the upstream's."""

    def __init__(self, acknowledged: int, recent_purges: int) -> None:
        self.acknowledged = acknowledged
        self.upstream_acknowledged = 0
        self.recent_purges: deque[PropagatingPurge] = deque(maxlen=max(1, recent_purges))
        self._last_upstream_number = 0
        self._checkpoints: deque[Checkpoint] = deque()

    def reset_upstream(self) -> None:
        """Forget the upstream's numbers, because they restart."""
        self.upstream_acknowledged = 0
        self._last_upstream_number = 0
        self._checkpoints.clear()

    def record_upstream_event(self, upstream_number: int) -> None:
        """Record that an upstream event was processed.

        Events of one response need not come in the order of their numbers: none counts as processed before
        ``add_checkpoint`` covers it.
        """
        self._last_upstream_number = max(self._last_upstream_number, upstream_number)

    def add_checkpoint(self, local_number: int, upstream_number: int) -> None:
        """Record that everything up to ``upstream_number`` is contained in events up to ``local_number``.

        An upstream number of 0 stands for the last event that was processed.
        """
        if self._checkpoints and self._checkpoints[-1].local == local_number:
            self._checkpoints.pop()
        self._checkpoints.append(Checkpoint(local_number, upstream_number or self._last_upstream_number))
        if len(self._checkpoints) > MAX_CHECKPOINTS:
            self._checkpoints = deque(list(self._checkpoints)[1::2])

    def advance(self, now: float, lowest_acknowledged: float, delivered: int) -> None:
        """Raise the marks to what all members have acknowledged.

        ``lowest_acknowledged`` is infinite without members: then all delivered events are acknowledged.
        """
        acknowledged = min(lowest_acknowledged, delivered)
        if acknowledged > self.acknowledged:
            self.acknowledged = int(acknowledged)
            self._mark_propagated(now)
        while self._checkpoints and self._checkpoints[0].local <= self.acknowledged:
            self.upstream_acknowledged = self._checkpoints.popleft().upstream

    def _mark_propagated(self, now: float) -> None:
        for purge in self.recent_purges:
            if purge.propagated_at_ms is None and purge.number <= self.acknowledged:
                purge.propagated_at_ms = now
