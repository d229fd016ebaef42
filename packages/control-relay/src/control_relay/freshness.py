"""Freshness timestamps: when discovery confirmed the known state, and the delivered state."""

from __future__ import annotations

import math


class Freshness:
    """Two times on the relay's clock, -inf until discovery has confirmed a state.

    While an event waits for its batch, the delivered state is older than the known one.
    """

    def __init__(self) -> None:
        self.known_as_of_ms = -math.inf
        self._delivered_as_of_ms = -math.inf

    @property
    def is_confirmed(self) -> bool:
        """Whether discovery has confirmed any state."""
        return self.known_as_of_ms > -math.inf

    def confirm(self, as_of_ms: float) -> None:
        """Record that the known state was current at this time; an earlier time changes nothing."""
        self.known_as_of_ms = max(self.known_as_of_ms, as_of_ms)

    def mark_delivered(self) -> None:
        """Record that everything known has been delivered."""
        self._delivered_as_of_ms = self.known_as_of_ms

    def age_ms(self, now: float) -> float:
        """Return an upper bound of the delivered state's age; infinite where that is unknown."""
        return max(0.0, now - self._delivered_as_of_ms)
