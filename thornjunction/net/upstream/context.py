"""The objects that all parts of the connection pool share: limits, clock, deadlines and the reactor."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from thornjunction.memory.budget import ByteBudget
from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.event_loop.ports import Reactor

# Time limit for the rest of a partly received response, in addition to its transfer time on the network.
DEFAULT_PARTIAL_RESPONSE_TIMEOUT_MS = 500.0


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """Limits that are set in the configuration file.

    Attributes:
        max_streams: maximum number of streams in flight on one connection.
        connect_timeout_ms: time limit of one connect, and of a health check.
        idle_timeout_ms: time after which the platform closes an idle connection.
        max_connections: maximum number of connections to all servers together.
        partial_response_timeout_ms: time limit for the rest of a partly received response.
    """

    max_streams: int
    connect_timeout_ms: float
    idle_timeout_ms: float
    max_connections: int
    partial_response_timeout_ms: float = DEFAULT_PARTIAL_RESPONSE_TIMEOUT_MS


@dataclass(slots=True)
class PoolContext:
    """The objects that the pool's parts share; each part reads them when it uses them, as they may change.

    Attributes:
        reactor: opens connections.
        limits: the current limits.
        deadlines: the process's queue of deadlines.
        clock: the core's clock, in ms.
        buffer_budget: bounds the bytes of incomplete responses.
    """

    reactor: Reactor
    limits: PoolLimits
    deadlines: Deadlines
    clock: Callable[[], float]
    buffer_budget: ByteBudget
