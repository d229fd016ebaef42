"""What a watch runs on, and the time limits of its polls."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.event_loop.ports import Reactor


@dataclass(frozen=True, slots=True)
class WatchContext:
    """The event loop as a watch uses it.

    Attributes:
        reactor: makes the connections.
        deadlines: the queue of the program's deadlines.
        clock: the core's clock, in ms.
    """

    reactor: Reactor
    deadlines: Deadlines
    clock: Callable[[], float]


@dataclass(frozen=True, slots=True)
class WatchTimings:
    """Time limits of a poll.

    Attributes:
        block_ms: how long the source may hold a poll while it has no event.
        response_grace_ms: how much later than that the response, or the next part of it, may come.
        min_response_ms: least time for a response, before that grace, also where the poll asks for an
            immediate response.
    """

    block_ms: float
    response_grace_ms: float
    min_response_ms: float = 0.0
