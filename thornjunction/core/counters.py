"""Counts and latencies of requests and attempts, for an exporter that takes snapshots of them."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from thornjunction import interface as api
from thornjunction.core.ports import RequestOutcome

# Greatest number of metrics; further ones are not counted.  Class names come from the settings, so that far
# fewer are expected.
MAX_METRICS = 256

# Name under which requests are counted whose class is in no settings.
UNKNOWN_CLASS = "unknown"


@dataclass(slots=True)
class LatencySummary:
    """Latencies of one kind of event.

    Attributes:
        count: number of latencies.
        total_ms: sum of the latencies.
        max_ms: greatest latency.
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
    """A copy of the counters at one time.

    Attributes:
        counts: events since the start of the process, by metric.
        latencies: latencies since the last snapshot, by metric.
    """

    counts: dict[str, int]
    latencies: dict[str, LatencySummary]


@dataclass(slots=True)
class Counters:
    """The engine's observer that counts requests and attempts for the export of metrics.

    Attributes:
        counts: events since the start of the process, by metric.
        latencies: latencies since the last snapshot, by metric.
        classes: names of all request classes of the present and of earlier settings.
    """

    counts: Counter[str] = field(default_factory=Counter)
    latencies: dict[str, LatencySummary] = field(default_factory=dict)
    classes: set[str] = field(default_factory=set)

    def request_ended(self, class_name: str, outcome: RequestOutcome, took_ms: float) -> None:
        """Count an ended request; all class names that are in no settings are counted together."""
        known_name = class_name if class_name in self.classes else UNKNOWN_CLASS
        self._add(f"requests.{known_name}.{outcome.value}", took_ms)

    def attempt_ended(self, status: api.AttemptStatus, took_ms: float) -> None:
        """Count an ended attempt and its latency by its status."""
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
