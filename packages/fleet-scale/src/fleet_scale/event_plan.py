"""Plans of the events that discovery publishes.

Every process of a run computes the same number and time for an event: purges and changes of the endpoint list
are numbered in the order of their planned times on the machine's monotonic clock.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

# Weight of a cache server before its first change.
INITIAL_WEIGHT = 4.0
# Weight that a change adds, so that the weights in a router's endpoint list identify the changes applied.
WEIGHT_PER_CHANGE = 1e-6
# Offset in the endpoint list between the cache servers of two successive pairs of changes.
CHANGED_SERVER_STEP = 7


class EventKind(StrEnum):
    """The kinds of events that a plan publishes."""

    PURGE = "purge"
    CHANGE = "change"


def weight_of_change(change: int) -> float:
    """Return the weight that identifies a change of the endpoint list; 0 means no change."""
    return round(INITIAL_WEIGHT + change * WEIGHT_PER_CHANGE, 9)


def change_of_weight(weight: float) -> int:
    """Return the number of the change that a weight identifies."""
    return round((weight - INITIAL_WEIGHT) / WEIGHT_PER_CHANGE)


class PurgePlan(msgspec.Struct, frozen=True, tag=True):
    """``count`` purges with consecutive numbers, published at ``purges_per_s``.

    A rate of 0 publishes a history: all purges at once, with issue times spread over the last ``history_s``
    seconds.  Discovery sends it only to routers that were behind; the others count as having received it.
    """

    start_s: float  # on the monotonic clock
    purges_per_s: float
    count: int
    first: int = 0
    history_s: float = 0.0

    @property
    def kind(self) -> EventKind:
        """The kind of events that the plan publishes."""
        return EventKind.PURGE

    @property
    def is_history(self) -> bool:
        """Whether all purges are published at once, as history."""
        return not self.purges_per_s

    def due_s(self, number: int) -> float:
        """Return when discovery publishes the purge, on the monotonic clock."""
        if self.is_history:
            return self.start_s
        return self.start_s + (number - self.first) / self.purges_per_s

    def issued_s(self, number: int) -> float:
        """Return the issue time that the purge carries, on the monotonic clock."""
        if not self.history_s:
            return self.due_s(number)
        remaining_share = 1.0 - (number - self.first + 1) / self.count
        return self.due_s(number) - self.history_s * remaining_share

    @property
    def end_s(self) -> float:
        """When the last purge is due."""
        return self.due_s(self.first + self.count - 1)

    def numbers(self) -> range:
        """The numbers of all purges."""
        return range(self.first, self.first + self.count)


class ChangePlan(msgspec.Struct, frozen=True, tag=True):
    """``count`` changes of one cache server each, ``interval_s`` apart.

    Changes come in pairs: a cache server starts to drain, and becomes active again.
    """

    start_s: float  # on the monotonic clock
    interval_s: float
    count: int
    first: int = 1

    @property
    def kind(self) -> EventKind:
        """The kind of events that the plan publishes."""
        return EventKind.CHANGE

    def due_s(self, number: int) -> float:
        """Return when discovery publishes the change, on the monotonic clock."""
        return self.start_s + (number - self.first) * self.interval_s

    def server_index(self, number: int, server_count: int) -> int:
        """Return the index of the cache server that changes; both changes of a pair have the same."""
        pair = (number - 1) // 2
        return pair * CHANGED_SERVER_STEP % server_count

    def health(self, number: int) -> str:
        """Return the health of the cache server after the change, as it is encoded on the wire."""
        return "leaving" if number % 2 else "active"

    @property
    def end_s(self) -> float:
        """When the last change is due."""
        return self.due_s(self.first + self.count - 1)

    def numbers(self) -> range:
        """The numbers of all changes."""
        return range(self.first, self.first + self.count)


EventPlan = PurgePlan | ChangePlan
