"""Event loop interface of a watch, and the time limits of its polls."""

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
        deadlines: the process's queue of deadlines.
        clock: the core's clock, in ms.
    """

    reactor: Reactor
    deadlines: Deadlines
    clock: Callable[[], float]


@dataclass(frozen=True, slots=True)
class WatchTimings:
    """Time limits of a poll.

    Attributes:
        block_ms: longest time that the source may hold a poll while it has no event.
        response_grace_ms: additional time for the response, or for the next part of it, to arrive.
        min_response_ms: least time for a response, before that grace period, also for a poll that asks for
            an immediate response.
    """

    block_ms: float
    response_grace_ms: float
    min_response_ms: float = 0.0
