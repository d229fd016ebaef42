"""Rule 4: servers that started recently get no more than their slow-start budget."""

from __future__ import annotations

import pytest

from tests.helpers import (
    EDGES,
    ORIGIN,
    PARENTS,
    RouterDriver,
    actions_of,
    attempt_of,
    edge,
    parent,
)
from thornjunction import interface as api


@pytest.mark.parametrize("role", ["edge", "parent"])
def test_cold_servers_get_no_more_than_their_budget_in_any_window(role: str) -> None:
    cold = edge("cold", started_ms=1000.0) if role == "edge" else parent("cold", started_ms=1000.0)
    driver = RouterDriver(entries=(*EDGES[:1], *PARENTS[:1], cold, ORIGIN))
    weight, share, warm_up_ms, routers = (
        (8.0, 0.2, 15_000.0, 2) if role == "edge" else (20.0, 0.1, 20_000.0, 4)
    )
    sent: list[tuple[float, float]] = []
    for number in range(3000):
        attempt = attempt_of(driver.request(number))
        if "cold" in (attempt.server, attempt.source):
            sent.append((driver.now_ms, 200.0))  # 1000 KB at 5 KB per ms
        driver.end_attempt(attempt)
        driver.advance(5.0)
    assert len(sent) > 20
    for end_ms, _ in sent:
        work_ms = sum(
            transfer_ms for sent_at_ms, transfer_ms in sent if end_ms - 1000.0 < sent_at_ms <= end_ms
        )
        capacity_share = share + (1 - share) * min((end_ms - 1000.0) / warm_up_ms, 1.0)
        assert work_ms <= 2.0 * capacity_share * weight * 1000.0 / routers


@pytest.mark.parametrize("routers", [1, 200])
def test_all_routers_together_keep_a_cold_servers_budget(routers: int) -> None:
    """One router's load, times the number of routers, stays within the server's capacity in any window."""
    cold = edge("cold", started_ms=1000.0)
    cold_parent = parent("cold parent", started_ms=1000.0)
    entries = (EDGES[0], PARENTS[0], cold, cold_parent, ORIGIN)
    driver = RouterDriver(entries=entries, router_count=routers, routers_by_zone={"here": routers})
    sent: dict[str, list[float]] = {"cold": [], "cold parent": []}
    for number in range(2500):
        attempt = attempt_of(driver.request(number, size_kb=25.0))  # 5 ms of transfer time
        for name in {attempt.server, attempt.source} & sent.keys():
            sent[name].append(driver.now_ms)
        driver.end_attempt(attempt)
        driver.advance(4.0)
    for name, weight, share, warm_up_ms in (
        ("cold", 8.0, 0.2, 15_000.0),
        ("cold parent", 20.0, 0.1, 20_000.0),
    ):
        assert sent[name] or routers > 1
        for end_ms in sent[name]:
            work_ms = routers * 5.0 * sum(end_ms - 1000.0 < sent_at_ms <= end_ms for sent_at_ms in sent[name])
            capacity_share = share + (1 - share) * (end_ms - 1000.0) / warm_up_ms
            assert work_ms <= 2.0 * capacity_share * weight * 1000.0


def test_without_weights_a_zone_of_cold_caches_is_still_served() -> None:
    entries = tuple(edge(f"cold{number}", started_ms=1000.0, weight=1.0) for number in range(3))
    driver = RouterDriver(entries=(*entries, *PARENTS, ORIGIN), servers_weighted=False)
    served = 0
    for number in range(1000):
        for attempt in actions_of(driver.request(number), api.StartAttempt) + actions_of(
            driver.advance(20.0), api.StartAttempt
        ):
            driver.end_attempt(attempt)
            served += 1
    assert served > 300


def test_router_counts_of_zero_or_absent_count_as_one() -> None:
    cold = edge("cold", started_ms=1000.0)
    for settings in (
        {"router_count": 0, "routers_by_zone": {}},
        {"router_count": 0, "routers_by_zone": {"here": 0}},
    ):
        assert (
            attempt_of(RouterDriver(entries=(cold, ORIGIN), **settings).request(size_kb=25.0)).server
            == "cold"
        )


def unweighted_rate(missing: int, repeat_factor: int) -> float:
    """Return a cold cache's rate if caches of its zone are missing and clients repeat their requests."""
    driver = RouterDriver(servers_weighted=False)
    for second in range(12):
        for number in range(5 * (repeat_factor if second > 5 else 1)):
            for attempt in actions_of(driver.request(number), api.StartAttempt):
                driver.end_attempt(attempt)
        driver.router.state.gates.fills.share = 0.5 if second > 4 and repeat_factor > 1 else 1.0
        driver.advance(1000.0)
    cold = edge("edge3", started_ms=driver.now_ms)
    driver.handle(api.EndpointListUpdate((*EDGES[missing:3], cold, *PARENTS, ORIGIN)))
    server = driver.router.state.placement.server_list.servers["edge3"]
    return driver.router.state.placement.slow_start.rate(
        server.entry, server.slow_start_window, driver.now_ms
    )


def test_a_cold_caches_budget_does_not_grow_with_missing_caches_or_repeats() -> None:
    """Without weights the budget follows the load per warm cache, not counting missing caches or repeats."""
    normal_rate = unweighted_rate(missing=0, repeat_factor=1)
    assert unweighted_rate(missing=3, repeat_factor=1) == pytest.approx(normal_rate)
    assert unweighted_rate(missing=0, repeat_factor=4) <= normal_rate * 1.01
