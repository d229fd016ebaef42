"""The table of attempts in flight, and the states of an attempt from its start to its end.

::

    AWAITED  --- its request is answered or abandoned -------------> UNNEEDED
    AWAITED  --- its end is reported, or it is stopped ------------> ENDED
    UNNEEDED --- its end is reported, or it is stopped ------------> ENDED

An attempt begins when it is written to a connection.  One that is stopped earlier ends NOT_STARTED; one that
may have begun ends TIMEOUT or CANCELLED.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from thornjunction.memory.deadlines import Deadline
from thornjunction.memory.slots import SlotTable

# Greatest number of attempts in flight; the connections bound the memory of their requests and answers.
ATTEMPT_CAPACITY = 8192

# Number of an attempt that has not been added to the table yet.
NO_NUMBER = -1


class AttemptState(Enum):
    """State of an attempt.

    Attributes:
        AWAITED: in flight, and its request has no final answer yet.
        UNNEEDED: in flight, but its request has ended; its end only updates the router's estimates.
        ENDED: its end was reported or it was stopped; reports that arrive later are ignored.
    """

    AWAITED = "awaited"
    UNNEEDED = "unneeded"
    ENDED = "ended"


class AttemptKey(NamedTuple):
    """The router's identifier of an attempt: its request's identifier, and its index within the request."""

    request_id: str
    attempt_index: int


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt in flight.

    Attributes:
        key: the router's identifier of the attempt.
        server: name of the server to which it is sent.
        sent_ms: when it was handed to the upstreams, on the core's clock.
        number: the upstreams' identifier of the attempt, its slot in the table.
        time_limit: the deadline that stops the attempt; None: not set yet.
        state: whether its end is awaited, is unneeded, or has happened.
        execution_record: number of its record among the shared possible executions; None: it has none.
    """

    key: AttemptKey
    server: str
    sent_ms: float
    number: int = NO_NUMBER
    time_limit: Deadline | None = None
    state: AttemptState = AttemptState.AWAITED
    execution_record: int | None = None


class AttemptTable:
    """All attempts in flight, by the router's identifier and by the upstreams'."""

    def __init__(self) -> None:
        self._by_number: SlotTable[Attempt] = SlotTable(ATTEMPT_CAPACITY)
        self._by_key: dict[tuple[str, int], Attempt] = {}  # by AttemptKey

    def __len__(self) -> int:
        return len(self._by_number)

    @property
    def full(self) -> bool:
        """Whether the table has reached its capacity."""
        return self._by_number.full

    def add(self, attempt: Attempt) -> None:
        """Add an attempt that is sent now, and set its number.

        Raises:
            SlotTableFullError: the table is full.
        """
        attempt.number = self._by_number.add(attempt)
        self._by_key[attempt.key] = attempt

    def find(self, request_id: str, index: int) -> Attempt | None:
        """Return a request's attempt by its index; None if it is not in flight."""
        return self._by_key.get((request_id, index))

    def mark_unneeded(self, request_id: str, attempts_made: int) -> None:
        """Mark the attempts in flight of an ended request as UNNEEDED."""
        for index in range(attempts_made):
            attempt = self.find(request_id, index)
            if attempt is not None:
                attempt.state = AttemptState.UNNEEDED

    def get(self, number: int) -> Attempt | None:
        """Return the attempt with that number; None if it has ended."""
        return self._by_number.get(number)

    def end(self, attempt: Attempt) -> None:
        """Remove an attempt whose end was reported or that was stopped."""
        self._by_number.remove(attempt.number)
        del self._by_key[attempt.key]
        attempt.state = AttemptState.ENDED
