"""A model of a fleet that sends requests to cold servers; the routers do not communicate with one another."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, replace

from benchmark_tools.decision_servers import FILMS, LOCAL_ZONE, ORIGIN, SETTINGS, edge, parent
from thornjunction import interface as api
from thornjunction.policy.router import Router

RANDOM_SEED = 7
# Time at which the cold servers started and each run begins.
START_MS = 1000.0
RUN_MS = 4_000.0
# The window over which slow start limits the requests to a cold server.
WINDOW_MS = 1000.0
# Time that a server works on one request.
WORK_MS = 50.0
ANSWER_MS = 100.0
# Times after the start at which each router receives several requests at once.
BURSTS_MS = (1_500.0, 2_600.0)
REQUESTS_PER_BURST = 3
OBJECTS = 10_000
# Share of the attempts that end at once; the others stay in flight, and may be hedged.
IMMEDIATE_END_SHARE = 0.9
RESET_SHARE = 0.2


def _cold(entry: api.ServerEntry) -> api.ServerEntry:
    return replace(entry, started_ms=START_MS)


COLD_EDGE = _cold(edge("cold0"))
COLD_PARENT = _cold(parent("cold parent"))
COLD_SERVERS = (COLD_EDGE, _cold(edge("cold1")), _cold(edge("cold2")), COLD_PARENT)
WARM_SERVERS = (edge("warm0"), edge("warm1"), parent("warm parent"), ORIGIN)


@dataclass(frozen=True, slots=True)
class SlowStart:
    """The slow start of a role: its full weight, the initial share of it, and the time to the full weight."""

    weight: float
    initial_share: float
    duration_ms: float


SLOW_STARTS = {
    api.Role.EDGE: SlowStart(8.0, 0.2, 15_000.0),
    api.Role.PARENT: SlowStart(20.0, 0.1, 20_000.0),
}


def window_budget(role: api.Role, now_ms: float) -> float:
    """Return how many requests of ``WORK_MS`` all routers together may send to a cold server in a window."""
    slow_start = SLOW_STARTS[role]
    grown_share = (1 - slow_start.initial_share) * (now_ms - START_MS) / slow_start.duration_ms
    return 2.0 * (slow_start.initial_share + grown_share) * slow_start.weight * WINDOW_MS / WORK_MS


class ColdFleetRouter:
    """One router of the fleet; ``attempts_ms`` holds the times of its attempts at each cold server."""

    def __init__(self, routers: int, number: int, generator: random.Random) -> None:
        settings = replace(
            SETTINGS, router_count=routers, routers_by_zone={LOCAL_ZONE: routers}, may_hedge=True
        )
        self.attempts_ms: dict[str, list[float]] = {entry.server: [] for entry in COLD_SERVERS}
        self._generator = generator
        self._now_ms = START_MS
        self._request_count = 0
        self._timers: list[tuple[float, int]] = []
        self._attempts: dict[str, list[api.StartAttempt]] = {}
        self._router = Router(settings, RANDOM_SEED)
        self._handle(api.EndpointListUpdate((*WARM_SERVERS, *COLD_SERVERS)))
        self._router.random.seed(number)

    def run(self, request_times_ms: Iterable[float]) -> None:
        """Receive a request at each of these times, in ms after ``START_MS``."""
        for request_ms in request_times_ms:
            self._attempts.clear()
            self._process(self._advance_to(START_MS + request_ms))
            self._process(self._request(self._generator.randrange(OBJECTS)))

    def _handle(self, event: api.Event) -> list[api.Action]:
        actions = self._router.handle(self._now_ms, event)
        for action in actions:
            if isinstance(action, api.SetTimer):
                self._timers.append((self._now_ms + action.in_ms, action.token))
            elif isinstance(action, api.StartAttempt):
                self._attempts.setdefault(action.request_id, []).append(action)
        return actions

    def _advance_to(self, end_ms: float) -> list[api.Action]:
        """Fire the timers that are due by ``end_ms``, and return their actions."""
        actions: list[api.Action] = []
        while due := [timer for timer in self._timers if timer[0] <= end_ms]:
            timer = min(due)
            self._timers.remove(timer)
            due_ms, token = timer
            self._now_ms = max(self._now_ms, due_ms)
            actions += self._handle(api.TimerFired(token))
        self._now_ms = end_ms
        return actions

    def _request(self, key: int) -> list[api.Action]:
        self._request_count += 1
        request_id = str(self._request_count)
        size_kb = WORK_MS * SETTINGS.transfer_rate_kb_per_ms
        return self._handle(
            api.Request(request_id, FILMS.name, key, FILMS.client_timeout_ms, size_kb=size_kb)
        )

    def _process(self, actions: Iterable[api.Action]) -> None:
        """Record attempts at cold servers, end most attempts at once, and process the resulting actions."""
        for action in actions:
            if not isinstance(action, api.StartAttempt):
                continue
            for server in {action.server, action.source} & self.attempts_ms.keys():
                self.attempts_ms[server].append(self._now_ms)
            if self._generator.random() < IMMEDIATE_END_SHARE:
                is_reset = self._generator.random() < RESET_SHARE
                self._process(self._end_attempt(action, is_reset))

    def _end_attempt(self, attempt: api.StartAttempt, is_reset: bool) -> list[api.Action]:
        siblings = self._attempts[attempt.request_id]
        number = next(index for index, sibling in enumerate(siblings) if sibling is attempt)
        status = api.AttemptStatus.CONNECTION_RESET if is_reset else api.AttemptStatus.SUCCEEDED
        fill = api.FillResult.NONE if is_reset else api.FillResult.HIT
        ended = api.AttemptEnded(
            attempt.request_id, number, attempt.server, status, ANSWER_MS, fill, final=not is_reset
        )
        return self._handle(ended)


def simulate_cold_fleet(routers: int, requests_per_s: float) -> dict[str, list[float]]:
    """Return the times in ms of all attempts at each cold server; each router gets ``requests_per_s``."""
    generator = random.Random(routers)
    attempts_ms: dict[str, list[float]] = {entry.server: [] for entry in COLD_SERVERS}
    for number in range(routers):
        router = ColdFleetRouter(routers, number, generator)
        count = int(requests_per_s * RUN_MS / 1000)
        times_ms = [generator.uniform(0.0, RUN_MS) for _ in range(count)]
        bursts_ms = [burst_ms for burst_ms in BURSTS_MS for _ in range(REQUESTS_PER_BURST)]
        router.run(sorted([*times_ms, *bursts_ms]))
        for server, times in router.attempts_ms.items():
            attempts_ms[server] += times
    return attempts_ms
