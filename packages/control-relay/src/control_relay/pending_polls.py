"""Long polls that wait: all of them have what was told, so one answer is for all."""

from __future__ import annotations

import math

from sortedcontainers import SortedDict

from control_relay.members import Router

SLOT_MS = 25.0  # deadlines are rounded up to this
EARLY_MS = 1.0  # by which a timer may fire early, as clocks are rounded


class Waiting:
    """Deadlines in slots, so that a poll comes and goes without a search."""

    def __init__(self) -> None:
        self._polls: dict[int, tuple[int, Router | None, int]] = {}  # by poller: slot, who, resume
        self._slots: SortedDict[int, dict[int, None]] = SortedDict()
        self._armed = math.inf  # the slot for which a timer runs

    def __len__(self) -> int:
        return len(self._polls)

    def __contains__(self, poller: int) -> bool:
        return poller in self._polls

    def add(self, poller: int, router: Router | None, resume: int, deadline: float) -> None:
        slot = math.ceil(deadline / SLOT_MS)
        self._polls[poller] = slot, router, resume
        pollers = self._slots.get(slot)
        if pollers is None:
            pollers = self._slots[slot] = {}
        pollers[poller] = None

    def remove(self, poller: int) -> None:
        poll = self._polls.pop(poller, None)
        if poll is not None:
            pollers = self._slots[poll[0]]
            del pollers[poller]
            if not pollers:
                del self._slots[poll[0]]

    def take_all(self) -> list[tuple[int, Router | None, int]]:
        """Poller, who, resume: of all that wait."""
        taken = [(poller, router, resume) for poller, (_, router, resume) in self._polls.items()]
        self._polls.clear()
        self._slots.clear()
        return taken

    def take_due(self, now: float) -> list[tuple[int, Router | None, int]]:
        """The same of those whose deadline has come."""
        taken = []
        while self._slots and self._slots.peekitem(0)[0] * SLOT_MS <= now + EARLY_MS:
            for poller in self._slots.popitem(0)[1]:
                _, router, resume = self._polls.pop(poller)
                taken.append((poller, router, resume))
        return taken

    def arm(self, now: float, fired: bool = False) -> float | None:
        """In how many ms a timer is to fire; None where one that runs will do."""
        if fired and self._armed * SLOT_MS <= now + EARLY_MS:
            self._armed = math.inf
        if not self._slots or self._slots.peekitem(0)[0] >= self._armed:
            return None
        self._armed = self._slots.peekitem(0)[0]
        return max(0.0, self._armed * SLOT_MS - now)
