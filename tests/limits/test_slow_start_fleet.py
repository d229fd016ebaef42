"""The slow start's budget over the sum of a fleet, from one router to 1,200 that do not hear one another,
some of them asked several times the mean; copies, fills and retries count."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator

import pytest

from tests.helpers import ORIGIN, RouterDriver, actions_of, edge, parent
from thornjunction import interface as api

START, WINDOW = 1000.0, 1000.0  # ms: of the cold servers, of the rule
COLD = (*(edge(f"cold{n}", started_ms=START) for n in range(3)), parent("cold parent", started_ms=START))
BURSTS = 700.0, 1600.0, 2700.0  # two of them within one window of the rule, on both sides of a router's own
WARM = (edge("warm0"), edge("warm1"), parent("warm parent"), ORIGIN)
FACTS = {api.Role.EDGE: (8.0, 0.2, 15_000.0), api.Role.PARENT: (20.0, 0.1, 20_000.0)}  # size, share, warm in


def budget(role: api.Role, work: float, now: float) -> float:
    """N: requests of mean work (ms) that the settings allow in a window, of all routers together."""
    size, share, warm_in = FACTS[role]
    return 2.0 * (share + (1 - share) * (now - START) / warm_in) * size * WINDOW / work


def most(allowed: float) -> float:
    """What a cold server bears in a window: N and its spread."""
    deviations = 3 if allowed < 30 else 2
    return allowed + deviations * math.sqrt(allowed) + deviations


def crowd(routers: int, end: float, draw: random.Random) -> Iterator[tuple[float, int]]:
    """Who is asked when: a tenth of the routers get five times the others' share; in each burst everyone is
    asked three times at once."""
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
    for place, bench in enumerate(fleet):
        bench.router.random.seed(place)
    sent: dict[str, list[float]] = {entry.server: [] for entry in COLD}

    def play(bench: RouterDriver, actions: list[api.Action]) -> None:
        for fetch in actions_of(actions, api.StartAttempt):
            for name in {fetch.server, fetch.source} & sent.keys():
                sent[name].append(bench.now_ms)
            if draw.random() < 0.9:  # one in ten waits, and may get a copy; one in five is tried again
                status = (
                    api.AttemptStatus.CONNECTION_RESET if draw.random() < 0.2 else api.AttemptStatus.SUCCEEDED
                )
                play(bench, bench.end_attempt(fetch, status))

    for at, who in crowd(routers, 4000.0, draw):
        bench = fleet[who]
        play(bench, bench.advance(START + at - bench.now_ms))
        play(bench, bench.request(draw.randrange(10_000), size_kb=work * 5.0))
    for entry in COLD:
        times = sorted(sent[entry.server])
        assert len(times) > 0.2 * budget(entry.role, work, START)  # cold servers are used
        for end in times:
            allowed = budget(entry.role, work, end)
            count = sum(end - WINDOW < at <= end for at in times)
            assert count <= most(allowed), (entry.server, end, count, allowed)
