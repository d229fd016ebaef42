"""A fleet of routers on one simulated clock, and a model of an origin that stops when it is overloaded.

In the model, seven in ten requests hit at a cache, seven in ten misses hit at a parent, and the parent and
the cache retry a fill that the origin rejects.  One zone in ten is cold and has no hits during a burst that
raises the request rate by half.  The routers do not communicate.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import replace

from tests.helpers import EDGES, ORIGIN, PARENTS, SETTINGS
from thornjunction import interface as api
from thornjunction.policy.router import Router

ROUTERS = 200

# Requests per second of each router, and the factor by which they increase during the burst.
REQUESTS_PER_S = 6.0
BURST_FACTOR = 1.5

# Seconds for which requests arrive, and the start and end of the burst in seconds.
ARRIVALS_S = 18.0
BURST_START_S = 4.0
BURST_END_S = 9.5

# Milliseconds for which the simulation continues after the last request.
TAIL_MS = 4000.0

# Requests that the origin serves per second, and the longest time for which it queues one.
ORIGIN_CAPACITY_PER_S = 170.0
MAX_QUEUE_MS = 1500.0

# The origin stops for OUTAGE_MS if the requests of one window exceed this multiple of its capacity.
OVERLOAD_FACTOR = 2.5
OVERLOAD_WINDOW_MS = 3000.0
OUTAGE_MS = 6000.0

# One zone in COLD_ZONE_INTERVAL is cold during the burst; others, and the parents, hit with HIT_PROBABILITY.
COLD_ZONE_INTERVAL = 10
HIT_PROBABILITY = 0.7

# Requests that an overloaded origin gets for one miss, as the parent and the cache retry.
ORIGIN_REQUESTS_PER_MISS = 4

# Share of the requests that are keyed.
KEYED_SHARE = 0.04

# Latency objectives in milliseconds.
KEYED_OBJECTIVE_MS = 700.0
FILMS_OBJECTIVE_MS = 660.0

# Duration of each kind of answer in milliseconds.
HIT_MS = 100.0
PARENT_HIT_MS = 150.0
ORIGIN_MS = 120.0
MISS_MS = 1.0
PARENT_MISS_MS = 20.0
REJECTION_MS = 30.0

RANDOM_SEED = 5

FLEET_SETTINGS = replace(
    SETTINGS,
    router_count=ROUTERS,
    routers_by_zone={"here": 6},
    fill_reporting=api.FillReporting.NONE,
    may_bypass_caches=True,
    may_coalesce=False,
    may_hedge=True,
)

# The status with which an attempt ends, and its duration in milliseconds.
Outcome = tuple[api.AttemptStatus, float]


class ModelOrigin:
    """An origin with a queue.

    ``demand`` counts the requests of each second; ``outages_ms`` lists the times at which it stopped.
    """

    def __init__(self) -> None:
        self.demand = Counter[int]()
        self.outages_ms: list[float] = []
        self._busy_until_ms = 0.0
        self._down_until_ms = 0.0
        self._recent_ms: list[float] = []

    def request(self, now_ms: float, count: int) -> Outcome:
        """Send up to ``count`` requests, until one is accepted; return the outcome."""
        for _ in range(count):
            self.demand[int(now_ms / 1000)] += 1
            self._recent_ms.append(now_ms)
            if now_ms >= self._down_until_ms and self._busy_until_ms - now_ms < MAX_QUEUE_MS:
                self._busy_until_ms = max(self._busy_until_ms, now_ms) + 1000 / ORIGIN_CAPACITY_PER_S
                return api.AttemptStatus.SUCCEEDED, ORIGIN_MS + self._busy_until_ms - now_ms
        self._recent_ms = [at_ms for at_ms in self._recent_ms if at_ms > now_ms - OVERLOAD_WINDOW_MS]
        max_requests = OVERLOAD_FACTOR * ORIGIN_CAPACITY_PER_S * OVERLOAD_WINDOW_MS / 1000
        if len(self._recent_ms) > max_requests and now_ms >= self._down_until_ms:
            self.outages_ms.append(now_ms)
            self._down_until_ms = now_ms + OUTAGE_MS
        return api.AttemptStatus.OVERLOADED, REJECTION_MS * count


class FleetSimulation:
    """The routers, their clients and caches.

    Attributes:
        origin: the model of the origin.
        arrived: the number of requests that arrived in each second.
        in_time: the number of those that were answered within their latency objective.
    """

    def __init__(self) -> None:
        self.origin = ModelOrigin()
        self.arrived = Counter[int]()
        self.in_time = Counter[int]()
        self._now_ms = 0.0
        self._random = random.Random(RANDOM_SEED)
        self._event_count = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._routers = [Router(FLEET_SETTINGS, seed) for seed in range(ROUTERS)]
        self._requests: dict[str, tuple[float, api.Request]] = {}
        self._attempt_counts = Counter[str]()
        for router in range(ROUTERS):
            self._handle(router, api.EndpointListUpdate((*EDGES, *PARENTS, ORIGIN)))
            self._schedule_request(router)

    def run(self) -> None:
        """Run until no event is left or the simulated time has passed."""
        while self._events:
            self._now_ms, _, call = heapq.heappop(self._events)
            if self._now_ms > ARRIVALS_S * 1000 + TAIL_MS:
                return
            call()

    def _is_burst(self) -> bool:
        return BURST_START_S <= self._now_ms / 1000 < BURST_END_S

    def _schedule(self, at_ms: float, call: Callable[[], None]) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (at_ms, self._event_count, call))

    def _schedule_request(self, router: int) -> None:
        factor = BURST_FACTOR if self._is_burst() else 1.0
        at_ms = self._now_ms + self._random.expovariate(REQUESTS_PER_S * factor / 1000)

        def arrive() -> None:
            self._request(router)
            self._schedule_request(router)

        if at_ms < ARRIVALS_S * 1000:
            self._schedule(at_ms, arrive)

    def _request(self, router: int) -> None:
        self._event_count += 1
        class_name = "keyed" if self._random.random() < KEYED_SHARE else "films"
        key = self._random.getrandbits(40)
        event = api.Request(f"{self._event_count}", class_name, key, 3000.0, size_kb=500.0)
        self._requests[event.request_id] = (self._now_ms, event)
        self.arrived[int(self._now_ms / 1000)] += 1
        self._handle(router, event)

    def _handle(self, router: int, event: api.Event) -> None:
        for action in self._routers[router].handle(self._now_ms, event):
            self._execute(router, action)

    def _execute(self, router: int, action: api.Action) -> None:
        match action:
            case api.SetTimer(in_ms, token):
                self._schedule(self._now_ms + in_ms, lambda: self._handle(router, api.TimerFired(token)))
            case api.StartAttempt():
                self._start_attempt(router, action)

    def _start_attempt(self, router: int, attempt: api.StartAttempt) -> None:
        number = self._attempt_counts[attempt.request_id]
        started_ms = self._now_ms
        self._attempt_counts[attempt.request_id] += 1
        status, duration_ms = self._outcome(router, attempt)

        def end() -> None:
            succeeded = status is api.AttemptStatus.SUCCEEDED
            self._count_answer(attempt.request_id, succeeded)
            elapsed_ms = self._now_ms - started_ms
            event = api.AttemptEnded(
                attempt.request_id, number, attempt.server, status, elapsed_ms, final=succeeded
            )
            self._handle(router, event)

        self._schedule(self._now_ms + duration_ms, end)

    def _count_answer(self, request_id: str, succeeded: bool) -> None:
        arrived_ms, request = self._requests[request_id]
        objective_ms = KEYED_OBJECTIVE_MS if request.class_name == "keyed" else FILMS_OBJECTIVE_MS
        self.in_time[int(arrived_ms / 1000)] += succeeded and self._now_ms - arrived_ms <= objective_ms

    def _outcome(self, router: int, attempt: api.StartAttempt) -> Outcome:
        if attempt.server == "origin":
            return self.origin.request(self._now_ms, 1)
        is_cold = router % COLD_ZONE_INTERVAL == 0 and self._is_burst()
        if not is_cold and self._random.random() < HIT_PROBABILITY:
            return api.AttemptStatus.SUCCEEDED, HIT_MS
        if attempt.source == attempt.server:
            return api.AttemptStatus.CACHE_MISS, MISS_MS
        if self._random.random() < HIT_PROBABILITY:
            return api.AttemptStatus.SUCCEEDED, PARENT_HIT_MS
        if attempt.cached_only:
            return api.AttemptStatus.CACHE_MISS, PARENT_MISS_MS
        return self.origin.request(self._now_ms, ORIGIN_REQUESTS_PER_MISS)
