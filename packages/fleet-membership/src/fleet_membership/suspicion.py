"""A suspicion: its time shrinks as others confirm it (Lifeguard, section IV.B)."""

from __future__ import annotations

from math import log

CONFIRMED = 3  # independent confirmations after which the time is the least


class Suspicion:
    """``least`` and ``most`` in ms; ``others`` are the members that could confirm: with nobody to ask, the
    time is the least at once."""

    def __init__(self, started: float, least: float, most: float, others: int, accuser: str) -> None:
        self.started = started
        self._least, self._most = least, most
        self._needed = min(CONFIRMED, others)
        self._accusers = {accuser}

    def confirm(self, accuser: str) -> bool:
        """Whether the confirmation is a new one that counts."""
        if not accuser or accuser in self._accusers or len(self._accusers) > self._needed:
            return False
        self._accusers.add(accuser)
        return True

    def deadline(self, stretch: int) -> float:
        """When the member counts as failed, with the local health's ``stretch``."""
        confirmed = log(len(self._accusers)) / log(self._needed + 1) if self._needed else 1.0
        return self.started + stretch * (self._most - (self._most - self._least) * min(1.0, confirmed))
