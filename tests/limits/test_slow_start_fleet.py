"""The slow start's budget over the sum of a fleet, from one router to 1,200.

The routers know nothing of one another, and some get several times the mean of the requests; hedged requests,
fills and retries count.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

import pytest

from tests.helpers import ORIGIN, RouterDriver, actions_of, edge, parent
from thornjunction import interface as api

# Milliseconds at which the cold servers start.
START_MS = 1000.0

# Milliseconds of the rule's window.
WINDOW_MS = 1000.0

# Milliseconds for which requests arrive, and their number outside of bursts.
ARRIVALS_MS = 4000.0
REQUESTS = 3000

# Milliseconds of the bursts: two of them within one window of the rule, on both sides of a router's own.
BURSTS_MS = (700.0, 1600.0, 2700.0)

# Requests that each router gets in a burst.
BURST_REQUESTS = 3

# One router in so many gets this multiple of the others' requests.
BUSY_ROUTER_INTERVAL = 10
BUSY_ROUTER_FACTOR = 5.0

# The share of attempts that end at once; the others wait, and may be hedged.
ANSWERED_SHARE = 0.9

# The share of those that end with a reset, and are retried.
RESET_SHARE = 0.2

# Kilobytes that a server sends in a millisecond.
KB_PER_MS = 5.0

# Under so many requests a window, the spread is three standard deviations; else two.
FEW_REQUESTS = 30

COLD = (
    *(edge(f"cold{number}", started_ms=START_MS) for number in range(3)),
    parent("cold parent", started_ms=START_MS),
)

WARM = (edge("warm0"), edge("warm1"), parent("warm parent"), ORIGIN)


@dataclass(frozen=True, slots=True)
class SlowStart:
    """What the settings say of a role's slow start."""

    weight: float
    initial_share: float
    duration_ms: float


SLOW_STARTS = {
    api.Role.EDGE: SlowStart(8.0, 0.2, 15_000.0),
    api.Role.PARENT: SlowStart(20.0, 0.1, 20_000.0),
}


def allowed_requests(role: api.Role, work_ms: float, now_ms: float) -> float:
    """Return how many requests of that work the settings allow in a window, of all routers together."""
    slow_start = SLOW_STARTS[role]
    progress = (now_ms - START_MS) / slow_start.duration_ms
    share = slow_start.initial_share + (1 - slow_start.initial_share) * progress
    return 2.0 * share * slow_start.weight * WINDOW_MS / work_ms


def max_requests(allowed: float) -> float:
    """Return how many requests a cold server may get in a window: those allowed, and their spread."""
    deviations = 3 if allowed < FEW_REQUESTS else 2
    return allowed + deviations * math.sqrt(allowed) + deviations


def arrivals(routers: int, draw: random.Random) -> Iterator[tuple[float, int]]:
    """Return times and routers of the requests, in order."""
    rates = [BUSY_ROUTER_FACTOR if router % BUSY_ROUTER_INTERVAL == 0 else 1.0 for router in range(routers)]
    busy = draw.choices(range(routers), rates, k=REQUESTS)
    requests = [(draw.uniform(0.0, ARRIVALS_MS), router) for router in busy]
    for burst_ms in BURSTS_MS:
        requests += [(burst_ms, router) for router in range(routers) for _ in range(BURST_REQUESTS)]
    return iter(sorted(requests))


class ColdServers:
    """Executes the attempts of a fleet, and keeps when each cold server got one, as server or as source."""

    def __init__(self, draw: random.Random) -> None:
        self.requests_ms: dict[str, list[float]] = {entry.server: [] for entry in COLD}
        self._draw = draw

    def execute(self, driver: RouterDriver, actions: list[api.Action]) -> None:
        """Start the attempts among the actions; most end at once, and lead to further actions."""
        for attempt in actions_of(actions, api.StartAttempt):
            for name in {attempt.server, attempt.source} & self.requests_ms.keys():
                self.requests_ms[name].append(driver.now_ms)
            if self._draw.random() < ANSWERED_SHARE:
                is_reset = self._draw.random() < RESET_SHARE
                status = api.AttemptStatus.CONNECTION_RESET if is_reset else api.AttemptStatus.SUCCEEDED
                self.execute(driver, driver.end_attempt(attempt, status))


@pytest.mark.parametrize("work_ms", [50.0, 250.0, 1000.0])
@pytest.mark.parametrize("routers", [1, 2, 3, 5, 20, 200, 1200])
def test_a_fleet_keeps_a_cold_servers_budget_whichever_router_gets_requests(
    routers: int, work_ms: float
) -> None:
    draw = random.Random(routers)
    settings = {"router_count": routers, "routers_by_zone": {"here": routers}, "may_hedge": True}
    fleet = [RouterDriver(entries=(*WARM, *COLD), **settings) for _ in range(routers)]
    for number, driver in enumerate(fleet):
        driver.router.random.seed(number)
    cold_servers = ColdServers(draw)
    for arrival_ms, router in arrivals(routers, draw):
        driver = fleet[router]
        cold_servers.execute(driver, driver.advance(START_MS + arrival_ms - driver.now_ms))
        actions = driver.request(draw.randrange(10_000), size_kb=work_ms * KB_PER_MS)
        cold_servers.execute(driver, actions)
    for entry in COLD:
        check_budget(entry, work_ms, sorted(cold_servers.requests_ms[entry.server]))


def check_budget(entry: api.ServerEntry, work_ms: float, requests_ms: list[float]) -> None:
    """Check that a cold server is used, and that no window has more than its budget."""
    assert len(requests_ms) > 0.2 * allowed_requests(entry.role, work_ms, START_MS)
    for end_ms in requests_ms:
        allowed = allowed_requests(entry.role, work_ms, end_ms)
        count = sum(end_ms - WINDOW_MS < at_ms <= end_ms for at_ms in requests_ms)
        assert count <= max_requests(allowed), (entry.server, end_ms, count, allowed)
