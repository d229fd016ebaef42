"""Purges that hold, by what they purge: the latest time wins."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice

from sortedcontainers import SortedList

from control_relay.encoding import LARGEST, whole_number

GROUPS = 256
HEX = frozenset("0123456789abcdef")
What = str | int  # an object's 16 hex digits, or a group


def what_of(key: object, family: object) -> What | None:
    """The object or group that is meant; None where that can't be read."""
    if key is None:
        group = whole_number(family, -1)
        return group if 0 <= group < GROUPS else None
    if not isinstance(key, str) or not 0 < len(key) <= 16:
        return None
    digits = key.lower()
    return digits.zfill(16) if HEX.issuperset(digits) else None


def time_of(when_ms: object) -> float:
    """Unix ms, or infinity where it can't be read."""
    number = isinstance(when_ms, int | float) and not isinstance(when_ms, bool)
    return float(when_ms) if number and -LARGEST <= when_ms <= LARGEST else math.inf  # type: ignore[operator,arg-type]


@dataclass(slots=True)
class Purge:
    what: What
    group: int  # of the object, -1 where it is not known
    when_ms: float
    number: int
    until: float


class Purges:
    """By object and group; oldest holds first."""

    def __init__(self) -> None:
        self._held: dict[What, Purge] = {}
        self._ends: SortedList[tuple[float, int, Purge]] = SortedList()
        self.next_end = math.inf  # when the first hold passes

    def __len__(self) -> int:
        return len(self._held)

    def get(self, what: What) -> Purge | None:
        return self._held.get(what)

    def add(self, purge: Purge) -> Purge | None:
        """Returns the one that it supersedes."""
        old = self._held.get(purge.what)
        if old is not None:
            self.remove(old)
        self._held[purge.what] = purge
        self._ends.add((purge.until, purge.number, purge))
        self.next_end = self._ends[0][0]
        return old

    def remove(self, purge: Purge) -> None:
        del self._held[purge.what]
        self._ends.remove((purge.until, purge.number, purge))
        self.next_end = self._ends[0][0] if self._ends else math.inf

    def passed(self, now: float) -> Iterator[Purge]:
        """Take out those whose hold has passed."""
        while self.next_end <= now:
            purge = self._ends[0][2]
            self.remove(purge)
            yield purge

    def by_end(self) -> Iterator[Purge]:
        """The one whose hold passes first comes first."""
        return (purge for _, _, purge in self._ends)

    def oldest_objects(self, most: int) -> list[Purge]:
        return list(islice((purge for purge in self.by_end() if isinstance(purge.what, str)), most))
