"""Rule 4 if requests announce no size: an unknown size must not count as almost zero.

A router that had just started had learnt the size of small pages from their first answer, but not that of
films.  It counted these as 1 KB each, and sent a cold cache all films that arrived: ten of about 450 ms,
while its part of the budget was 9 ms.
"""

from __future__ import annotations

from typing import Any

import pytest

from tests.helpers import FILMS, ORIGIN, RouterDriver, actions_of, attempt_of, edge, parent
from thornjunction import interface as api

# Kilobytes of a page, and of a film, which takes 500 ms at the settings' 5 KB/ms.
PAGE_KB = 100.0
FILM_KB = 2500.0

COLD = edge("cold", started_ms=1000.0)
WARM = edge("warm")


def driver_after_first_pages(*entries: api.ServerEntry, pages: int = 60, **settings: Any) -> RouterDriver:
    """Return the driver of a router that got only requests for pages so far, each answered at once."""
    driver = RouterDriver(entries=(*entries, ORIGIN), **settings)
    for key in range(pages):
        driver.advance(20.0)
        for attempt in actions_of(driver.request(key, "pages", size_kb=0.0), api.StartAttempt):
            driver.end_attempt(attempt, size_kb=PAGE_KB)
    driver.advance(1000.0)  # a new window, in which nothing has been sent yet
    return driver


def max_films(driver: RouterDriver, name: str) -> float:
    """Return the largest number of films that a window's budget admits.

    Each costs its class's latency objective, and the random rounding may admit one more.
    """
    server = driver.router.state.placement.server_list.servers[name]
    slow_start = driver.router.state.placement.slow_start
    return (
        slow_start.rate(server.entry, server.slow_start_window, driver.now_ms)
        * slow_start.window_ms
        / FILMS.latency_objective_ms
        + 1.0
    )


def films_sent(driver: RouterDriver, server: str, count: int = 60) -> int:
    """Request ``count`` films without answers; return how many use the server, as a cache or as a source."""
    sent = [
        attempt
        for key in range(count)
        for attempt in actions_of(driver.request(1000 + key, size_kb=0.0), api.StartAttempt)
    ]
    return sum(server in (attempt.server, attempt.source) for attempt in sent)


@pytest.mark.parametrize("weighted", [True, False])
@pytest.mark.parametrize("seed", range(5))
def test_a_cold_cache_gets_no_films_of_unknown_size_beyond_its_budget(weighted: bool, seed: int) -> None:
    driver = driver_after_first_pages(WARM, COLD, servers_weighted=weighted)
    driver.router.random.seed(seed)
    assert films_sent(driver, "cold") <= max_films(driver, "cold")


@pytest.mark.parametrize("seed", range(5))
def test_a_cold_parent_gets_no_fills_of_unknown_size_beyond_its_budget(seed: int) -> None:
    cold_parent = parent("cold parent", started_ms=1000.0, weight=2.0)
    driver = driver_after_first_pages(WARM, cold_parent, parent("warm parent"))
    driver.router.random.seed(seed)
    assert films_sent(driver, "cold parent") <= max_films(driver, "cold parent")


def test_if_no_size_is_known_all_requests_cost_the_same_and_the_cold_cache_is_used() -> None:
    driver = driver_after_first_pages(WARM, COLD, pages=0, servers_weighted=False)
    cold_attempts = 0
    for key in range(600):
        driver.advance(20.0)
        for attempt in actions_of(driver.request(key, size_kb=0.0), api.StartAttempt):
            cold_attempts += attempt.server == "cold"
            driver.end_attempt(attempt)
    assert 0 < cold_attempts < 300


def test_a_request_costs_its_classs_mean_size_after_the_first_answer() -> None:
    driver = driver_after_first_pages(WARM, servers_weighted=True)
    driver.end_attempt(attempt_of(driver.request(5000, size_kb=0.0)), size_kb=FILM_KB)
    driver.request(5001, size_kb=0.0)
    (request,) = driver.router.state.requests.open.values()
    assert request.cache_cost_ms == request.fill_cost_ms == pytest.approx(FILM_KB / 5.0)
