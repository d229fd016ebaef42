"""The parts that each request passes through, from the client's connection to the cache server's."""

from __future__ import annotations

from dataclasses import dataclass

from thornjunction.core.counters import Counters
from thornjunction.core.engine import Engine
from thornjunction.core.load_shedding import LoadShedder
from thornjunction.net.downstream.connection_table import DownstreamTable
from thornjunction.net.event_loop.timer_service import TimerService
from thornjunction.net.upstream.connection_pool import ConnectionPool
from thornjunction.policy.router import Router
from thornjunction.runtime.drain import Drain


@dataclass(frozen=True, slots=True)
class RequestPath:
    """The parts that handle requests, connected to each other.

    Attributes:
        timer_service: runs the deadlines of all parts.
        clients: the client connections.
        engine: owns open requests and attempts.
        router: makes the routing decisions.
        pool: holds the connections to cache servers, parents and the origin.
        drain: closes client connections during a drain.
        load_shedder: rejects requests while the processor is overloaded.
        counters: count requests and attempts.
    """

    timer_service: TimerService
    clients: DownstreamTable
    engine: Engine
    router: Router
    pool: ConnectionPool
    drain: Drain
    load_shedder: LoadShedder
    counters: Counters
