"""What discovery is to tell, and when, as every process of a run works it out alike: purges and changes of
the list are numbered by their planned times on the machine's monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass

SHARE = 4.0  # of a shelf that was never changed
MARK = 1e-6  # of a share, a change: so that a router's list says which changes it has taken


def share_of(change: int) -> float:
    """The share by which a change is known at whoever took it; 0 is no change."""
    return round(SHARE + change * MARK, 9)


def change_of(share: float) -> int:
    return round((share - SHARE) / MARK)


@dataclass(frozen=True, slots=True)
class Purges:
    """``count`` purges from ``at`` (s on the monotonic clock), ``rate`` a second; the first has number
    ``first``.  A rate of 0: all at once, as a past of ``past_s`` before ``at`` that those in step know."""

    at: float
    rate: float
    count: int
    first: int = 0
    past_s: float = 0.0

    def due(self, number: int) -> float:
        """When it is told."""
        return self.at + (number - self.first) / self.rate if self.rate else self.at

    def purged(self, number: int) -> float:
        """The time that it has as its own."""
        back = self.past_s * (1.0 - (number - self.first + 1) / self.count) if self.past_s else 0.0
        return self.due(number) - back

    @property
    def end(self) -> float:
        return self.due(self.first + self.count - 1)

    def numbers(self) -> range:
        return range(self.first, self.first + self.count)


@dataclass(frozen=True, slots=True)
class Changes:
    """``count`` changes of one shelf each, ``every_s`` apart; by turns a shelf leaves and comes back."""

    at: float
    every_s: float
    count: int
    first: int = 1

    def due(self, number: int) -> float:
        return self.at + (number - self.first) * self.every_s

    def shelf(self, number: int, shelfs: int) -> int:
        """Which one: a pair of changes is of one shelf."""
        return ((number - 1) // 2 * 7) % shelfs

    def state(self, number: int) -> str:
        return "leaving" if number % 2 else "active"

    @property
    def end(self) -> float:
        return self.due(self.first + self.count - 1)

    def numbers(self) -> range:
        return range(self.first, self.first + self.count)
