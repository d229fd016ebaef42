"""The suspicion of a member; its timeout shrinks as other members confirm it (Lifeguard, section IV.B)."""

from __future__ import annotations

from math import log

# Independent confirmations that reduce the timeout to its minimum: K in the paper.
CONFIRMATIONS_FOR_MIN = 3


class Suspicion:
    """One suspicion, with the accusers that started and confirmed it.

    ``possible_confirmers`` is the number of members that could confirm it; if it is 0, the timeout is the
    minimum from the start.
    """

    def __init__(
        self, started_ms: float, min_ms: float, max_ms: float, possible_confirmers: int, accuser: str
    ) -> None:
        self.started_ms = started_ms
        self._min_ms = min_ms
        self._max_ms = max_ms
        self._needed = min(CONFIRMATIONS_FOR_MIN, possible_confirmers)
        self._accusers = {accuser}

    def confirm(self, accuser: str) -> bool:
        """Count a confirmation; return False if it is not independent or no more are needed."""
        if not accuser or accuser in self._accusers or len(self._accusers) > self._needed:
            return False
        self._accusers.add(accuser)
        return True

    def deadline_ms(self, multiplier: int) -> float:
        """Return the time at which the member is declared failed, given the local health multiplier."""
        confirmed = log(len(self._accusers)) / log(self._needed + 1) if self._needed else 1.0
        timeout_ms = self._max_ms - (self._max_ms - self._min_ms) * min(1.0, confirmed)
        return self.started_ms + multiplier * timeout_ms
