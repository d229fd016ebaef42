"""Attempts in flight, each with its state from being sent to its end.

::

    AWAITED  --- its request is answered, or its client leaves ---> UNNEEDED
    AWAITED  --- its end is reported, or it is stopped -----------> ENDED
    UNNEEDED --- its end is reported, or it is stopped -----------> ENDED

An attempt that is stopped before it began ends NOT_STARTED; one that may have begun ends TIMEOUT or
CANCELLED.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from thornjunction.memory.deadlines import Deadline
from thornjunction.memory.slots import SlotTable

# Attempts in flight; their bytes are bounded at the connections.
ATTEMPT_CAPACITY = 8192

# Number of an attempt that is not in the table yet.
NO_NUMBER = -1


class AttemptState(Enum):
    """State of an attempt.

    Attributes:
        AWAITED: in flight, and its request has no answer yet.
        UNNEEDED: in flight, and its request has ended without it; the router learns from its end only.
        ENDED: its end was reported or it was stopped; nothing that arrives later counts.
    """

    AWAITED = "awaited"
    UNNEEDED = "unneeded"
    ENDED = "ended"


class AttemptKey(NamedTuple):
    """How the router names an attempt: its request's identifier, and its index within the request."""

    request_id: str
    attempt_index: int


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt.

    Attributes:
        key: how the router names it.
        server: the server to which it was sent.
        sent_ms: when it was sent.
        number: how the upstream side names it.
        time_limit: the deadline that stops it.
        state: its state.
    """

    key: AttemptKey
    server: str
    sent_ms: float
    number: int = NO_NUMBER
    time_limit: Deadline | None = None
    state: AttemptState = AttemptState.AWAITED


class AttemptTable:
    """All attempts in flight, by the router's name and by the upstream side's."""

    def __init__(self) -> None:
        self._by_number: SlotTable[Attempt] = SlotTable(ATTEMPT_CAPACITY)
        self._by_key: dict[tuple[str, int], Attempt] = {}  # by AttemptKey

    def __len__(self) -> int:
        return len(self._by_number)

    @property
    def full(self) -> bool:
        """Whether no further attempt may be in flight."""
        return self._by_number.full

    def add(self, attempt: Attempt) -> None:
        """Add an attempt that is sent now, and number it.

        Raises:
            SlotTableFullError: the table is full.
        """
        attempt.number = self._by_number.add(attempt)
        self._by_key[attempt.key] = attempt

    def find(self, request_id: str, index: int) -> Attempt | None:
        """Return the attempt of that name; None if it is not in flight."""
        return self._by_key.get((request_id, index))

    def mark_unneeded(self, request_id: str, attempts_made: int) -> None:
        """Mark the attempts of an ended request, of which no answer is awaited any more."""
        for index in range(attempts_made):
            attempt = self.find(request_id, index)
            if attempt is not None:
                attempt.state = AttemptState.UNNEEDED

    def get(self, number: int) -> Attempt | None:
        """Return the attempt of that number; None if it has ended."""
        return self._by_number.get(number)

    def end(self, attempt: Attempt) -> None:
        """Remove an attempt whose end is known."""
        self._by_number.remove(attempt.number)
        del self._by_key[attempt.key]
        attempt.state = AttemptState.ENDED
