"""Counts and latencies of requests and attempts, for a reader that polls them."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from thornjunction import interface as api
from thornjunction.core.ports import RequestOutcome

# Metrics that are counted; class names come from the settings, so that there are far fewer.
MAX_METRICS = 256

# Name under which requests of classes are counted that are in no settings.
UNKNOWN_CLASS = "unknown"


@dataclass(slots=True)
class LatencySummary:
    """Latencies of one kind of event.

    Attributes:
        count: how many there were.
        total_ms: their sum.
        max_ms: the greatest.
    """

    count: int = 0
    total_ms: float = 0.0
    max_ms: float = 0.0

    def add(self, took_ms: float) -> None:
        """Add one latency."""
        self.count += 1
        self.total_ms += took_ms
        self.max_ms = max(self.max_ms, took_ms)


@dataclass(frozen=True, slots=True)
class CountersSnapshot:
    """State of the counters at one time.

    Attributes:
        counts: events since the start of the process, by metric.
        latencies: latencies since the last snapshot, by metric.
    """

    counts: dict[str, int]
    latencies: dict[str, LatencySummary]


@dataclass(slots=True)
class Counters:
    """The observer that counts for the export of metrics.

    Attributes:
        counts: events since the start of the process, by metric.
        latencies: latencies since the last snapshot, by metric.
        classes: names of all classes of the present settings and of earlier ones.
    """

    counts: Counter[str] = field(default_factory=Counter)
    latencies: dict[str, LatencySummary] = field(default_factory=dict)
    classes: set[str] = field(default_factory=set)

    def request_ended(self, class_name: str, outcome: RequestOutcome, took_ms: float) -> None:
        """Count a request; class names that clients invent are counted together."""
        known_name = class_name if class_name in self.classes else UNKNOWN_CLASS
        self._add(f"requests.{known_name}.{outcome.value}", took_ms)

    def attempt_ended(self, status: api.AttemptStatus, took_ms: float) -> None:
        """Count an attempt."""
        self._add(f"attempts.{status.value.replace(' ', '_')}", took_ms)

    def _add(self, metric: str, took_ms: float) -> None:
        if metric not in self.counts and len(self.counts) >= MAX_METRICS:
            return
        self.counts[metric] += 1
        self.latencies.setdefault(metric, LatencySummary()).add(took_ms)

    def take_snapshot(self) -> CountersSnapshot:
        """Return the counts and the latencies, and reset the latencies."""
        snapshot = CountersSnapshot(dict(self.counts), self.latencies)
        self.latencies = {}
        return snapshot
