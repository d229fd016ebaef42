"""A model of a fleet whose origin stops serving when it is overloaded for too long.

The origin stops if it receives more than ``OVERLOAD_FACTOR`` times its capacity over
``OVERLOAD_WINDOW_MS``. Seven in ten requests hit at a cache, and seven in ten misses hit at a parent. The
parent and the cache retry requests that the origin rejects. During a burst the request rate is 1.5 times as
high, and one zone in ten is cold. The routers' decisions are real; routers do not communicate.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from benchmark_tools.decision_servers import FILMS, KEYED, LOCAL_ZONE, ORIGIN, SETTINGS, edge, parent
from thornjunction import interface as api
from thornjunction.policy.router import Router

RANDOM_SEED = 5
RUN_S = 18.0
# Time after the run for which the last attempts may still end.
COMPLETION_MS = 4000.0
BURST_BEGIN_S = 4.0
BURST_END_S = 9.5
BURST_FACTOR = 1.5
# Time after the burst within which the share of requests served in time has to recover.
RECOVERY_S = 5
COLD_ZONE_INTERVAL = 10
HIT_SHARE = 0.7
KEYED_SHARE = 0.04
TIMEOUT_MS = 3000.0
OBJECT_KB = 500.0
ROUTERS_IN_ZONE = 6
SERVERS = (
    *(edge(f"edge{number}") for number in range(4)),
    *(parent(f"parent{number}") for number in range(3)),
    ORIGIN,
)
# Latency within which a response counts as in time, by request class.
IN_TIME_MS = {FILMS.name: 660.0, KEYED.name: 700.0}
# Durations of attempts by their outcome.
HIT_MS = 100.0
PARENT_HIT_MS = 150.0
MISS_MS = 1.0
PARENT_MISS_MS = 20.0
ORIGIN_MS = 120.0
REJECTION_MS = 30.0
# Attempts per request at the origin: sent by a router itself, and by a cache and its parent together.
DIRECT_ATTEMPTS = 1
CACHE_ATTEMPTS = 4
# The origin: the longest queue that it accepts, the overload at which it stops, and for how long it stops.
MAX_QUEUE_MS = 1500.0
OVERLOAD_FACTOR = 2.5
OVERLOAD_WINDOW_MS = 3000.0
STOP_MS = 6000.0


@dataclass(frozen=True, slots=True)
class FleetSize:
    """Number of routers, request rate of each, and the capacity of the origin."""

    routers: int
    requests_per_s: float
    origin_per_s: float


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The status with which an attempt ends, and its duration."""

    status: api.AttemptStatus
    duration_ms: float


class OriginModel:
    """The origin; counts requests by second, and records in ``stops_ms`` the times at which it stopped."""

    def __init__(self, capacity_per_s: float) -> None:
        self.requests_by_s = Counter[int]()
        self.stops_ms: list[float] = []
        self._capacity_per_s = capacity_per_s
        self._busy_until_ms = 0.0
        self._stopped_until_ms = 0.0
        self._recent_requests_ms: list[float] = []

    def serve(self, now_ms: float, attempt_count: int) -> AttemptResult:
        """Send a request, and retry it after each rejection, up to ``attempt_count`` in all."""
        for _ in range(attempt_count):
            self.requests_by_s[int(now_ms / 1000)] += 1
            self._recent_requests_ms.append(now_ms)
            if now_ms >= self._stopped_until_ms and self._busy_until_ms - now_ms < MAX_QUEUE_MS:
                self._busy_until_ms = max(self._busy_until_ms, now_ms) + 1000 / self._capacity_per_s
                duration_ms = ORIGIN_MS + self._busy_until_ms - now_ms
                return AttemptResult(api.AttemptStatus.SUCCEEDED, duration_ms)
        self._check_overload(now_ms)
        return AttemptResult(api.AttemptStatus.OVERLOADED, REJECTION_MS * attempt_count)

    def _check_overload(self, now_ms: float) -> None:
        window_begin_ms = now_ms - OVERLOAD_WINDOW_MS
        self._recent_requests_ms = [
            time_ms for time_ms in self._recent_requests_ms if time_ms > window_begin_ms
        ]
        max_requests = OVERLOAD_FACTOR * self._capacity_per_s * OVERLOAD_WINDOW_MS / 1000
        if len(self._recent_requests_ms) > max_requests and now_ms >= self._stopped_until_ms:
            self.stops_ms.append(now_ms)
            self._stopped_until_ms = now_ms + STOP_MS


