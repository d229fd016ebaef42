"""Counts and latencies of final answers and attempts; a reader takes them away at its own pace."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from thornjunction import interface as api
from thornjunction.core.ports import Answer

MAX_NAMES = 256  # kinds of figures; classes come from the settings, so this is never near


@dataclass(slots=True)
class Latency:
    """Of one kind of event, in ms."""

    count: int = 0
    total: float = 0.0
    most: float = 0.0

    def add(self, took_ms: float) -> None:
        self.count, self.total, self.most = self.count + 1, self.total + took_ms, max(self.most, took_ms)


@dataclass(slots=True)
class Counters:
    """The observer whose figures the metrics send."""

    counts: Counter[str] = field(default_factory=Counter)  # since the start
    latencies: dict[str, Latency] = field(default_factory=dict)  # since last taken
    classes: set[str] = field(default_factory=set)  # of the settings, now and before

    def answered(self, class_name: str, answer: Answer | None, took_ms: float) -> None:
        how = "abandoned" if answer is None else type(answer).__name__.lower()
        # Guards the table against clients that make names up.
        name = class_name if class_name in self.classes else "unknown"
        self._add(f"requests.{name}.{how}", took_ms)

    def attempted(self, status: api.Status, took_ms: float) -> None:
        self._add(f"attempts.{status.value.replace(' ', '_')}", took_ms)

    def _add(self, name: str, took_ms: float) -> None:
        if name not in self.counts and len(self.counts) >= MAX_NAMES:
            return
        self.counts[name] += 1
        self.latencies.setdefault(name, Latency()).add(took_ms)

    def take(self) -> tuple[dict[str, int], dict[str, Latency]]:
        """Counts since the start, and latencies since the last call."""
        latencies, self.latencies = self.latencies, {}
        return dict(self.counts), latencies
