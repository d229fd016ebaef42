"""A steady load on the decision code of one router, in simulated time."""

from __future__ import annotations

import heapq
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from benchmark_tools.decision_servers import FILMS, LOCAL_ZONE, SETTINGS
from benchmark_tools.process_figures import resident_kb
from thornjunction import interface as api
from thornjunction.policy.router import Router

# Time between two requests at 742 requests per second: 890,000 divided among 1,200 routers.
REQUEST_INTERVAL_MS = 1_000 / 742
ROUTERS = 1200
ROUTERS_IN_ZONE = 21
# Time from the start of an attempt to its response.
RESPONSE_MS = 80.0
TIMEOUT_MS = 5_000.0
OBJECT_KB = 477.0
# Number of objects in the full deployment; so many that random requests rarely repeat one.
ALL_OBJECTS = 520_000_000
START_MS = 1_000.0


@dataclass(frozen=True, slots=True, order=True)
class DueEvent:
    """An event that the router receives at ``due_ms``; events of the same time are ordered by number."""

    due_ms: float
    number: int
    event: api.Event = field(compare=False)


class DecisionLoad:
    """One router whose requests all are cache hits at the first attempt."""

    def __init__(
        self, entries: tuple[api.ServerEntry, ...], objects: int = ALL_OBJECTS, seed: int = 7
    ) -> None:
        settings = replace(
            SETTINGS,
            router_count=ROUTERS,
            routers_by_zone={LOCAL_ZONE: ROUTERS_IN_ZONE},
            may_hedge=True,
        )
        self._router = Router(settings, seed)
        self._objects = objects
        self._random = random.Random(seed)
        self._now_ms = START_MS
        self._number = 0
        self._due: list[DueEvent] = []
        self.handle(api.EndpointListUpdate(entries))

    def handle(self, event: api.Event) -> float:
        """Pass an event to the router, schedule the resulting events, and return the CPU time in s."""
        begin_s = time.process_time()
        actions = self._router.handle(self._now_ms, event)
        spent_s = time.process_time() - begin_s
        for action in actions:
            self._number += 1
            if isinstance(action, api.SetTimer):
                self._schedule(action.in_ms, api.TimerFired(action.token))
            elif isinstance(action, api.StartAttempt):
                self._schedule(RESPONSE_MS, _hit(action))
        return spent_s

    def _schedule(self, delay_ms: float, event: api.Event) -> None:
        heapq.heappush(self._due, DueEvent(self._now_ms + delay_ms, self._number, event))

    def request_us(self, count: int) -> float:
        """Send requests; return the mean CPU time in us of one and its outcome, without that of timers."""
        spent_s = 0.0
        for _ in range(count):
            self._now_ms += REQUEST_INTERVAL_MS
            while self._due and self._due[0].due_ms <= self._now_ms:
                event = heapq.heappop(self._due).event
                event_s = self.handle(event)
                if isinstance(event, api.AttemptEnded):
                    spent_s += event_s
            self._number += 1
            key = self._random.randrange(self._objects)
            request = api.Request(f"r{self._number}", FILMS.name, key, TIMEOUT_MS, size_kb=OBJECT_KB)
            spent_s += self.handle(request)
        return spent_s / max(count, 1) * 1e6


def _hit(attempt: api.StartAttempt) -> api.AttemptEnded:
    return api.AttemptEnded(
        attempt.request_id,
        0,
        attempt.server,
        api.AttemptStatus.SUCCEEDED,
        RESPONSE_MS,
        api.FillResult.HIT,
        final=True,
    )


@dataclass(frozen=True, slots=True)
class DecisionMemory:
    """Growth of a process's resident memory by the endpoint list, and then by the requests."""

    list_kb: int
    requests_kb: int


def measure_memory(
    build_entries: Callable[[int, int], tuple[api.ServerEntry, ...]], sizes: tuple[int, int], requests: int
) -> DecisionMemory:
    """Measure the growth of this process, which has to be fresh for the result to be meaningful."""
    start_kb = resident_kb("self")
    load = DecisionLoad(build_entries(*sizes))
    with_list_kb = resident_kb("self")
    load.request_us(requests)
    return DecisionMemory(with_list_kb - start_kb, resident_kb("self") - with_list_kb)
