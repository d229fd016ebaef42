"""The sources of a selector, and the choice of those that may be polled."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from sansio_core import Address

from control_client.selection_timings import SelectionTimings
from control_client.source_health import SourceHealth

# Upper bound on the sources of a selector.
MAX_SOURCES = 16

# Consecutive failures of every upstream after which siblings are polled.
FAILURES_BEFORE_SIBLINGS = 2


class InvalidSourcesError(ValueError):
    """There is no source, there are too many, or one is named twice."""

    def __init__(self) -> None:
        super().__init__(f"between 1 and {MAX_SOURCES} sources are needed, each named once")


class SourcePool:
    """Upstreams in the operators' order, then siblings.  Raises InvalidSourcesError."""

    def __init__(
        self, upstreams: Sequence[Address], siblings: Sequence[Address], timings: SelectionTimings
    ) -> None:
        addresses = [*upstreams, *siblings]
        if not addresses or len(addresses) > MAX_SOURCES or len(set(addresses)) < len(addresses):
            raise InvalidSourcesError
        self.by_address = {
            address: SourceHealth(address, priority, is_sibling=priority >= len(upstreams))
            for priority, address in enumerate(addresses)
        }
        self._timings = timings

    def __iter__(self) -> Iterator[SourceHealth]:
        return iter(self.by_address.values())

    def eligible(self) -> list[SourceHealth]:
        """Return the sources that may be polled while no source is polled."""
        upstreams = [source for source in self if not source.is_sibling]
        if any(source.consecutive_failures < FAILURES_BEFORE_SIBLINGS for source in upstreams):
            return upstreams
        return list(self)

    def first_available(self, now: float) -> SourceHealth | None:
        """Return the first eligible source whose retry time is reached.

        A source whose last poll or probe was answered precedes one that failed.
        """
        return min(
            (source for source in self.eligible() if source.retry_at_ms <= now),
            key=lambda source: (source.consecutive_failures > 0, source.priority),
            default=None,
        )

    def alternatives_to(self, current: SourceHealth) -> list[SourceHealth]:
        """Return the sources that may replace the polled one; a sibling may replace only a sibling."""
        others = (source for source in self if source is not current)
        return [source for source in others if current.is_sibling or not source.is_sibling]

    def replacement_for(self, current: SourceHealth, now: float) -> SourceHealth | None:
        """Return a fresher source for a degraded one: the first that is healthy, else the freshest.

        Without a healthy one the result is None until no probe is in flight.
        """
        alternatives = self.alternatives_to(current)
        fresher = [
            source
            for source in alternatives
            if source.consecutive_failures == 0 and self.is_fresher(source, current)
        ]
        healthy = [source for source in fresher if now - source.as_of_ms <= self._timings.degraded_age_ms]
        if healthy:
            return min(healthy, key=lambda source: source.priority)
        if any(source.is_probed for source in alternatives):
            return None
        return max(fresher, key=lambda source: source.as_of_ms, default=None)

    def is_fresher(self, source: SourceHealth, other: SourceHealth) -> bool:
        """Return whether a source's state is fresher than another's by at least ``fresher_by_ms``."""
        return source.as_of_ms - other.as_of_ms >= self._timings.fresher_by_ms
