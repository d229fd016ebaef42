"""Purges that are still delivered, by their target: a later purge supersedes an earlier one."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice

from sortedcontainers import SortedList

from control_relay.validation import int_or_default

# Number of groups of objects; they are numbered from 0.
GROUP_COUNT = 256

# Group number of an object whose group is unknown.
UNKNOWN_GROUP = -1

# Hexadecimal digits of an object's key, with leading zeros.
KEY_DIGITS = 16

# Digits that a key may contain.
HEX_DIGITS = frozenset("0123456789abcdef")

# An object's ``KEY_DIGITS`` hexadecimal digits, or a group's number.
PurgeTarget = str | int


def parse_target(key: object, group: object) -> PurgeTarget | None:
    """Return the object or group that a purge names; None where it names neither."""
    if key is None:
        number = parse_group(group)
        return number if number != UNKNOWN_GROUP else None
    if not isinstance(key, str) or not 0 < len(key) <= KEY_DIGITS:
        return None
    digits = key.lower()
    return digits.zfill(KEY_DIGITS) if HEX_DIGITS.issuperset(digits) else None


def parse_group(group: object) -> int:
    """Return a group's number, or ``UNKNOWN_GROUP``."""
    number = int_or_default(group, UNKNOWN_GROUP)
    return number if 0 <= number < GROUP_COUNT else UNKNOWN_GROUP


@dataclass(slots=True)
class ActivePurge:
    """A purge under the relay's event number; ``group`` is the object's, or ``UNKNOWN_GROUP``."""

    target: PurgeTarget
    group: int
    issued_unix_ms: float
    number: int
    expires_at_ms: float

    def is_as_late_as(self, issued_unix_ms: float) -> bool:
        """Return whether this purge makes one issued at that time redundant.

        A purge without a readable time makes none redundant.
        """
        return issued_unix_ms <= self.issued_unix_ms < math.inf


class ActivePurges:
    """Purges by target and in the order of their expiry."""

    def __init__(self) -> None:
        self.next_expiry_ms = math.inf
        self._by_target: dict[PurgeTarget, ActivePurge] = {}
        self._by_expiry: SortedList[tuple[float, int, ActivePurge]] = SortedList()

    def __len__(self) -> int:
        return len(self._by_target)

    def get(self, target: PurgeTarget) -> ActivePurge | None:
        """Return the purge of this target, if there is one."""
        return self._by_target.get(target)

    def add(self, purge: ActivePurge) -> ActivePurge | None:
        """Add a purge; return the one of the same target that it supersedes."""
        superseded = self._by_target.get(purge.target)
        if superseded is not None:
            self.remove(superseded)
        self._by_target[purge.target] = purge
        self._by_expiry.add((purge.expires_at_ms, purge.number, purge))
        self._update_next_expiry()
        return superseded

    def remove(self, purge: ActivePurge) -> None:
        """Remove a purge that is present."""
        del self._by_target[purge.target]
        self._by_expiry.remove((purge.expires_at_ms, purge.number, purge))
        self._update_next_expiry()

    def pop_expired(self, now: float) -> Iterator[ActivePurge]:
        """Remove and yield the purges whose retention has ended."""
        while self.next_expiry_ms <= now:
            purge = self._by_expiry[0][2]
            self.remove(purge)
            yield purge

    def by_expiry(self) -> Iterator[ActivePurge]:
        """Yield all purges, the first to expire first."""
        return (purge for _, _, purge in self._by_expiry)

    def oldest_objects(self, count: int) -> list[ActivePurge]:
        """Return up to ``count`` purges of objects, the first to expire first."""
        return list(islice((purge for purge in self.by_expiry() if isinstance(purge.target, str)), count))

    def _update_next_expiry(self) -> None:
        self.next_expiry_ms = self._by_expiry[0][0] if self._by_expiry else math.inf
