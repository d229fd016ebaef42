"""A model of a router's upstream connections: its decisions, and the pool's rules for new connections."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field, replace

from benchmark_tools.decision_servers import FILMS, KEYED, LOCAL_ZONE, ORIGIN, SETTINGS, edge, parent
from thornjunction import interface as api
from thornjunction.net.upstream.dispatcher import (
    MAX_CONNECTIONS_IF_EXHAUSTED,
    MAX_CONNECTIONS_IF_LOADED,
    MAX_LIGHT_LOAD_STREAMS,
)
from thornjunction.policy.router import Router

ROUTERS_PER_SITE = 21
EDGES_PER_SITE = 7
PARENTS = 33
# Requests per second of a router, and the share of them that only the origin serves.
REQUESTS_PER_S = 742.0
KEYED_SHARE = 0.04
STREAMS_PER_CONNECTION = 32
START_MS = 1_000.0
RUN_MS = 300.0
TIMEOUT_MS = 5_000.0
OBJECT_KB = 477.0


class PoolModel:
    """Connections to each server by the rules of ``ConnectionPool``.

    A server gets another connection while all of its connections are crowded, up to
    ``MAX_CONNECTIONS_IF_LOADED``, and while all are full, up to ``MAX_CONNECTIONS_IF_EXHAUSTED``.  No
    connection closes, since a run is shorter than the idle timeout.
    """

    def __init__(self) -> None:
        self._streams: dict[str, list[int]] = {}  # by server: the open streams of each connection
        self._connection_by_request: dict[str, tuple[str, int]] = {}

    def begin(self, request_id: str, server: str) -> None:
        """Begin an attempt on the server's connection with the fewest streams."""
        streams = self._streams.setdefault(server, [0])
        index = min(range(len(streams)), key=streams.__getitem__)
        if streams[index] >= STREAMS_PER_CONNECTION and len(streams) < MAX_CONNECTIONS_IF_EXHAUSTED:
            streams.append(0)
            index = len(streams) - 1
        streams[index] += 1
        self._connection_by_request[request_id] = server, index
        if streams[index] > MAX_LIGHT_LOAD_STREAMS and len(streams) < MAX_CONNECTIONS_IF_LOADED:
            streams.append(0)

    def end(self, request_id: str) -> None:
        """End the attempt of a request; KeyError if it has none."""
        server, index = self._connection_by_request.pop(request_id)
        self._streams[server][index] -= 1

    def connections(self) -> dict[str, int]:
        """Return the number of connections to each server."""
        return {server: len(streams) for server, streams in self._streams.items()}


@dataclass(frozen=True, slots=True, order=True)
class DueEvent:
    """An event that a router receives at ``due_ms``; events of the same time are ordered by number."""

    due_ms: float
    number: int
    event: api.Event = field(compare=False)


@dataclass(frozen=True, slots=True)
class RouterConnections:
    """Connections of a router by server, and the number of health checks that it sent."""

    by_server: dict[str, int]
    health_checks: int


def _requests(generator: random.Random) -> list[DueEvent]:
    count = int(REQUESTS_PER_S * RUN_MS / 1_000)
    requests = []
    for number in range(count):
        request_class = KEYED if generator.random() < KEYED_SHARE else FILMS
        request = api.Request(
            f"r{number}",
            request_class.name,
            generator.getrandbits(40),
            TIMEOUT_MS,
            size_kb=OBJECT_KB,
            idempotency_key=f"{number}",
        )
        requests.append(DueEvent(START_MS + generator.uniform(0.0, RUN_MS), number + 1, request))
    return requests


def simulate_router(seed: int, response_ms: float, routers: int) -> RouterConnections:
    """Run one router of a site for ``RUN_MS`` at the peak rate; every attempt takes ``response_ms``."""
    settings = replace(
        SETTINGS,
        router_count=routers,
        routers_by_zone={LOCAL_ZONE: ROUTERS_PER_SITE},
        may_bypass_caches=True,
    )
    router = Router(settings, seed)
    pool = PoolModel()
    edges = [edge(f"edge{number}") for number in range(EDGES_PER_SITE)]
    parents = [parent(f"parent{number}") for number in range(PARENTS)]
    endpoint_list = api.EndpointListUpdate((*edges, *parents, ORIGIN))
    due = [DueEvent(START_MS, 0, endpoint_list), *_requests(random.Random(seed))]
    number = len(due) - 1
    health_checks = 0
    heapq.heapify(due)
    while due and due[0].due_ms < START_MS + RUN_MS:
        current = heapq.heappop(due)
        if isinstance(current.event, api.AttemptEnded):
            pool.end(current.event.request_id)
        for action in router.handle(current.due_ms, current.event):
            number += 1
            if isinstance(action, api.StartAttempt):
                pool.begin(action.request_id, action.server)
                heapq.heappush(
                    due, DueEvent(current.due_ms + response_ms, number, _success(action, response_ms))
                )
            elif isinstance(action, api.SetTimer):
                fired = api.TimerFired(action.token)
                heapq.heappush(due, DueEvent(current.due_ms + action.in_ms, number, fired))
            elif isinstance(action, api.CheckHealth):
                health_checks += 1
    return RouterConnections(pool.connections(), health_checks)


def _success(attempt: api.StartAttempt, response_ms: float) -> api.AttemptEnded:
    succeeded = api.AttemptStatus.SUCCEEDED
    return api.AttemptEnded(attempt.request_id, 0, attempt.server, succeeded, response_ms, final=True)
