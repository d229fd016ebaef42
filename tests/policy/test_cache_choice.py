"""Choice of the cache and the source for a request, and the retention rank of its object."""

from __future__ import annotations

from tests.helpers import (
    EDGES,
    ORIGIN,
    PARENTS,
    RouterDriver,
    attempt_of,
    edge,
    parent,
)
from thornjunction import interface as api

FILLED = api.FillResult.FILLED


def owners(driver: RouterDriver, keys: range) -> dict[int, str]:
    """Request each object and return the cache that was chosen for it."""
    server_by_key = {}
    for key in keys:
        attempt = attempt_of(driver.request(key))
        server_by_key[key] = attempt.server
        driver.end_attempt(attempt)
    return server_by_key


def test_the_same_seed_and_events_give_the_same_actions() -> None:
    logs = []
    for _ in range(2):
        driver = RouterDriver()
        for number in range(200):
            driver.end_attempt(
                attempt_of(driver.request(number % 17)),
                fill_result=FILLED,
                fill_first_byte_ms=float(number % 9),
            )
            driver.advance(30.0)
        logs.append(driver.action_log)
    assert logs[0] == logs[1]


def test_routers_agree_on_the_cache_whatever_the_order_of_their_lists() -> None:
    first = RouterDriver()
    second = RouterDriver(entries=(ORIGIN, *PARENTS, *reversed(EDGES)))
    assert owners(first, range(200)) == owners(second, range(200))


def test_removing_a_cache_moves_only_the_objects_that_it_owned() -> None:
    driver = RouterDriver()
    before = owners(driver, range(400))
    driver.handle(api.EndpointListUpdate((edge("edge2", state=api.ServerState.REMOVED),), complete=False))
    after = owners(driver, range(400))
    assert {key for key in before if before[key] != after[key]} == {k for k in before if before[k] == "edge2"}
    assert len(set(before.values())) == 4


def test_a_cache_of_higher_weight_owns_more_objects() -> None:
    driver = RouterDriver(entries=(edge("small", weight=4.0), edge("large", weight=12.0), ORIGIN))
    share = sum(owner == "large" for owner in owners(driver, range(1000)).values()) / 1000
    assert 0.7 < share < 0.8


def test_the_source_is_the_faster_of_two_hashed_parents() -> None:
    driver = RouterDriver()
    for key in range(400):
        attempt = attempt_of(driver.request(key))
        first_byte_ms = {"parent0": 90.0, "parent1": 30.0, "parent2": 10.0}[attempt.source]
        driver.end_attempt(attempt, fill_result=FILLED, fill_first_byte_ms=first_byte_ms)
    source_counts: dict[str, int] = {}
    for key in range(400, 700):
        attempt = attempt_of(driver.request(key))
        source_counts[attempt.source] = source_counts.get(attempt.source, 0) + 1
        driver.end_attempt(attempt)
    assert "parent0" not in source_counts  # the slowest of the three parents is never the faster of two
    assert source_counts["parent2"] > source_counts["parent1"] > 50


def test_the_origin_is_the_source_without_parents() -> None:
    assert attempt_of(RouterDriver(entries=(*EDGES, ORIGIN)).request()).source == "origin"


def test_retention_ranks_follow_request_rates_and_fill_costs() -> None:
    def mean_rank(driver: RouterDriver, cost_probability: float, key: int, **fields: float) -> float:
        driver.router.state.ranking.cost_probability = cost_probability
        ranks = []
        for _ in range(30):
            attempt = attempt_of(driver.request(key, **fields))
            ranks.append(attempt.retention_rank)
            driver.end_attempt(attempt)
        return sum(ranks[-15:]) / 15

    driver = RouterDriver()
    for number in range(600):  # many objects with medium request rates
        driver.end_attempt(
            attempt_of(driver.request(number % 100)), fill_result=FILLED, fill_first_byte_ms=50.0
        )
    assert mean_rank(driver, 0.0, 500) == 3.0  # requested often
    driver.advance(100.0)
    assert attempt_of(driver.request(501)).retention_rank == 1  # requested once
    assert mean_rank(driver, 1.0, 502, size_kb=10.0) > mean_rank(driver, 1.0, 503, size_kb=100_000.0)


def test_the_cost_probability_follows_the_overloaded_resource_and_returns() -> None:
    driver = RouterDriver()

    def run_one_second(first_byte_ms: float, link_utilization: float | None = None) -> float:
        for _ in range(20):
            report = None if link_utilization is None else api.LoadReport(link_utilization=link_utilization)
            attempt = attempt_of(driver.request())
            fill_result, elapsed_ms = (
                (FILLED, first_byte_ms) if attempt.source != attempt.server else (api.FillResult.HIT, 50.0)
            )
            driver.end_attempt(
                attempt,
                fill_result=fill_result,
                elapsed_ms=elapsed_ms,
                fill_first_byte_ms=elapsed_ms,
                report=report,
            )
            driver.advance(50.0)
        return driver.router.state.ranking.cost_probability

    assert run_one_second(50.0) == 0.5
    raised = run_one_second(2500.0)
    assert raised > 0.5
    for _ in range(80):
        recovered = run_one_second(50.0)
    assert recovered == 0.5  # without reports of the link, it returns to its start and not below
    assert run_one_second(50.0, link_utilization=1.2) < 0.5


def test_without_fill_reports_the_parent_in_the_routers_hub_comes_first() -> None:
    """Hits distort first-byte times, and a remote parent loads more links; a slow local one is avoided."""
    entries = (*EDGES, parent("near"), parent("far", zone="other"), ORIGIN)
    driver = RouterDriver(entries=entries, fill_reporting=api.FillReporting.NONE, hub_by_zone={"here": "hub"})
    assert {attempt_of(driver.request(key)).source for key in range(20)} == {"near"}
    driver.router.state.placement.server_list.servers["near"].first_byte_ms.add(900.0)
    driver.router.state.placement.server_list.servers["far"].first_byte_ms.add(100.0)
    assert {attempt_of(driver.request(key)).source for key in range(20)} == {"far"}
