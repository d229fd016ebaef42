"""Long polls that wait for an event.  Their senders lack no delivered event, so one response answers all."""

from __future__ import annotations

import math
from typing import NamedTuple

from sortedcontainers import SortedDict

from control_relay.member import Member

# Deadlines are rounded up to a multiple of this, so that one timer serves many polls.
DEADLINE_SLOT_MS = 25.0

# How early a timer may fire, because clocks are rounded.
TIMER_TOLERANCE_MS = 1.0


class PendingPoll(NamedTuple):
    """A poll on connection ``poller``; ``member`` is None for a sibling."""

    poller: int
    member: Member | None
    resume: int
    deadline_slot: int


class PendingPolls:
    """Polls by connection and by slot of their deadline, so that adding and removing needs no search."""

    def __init__(self) -> None:
        self._polls: dict[int, PendingPoll] = {}
        self._slots: SortedDict[int, dict[int, None]] = SortedDict()
        self._armed_slot = math.inf  # the slot for which a timer runs

    def __len__(self) -> int:
        return len(self._polls)

    def __contains__(self, poller: int) -> bool:
        return poller in self._polls

    def add(self, poller: int, member: Member | None, resume: int, deadline_ms: float) -> None:
        """Add a poll; its connection must not have a pending one."""
        slot = math.ceil(deadline_ms / DEADLINE_SLOT_MS)
        self._polls[poller] = PendingPoll(poller, member, resume, slot)
        pollers = self._slots.get(slot)
        if pollers is None:
            pollers = {}
            self._slots[slot] = pollers
        pollers[poller] = None

    def remove(self, poller: int) -> None:
        """Remove a connection's poll, if it has one."""
        poll = self._polls.pop(poller, None)
        if poll is None:
            return
        pollers = self._slots[poll.deadline_slot]
        del pollers[poller]
        if not pollers:
            del self._slots[poll.deadline_slot]

    def take_all(self) -> list[PendingPoll]:
        """Remove and return all polls."""
        polls = list(self._polls.values())
        self._polls.clear()
        self._slots.clear()
        return polls

    def take_due(self, now: float) -> list[PendingPoll]:
        """Remove and return the polls whose deadline has passed."""
        due: list[PendingPoll] = []
        while self._slots and self._is_due(next(iter(self._slots)), now):
            _, pollers = self._slots.popitem(0)
            due.extend(self._polls.pop(poller) for poller in pollers)
        return due

    def timer_fired(self, now: float) -> None:
        """Record that the timer requested last has fired, unless this is an earlier one."""
        if self._is_due(self._armed_slot, now):
            self._armed_slot = math.inf

    def arm_timer(self, now: float) -> float | None:
        """Return the delay (ms) of a timer to set; None where a running one fires early enough."""
        if not self._slots:
            return None
        first_slot = next(iter(self._slots))
        if first_slot >= self._armed_slot:
            return None
        self._armed_slot = first_slot
        return max(0.0, first_slot * DEADLINE_SLOT_MS - now)

    @staticmethod
    def _is_due(slot: float, now: float) -> bool:
        return slot * DEADLINE_SLOT_MS <= now + TIMER_TOLERANCE_MS
