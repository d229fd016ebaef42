"""What all parts of the connection pool share: the bounds in force, the clock, deadlines and the reactor."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from thornjunction.memory.budget import ByteBudget
from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.event_loop.ports import Reactor

# For the rest of a response that has begun, beyond the time that its bytes take on the network.
DEFAULT_PARTIAL_RESPONSE_TIMEOUT_MS = 500.0


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """Bounds that the operators' file sets.

    Attributes:
        max_streams: streams in flight on one connection.
        connect_timeout_ms: for one connect, and for a health check.
        idle_timeout_ms: after which the platform closes an idle connection.
        max_connections: to all servers together.
        partial_response_timeout_ms: for the rest of a response that has begun.
    """

    max_streams: int
    connect_timeout_ms: float
    idle_timeout_ms: float
    max_connections: int
    partial_response_timeout_ms: float = DEFAULT_PARTIAL_RESPONSE_TIMEOUT_MS


@dataclass(slots=True)
class PoolContext:
    """The surroundings of the pool's parts; each part reads them at the time of use.

    Attributes:
        reactor: opens connections.
        limits: bounds in force.
        deadlines: the queue of the process.
        clock: the core's clock, in ms.
        buffer_budget: bounds the bytes of incomplete responses.
    """

    reactor: Reactor
    limits: PoolLimits
    deadlines: Deadlines
    clock: Callable[[], float]
    buffer_budget: ByteBudget
