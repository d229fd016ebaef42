"""The slow start's budget over the sum of a fleet, from one router to 1,200.

The routers know nothing of one another, and some get several times the mean of the requests; hedged requests,
fills and retries count.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator

import pytest

from tests.helpers import ORIGIN, RouterDriver, actions_of, edge, parent
from thornjunction import interface as api

# Milliseconds at which the cold servers start.
START_MS = 1000.0

# Milliseconds of the rule's window.
WINDOW_MS = 1000.0

COLD = (
    *(edge(f"cold{n}", started_ms=START_MS) for n in range(3)),
    parent("cold parent", started_ms=START_MS),
)
BURSTS = 700.0, 1600.0, 2700.0  # two of them within one window of the rule, on both sides of a router's own
WARM = (edge("warm0"), edge("warm1"), parent("warm parent"), ORIGIN)
FACTS = {api.Role.EDGE: (8.0, 0.2, 15_000.0), api.Role.PARENT: (20.0, 0.1, 20_000.0)}  # size, share, warm in


def allowed_requests(role: api.Role, work: float, now: float) -> float:
    """N: requests of mean work (ms) that the settings allow in a window, of all routers together."""
    size, share, warm_in = FACTS[role]
    return 2.0 * (share + (1 - share) * (now - START_MS) / warm_in) * size * WINDOW_MS / work


def max_requests(allowed: float) -> float:
    """What a cold server bears in a window: N and its spread."""
    deviations = 3 if allowed < 30 else 2
    return allowed + deviations * math.sqrt(allowed) + deviations


def arrivals(routers: int, end: float, draw: random.Random) -> Iterator[tuple[float, int]]:
    """Return times and routers of the requests.

    A tenth of the routers get five times the others' share; in each burst each router gets three at once.
    """
    rates = [5.0 if place % 10 == 0 else 1.0 for place in range(routers)]
    asked = [(draw.uniform(0.0, end), who) for who in draw.choices(range(routers), rates, k=3000)]
    asked += [(at, who) for at in BURSTS for who in range(routers) for _ in range(3)]
    return iter(sorted(asked))


@pytest.mark.parametrize("work", [50.0, 250.0, 1000.0])  # ms of each request: N from 80 to 3
@pytest.mark.parametrize("routers", [1, 2, 3, 5, 20, 200, 1200])
def test_a_fleet_keeps_a_cold_servers_budget_whoever_is_asked(routers: int, work: float) -> None:
    draw = random.Random(routers)
    more = {"router_count": routers, "routers_by_zone": {"here": routers}, "may_hedge": True}
    fleet = [RouterDriver(entries=(*WARM, *COLD), **more) for _ in range(routers)]
    for place, driver in enumerate(fleet):
        driver.router.random.seed(place)
    sent: dict[str, list[float]] = {entry.server: [] for entry in COLD}

    def execute(driver: RouterDriver, actions: list[api.Action]) -> None:
        for attempt in actions_of(actions, api.StartAttempt):
            for name in {attempt.server, attempt.source} & sent.keys():
                sent[name].append(driver.now_ms)
            if draw.random() < 0.9:  # one in ten waits, and may get a copy; one in five is tried again
                status = (
                    api.AttemptStatus.CONNECTION_RESET if draw.random() < 0.2 else api.AttemptStatus.SUCCEEDED
                )
                execute(driver, driver.end_attempt(attempt, status))

    for at, who in arrivals(routers, 4000.0, draw):
        driver = fleet[who]
        execute(driver, driver.advance(START_MS + at - driver.now_ms))
        execute(driver, driver.request(draw.randrange(10_000), size_kb=work * 5.0))
    for entry in COLD:
        times = sorted(sent[entry.server])
        assert len(times) > 0.2 * allowed_requests(entry.role, work, START_MS)  # cold servers are used
        for end in times:
            allowed = allowed_requests(entry.role, work, end)
            count = sum(end - WINDOW_MS < at <= end for at in times)
            assert count <= max_requests(allowed), (entry.server, end, count, allowed)
