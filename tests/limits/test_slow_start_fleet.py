"""The slow-start budget of a cold server, for fleets of one to 1,200 routers together.

The routers do not communicate, and some get several times the mean number of requests; hedged requests, fills
and retries count.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

import pytest

from tests.helpers import ORIGIN, RouterDriver, actions_of, edge, parent
from thornjunction import interface as api

# Time in milliseconds at which the cold servers start.
START_MS = 1000.0

# Length in milliseconds of the window in which rule 4 of the simulator limits the load.
WINDOW_MS = 1000.0

# Milliseconds for which requests arrive, and their number outside the bursts.
ARRIVALS_MS = 4000.0
REQUESTS = 3000

# Times in milliseconds of the bursts: two lie in one window of rule 4, but in different windows of a router.
BURSTS_MS = (700.0, 1600.0, 2700.0)

# Requests that each router gets in a burst.
BURST_REQUESTS = 3

# One router in BUSY_ROUTER_INTERVAL gets this multiple of the others' requests.
BUSY_ROUTER_INTERVAL = 10
BUSY_ROUTER_FACTOR = 5.0

# Share of the attempts that end at once; the others wait, and may be hedged.
ANSWERED_SHARE = 0.9

# Share of those attempts that end with a reset, and are retried.
RESET_SHARE = 0.2

# Transfer rate of a server in kilobytes per millisecond.
KB_PER_MS = 5.0

# Below this number of requests per window, the margin is three standard deviations, otherwise two.
FEW_REQUESTS = 30

COLD = (
    *(edge(f"cold{number}", started_ms=START_MS) for number in range(3)),
    parent("cold parent", started_ms=START_MS),
)

WARM = (edge("warm0"), edge("warm1"), parent("warm parent"), ORIGIN)


@dataclass(frozen=True, slots=True)
class SlowStart:
    """The slow-start settings of a role."""

    weight: float
    initial_share: float
    duration_ms: float


SLOW_STARTS = {
    api.Role.EDGE: SlowStart(8.0, 0.2, 15_000.0),
    api.Role.PARENT: SlowStart(20.0, 0.1, 20_000.0),
}


def allowed_requests(role: api.Role, transfer_ms: float, now_ms: float) -> float:
    """Return how many requests of this transfer time the settings allow all routers together in a window."""
    slow_start = SLOW_STARTS[role]
    progress = (now_ms - START_MS) / slow_start.duration_ms
    share = slow_start.initial_share + (1 - slow_start.initial_share) * progress
    return 2.0 * share * slow_start.weight * WINDOW_MS / transfer_ms


def max_requests(allowed: float) -> float:
    """Return how many requests a cold server may get in a window: those allowed, and a random margin."""
    deviations = 3 if allowed < FEW_REQUESTS else 2
    return allowed + deviations * math.sqrt(allowed) + deviations


def arrivals(routers: int, draw: random.Random) -> Iterator[tuple[float, int]]:
    """Return the time and router of each request, in the order of times."""
    rates = [BUSY_ROUTER_FACTOR if router % BUSY_ROUTER_INTERVAL == 0 else 1.0 for router in range(routers)]
    chosen_routers = draw.choices(range(routers), rates, k=REQUESTS)
    requests = [(draw.uniform(0.0, ARRIVALS_MS), router) for router in chosen_routers]
    for burst_ms in BURSTS_MS:
        requests += [(burst_ms, router) for router in range(routers) for _ in range(BURST_REQUESTS)]
    return iter(sorted(requests))


class ColdServers:
    """Executes the attempts of a fleet, and records when each cold server got one, as server or as source."""

    def __init__(self, draw: random.Random) -> None:
        self.requests_ms: dict[str, list[float]] = {entry.server: [] for entry in COLD}
        self._draw = draw

    def execute(self, driver: RouterDriver, actions: list[api.Action]) -> None:
        """Execute the attempts among the actions; most end at once, and lead to further actions."""
        for attempt in actions_of(actions, api.StartAttempt):
            for name in {attempt.server, attempt.source} & self.requests_ms.keys():
                self.requests_ms[name].append(driver.now_ms)
            if self._draw.random() < ANSWERED_SHARE:
                is_reset = self._draw.random() < RESET_SHARE
                status = api.AttemptStatus.CONNECTION_RESET if is_reset else api.AttemptStatus.SUCCEEDED
                self.execute(driver, driver.end_attempt(attempt, status))


@pytest.mark.parametrize("transfer_ms", [50.0, 250.0, 1000.0])
@pytest.mark.parametrize("routers", [1, 2, 3, 5, 20, 200, 1200])
def test_a_fleet_keeps_a_cold_servers_budget_whichever_routers_get_the_requests(
    routers: int, transfer_ms: float
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
        actions = driver.request(draw.randrange(10_000), size_kb=transfer_ms * KB_PER_MS)
        cold_servers.execute(driver, actions)
    for entry in COLD:
        check_budget(entry, transfer_ms, sorted(cold_servers.requests_ms[entry.server]))


def check_budget(entry: api.ServerEntry, transfer_ms: float, requests_ms: list[float]) -> None:
    """Check that a cold server gets requests, but in no window more than its budget allows."""
    assert len(requests_ms) > 0.2 * allowed_requests(entry.role, transfer_ms, START_MS)
    for end_ms in requests_ms:
        allowed = allowed_requests(entry.role, transfer_ms, end_ms)
        count = sum(end_ms - WINDOW_MS < at_ms <= end_ms for at_ms in requests_ms)
        assert count <= max_requests(allowed), (entry.server, end_ms, count, allowed)
