"""What hollow routers have been told, counted: each purge and change by its number, and when the first and
the last router of a process took it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class Taken:
    """Of one event: by how many routers, and when first and last (s on the machine's monotonic clock)."""

    count: int
    first: float
    last: float


@dataclass(slots=True)
class Tally:
    """Of one process."""

    purges: dict[int, Taken] = field(default_factory=dict)
    changes: dict[int, Taken] = field(default_factory=dict)

    def taken(self, of: dict[int, Taken], number: int, now: float) -> None:
        known = of.get(number)
        if known is None:
            of[number] = Taken(1, now, now)
        else:
            known.count, known.last = known.count + 1, now

    def told(self, kind: str, first: int, last: int) -> dict[str, list[Any]]:
        """Those of these numbers, by number: for a line of JSON."""
        of = self.purges if kind == "purges" else self.changes
        wanted = range(first, last)
        return {str(n): [t.count, t.first, t.last] for n in wanted if (t := of.get(n)) is not None}


def merged(parts: list[dict[str, list[Any]]]) -> dict[int, Taken]:
    """The tallies of several processes as one."""
    whole: dict[int, Taken] = {}
    for part in parts:
        for text, (count, first, last) in part.items():
            known = whole.setdefault(int(text), Taken(0, first, last))
            known.count += count
            known.first, known.last = min(known.first, first), max(known.last, last)
    return whole


class Seen:
    """Which numbers one router has been told: each once, or it counts as repeated."""

    def __init__(self) -> None:
        self.bits, self.count, self.repeated, self.highest = bytearray(), 0, 0, -1

    def add(self, number: int) -> bool:
        """Whether it is new."""
        if number >= len(self.bits):
            self.bits.extend(bytes(max(number + 1 - len(self.bits), 1024)))
        if self.bits[number]:
            self.repeated += 1
            return False
        self.bits[number], self.count = 1, self.count + 1
        self.highest = max(self.highest, number)
        return True
