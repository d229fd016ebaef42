"""The health of one source as observed by polls and probes."""

from __future__ import annotations

import math
from dataclasses import dataclass

from sansio_core import Address


@dataclass(slots=True, eq=False)
class SourceHealth:
    """Health of a source.  Times are on the caller's clock; infinity stands for never.

    ``priority`` is the source's index in the operators' order, 0 the preferred one.  ``penalties`` counts
    failures and degradations while it was polled, and is reset once it was polled for ``stable_ms``.
    ``as_of_ms`` is the freshness timestamp of its state.
    """

    address: Address
    priority: int
    is_sibling: bool
    consecutive_failures: int = 0
    penalties: int = 0
    retry_at_ms: float = -math.inf
    next_probe_ms: float = math.inf
    probe_deadline_ms: float = math.inf
    as_of_ms: float = -math.inf
    healthy_since_ms: float = math.inf
    return_at_ms: float = math.inf

    @property
    def name(self) -> str:
        """The address as text."""
        return f"{self.address[0]}:{self.address[1]}"

    @property
    def is_probed(self) -> bool:
        """Whether a probe is in flight."""
        return self.probe_deadline_ms < math.inf

    def mark_unhealthy(self) -> None:
        """Restart the recovery time, and cancel a planned return to the source."""
        self.healthy_since_ms = math.inf
        self.return_at_ms = math.inf

    def clear_probes(self) -> None:
        """Forget planned probes and one in flight."""
        self.next_probe_ms = math.inf
        self.probe_deadline_ms = math.inf

    def next_due_ms(self) -> float:
        """Return the time of the source's next probe, probe timeout or return."""
        return min(self.next_probe_ms, self.probe_deadline_ms, self.return_at_ms)