@dataclass(frozen=True, slots=True, order=True)
class ScheduledCall:
    """A call that is due at a time; calls of the same time run in the order of scheduling."""

    due_ms: float
    number: int
    call: Callable[[], None] = field(compare=False)


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request and the time at which a client sent it."""

    sent_ms: float
    request: api.Request


class OriginFleet:
    """The routers, their clients and caches; counts by second all requests and those served in time."""

    def __init__(self, size: FleetSize) -> None:
        self.origin = OriginModel(size.origin_per_s)
        self.requests_by_s = Counter[int]()
        self.in_time_by_s = Counter[int]()
        self._size = size
        self._now_ms = 0.0
        self._random = random.Random(RANDOM_SEED)
        self._scheduled: list[ScheduledCall] = []
        self._number = 0
        self._sent: dict[str, SentRequest] = {}
        self._attempt_counts = Counter[str]()
        settings = replace(
            SETTINGS,
            router_count=size.routers,
            routers_by_zone={LOCAL_ZONE: ROUTERS_IN_ZONE},
            fill_reporting=api.FillReporting.NONE,
            may_bypass_caches=True,
            may_coalesce=False,
            may_hedge=True,
        )
        self._routers = [Router(settings, seed) for seed in range(size.routers)]
        for router in range(size.routers):
            self._handle(router, api.EndpointListUpdate(SERVERS))
            self._schedule_request(router)

    def run(self) -> None:
        """Run until ``COMPLETION_MS`` after the last requests."""
        while self._scheduled:
            scheduled = heapq.heappop(self._scheduled)
            self._now_ms = scheduled.due_ms
            if self._now_ms > RUN_S * 1000 + COMPLETION_MS:
                return
            scheduled.call()

    def in_time_share(self, seconds: Iterable[int]) -> float:
        """Return the share of the requests sent in these seconds that were served in time."""
        span = list(seconds)
        in_time = sum(self.in_time_by_s[second] for second in span)
        return in_time / sum(self.requests_by_s[second] for second in span)

    def worst_overload_share(self) -> float:
        """Return the most requests in one window at the origin, relative to the number that stops it."""
        seconds = int(RUN_S)
        by_second = [self.origin.requests_by_s[second] for second in range(seconds)]
        window_s = int(OVERLOAD_WINDOW_MS / 1000)
        worst = max(sum(by_second[begin : begin + window_s]) for begin in range(seconds - window_s + 1))
        return worst / (OVERLOAD_FACTOR * window_s * self._size.origin_per_s)

    def _schedule(self, due_ms: float, call: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self._scheduled, ScheduledCall(due_ms, self._number, call))

    def _is_in_burst(self) -> bool:
        return BURST_BEGIN_S <= self._now_ms / 1000 < BURST_END_S

    def _schedule_request(self, router: int) -> None:
        factor = BURST_FACTOR if self._is_in_burst() else 1.0
        due_ms = self._now_ms + self._random.expovariate(self._size.requests_per_s * factor / 1000)
        if due_ms < RUN_S * 1000:
            self._schedule(due_ms, lambda: self._send_request(router))

    def _send_request(self, router: int) -> None:
        """Send a request to a router, and schedule the router's next one."""
        self._number += 1
        request_class = KEYED if self._random.random() < KEYED_SHARE else FILMS
        key = self._random.getrandbits(40)
        request = api.Request(f"{self._number}", request_class.name, key, TIMEOUT_MS, size_kb=OBJECT_KB)
        self._sent[request.request_id] = SentRequest(self._now_ms, request)
        self.requests_by_s[int(self._now_ms / 1000)] += 1
        self._handle(router, request)
        self._schedule_request(router)

    def _handle(self, router: int, event: api.Event) -> None:
        for action in self._routers[router].handle(self._now_ms, event):
            if isinstance(action, api.SetTimer):
                self._schedule_timer(router, action)
            elif isinstance(action, api.StartAttempt):
                self._begin_attempt(router, action)

    def _schedule_timer(self, router: int, timer: api.SetTimer) -> None:
        fired = api.TimerFired(timer.token)
        self._schedule(self._now_ms + timer.in_ms, lambda: self._handle(router, fired))

    def _begin_attempt(self, router: int, attempt: api.StartAttempt) -> None:
        number = self._attempt_counts[attempt.request_id]
        self._attempt_counts[attempt.request_id] += 1
        result = self._attempt_result(router, attempt)
        ended = api.AttemptEnded(
            attempt.request_id,
            number,
            attempt.server,
            result.status,
            result.duration_ms,
            final=result.status is api.AttemptStatus.SUCCEEDED,
        )
        self._schedule(self._now_ms + result.duration_ms, lambda: self._end_attempt(router, ended))

    def _end_attempt(self, router: int, ended: api.AttemptEnded) -> None:
        sent = self._sent[ended.request_id]
        latency_ms = self._now_ms - sent.sent_ms
        is_in_time = ended.final and latency_ms <= IN_TIME_MS[sent.request.class_name]
        self.in_time_by_s[int(sent.sent_ms / 1000)] += is_in_time
        self._handle(router, ended)

    def _attempt_result(self, router: int, attempt: api.StartAttempt) -> AttemptResult:
        if attempt.server == ORIGIN.server:
            return self.origin.serve(self._now_ms, DIRECT_ATTEMPTS)
        is_cold_zone = router % COLD_ZONE_INTERVAL == 0 and self._is_in_burst()
        if not is_cold_zone and self._random.random() < HIT_SHARE:
            return AttemptResult(api.AttemptStatus.SUCCEEDED, HIT_MS)
        if attempt.source == attempt.server:
            return AttemptResult(api.AttemptStatus.CACHE_MISS, MISS_MS)
        if self._random.random() < HIT_SHARE:
            return AttemptResult(api.AttemptStatus.SUCCEEDED, PARENT_HIT_MS)
        if attempt.cached_only:
            return AttemptResult(api.AttemptStatus.CACHE_MISS, PARENT_MISS_MS)
        return self.origin.serve(self._now_ms, CACHE_ATTEMPTS)
