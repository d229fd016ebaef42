"""Rule 4 where requests tell no size: what is not known yet must not pass for next to nothing.

A router that has just started has learnt the small pages' size from their first answer, and of the films
nothing.  Counted as 1 KB each, it sent a cold cache all films that came: ten of some 450 ms where its part
of the budget was 9 ms."""

from __future__ import annotations

from typing import Any

import pytest

from tests.helpers import FILMS, ORIGIN, RouterDriver, actions_of, attempt_of, edge, parent
from thornjunction import interface as api

SMALL, LARGE = 100.0, 2500.0  # KB: of a page; of a film, 500 ms at the settings' 5 KB a ms
COLD, WARM = edge("cold", started_ms=1000.0), edge("warm")


def started(*entries: api.ServerEntry, pages: int = 60, **more: Any) -> RouterDriver:
    """A router that was asked for pages, each answered at once, in its first second."""
    bench = RouterDriver(entries=(*entries, ORIGIN), **more)
    for key in range(pages):
        bench.advance(20.0)
        for fetch in actions_of(bench.request(key, "pages", size_kb=0.0), api.StartAttempt):
            bench.end_attempt(fetch, size_kb=SMALL)
    bench.advance(1000.0)  # a window in which nothing has been sent yet
    return bench


def most_films(bench: RouterDriver, name: str) -> float:
    """How many a window's budget there holds where each counts as its class's aim, and one that its chance
    may add."""
    server, cold = (
        bench.router.state.placement.server_list.servers[name],
        bench.router.state.placement.slow_start,
    )
    return (
        cold.rate(server.entry, server.slow_start_window, bench.now_ms)
        * cold.window_ms
        / FILMS.latency_objective_ms
        + 1.0
    )


def films_sent(bench: RouterDriver, server: str, count: int = 60) -> int:
    """Of so many films, none answered yet: how many go there in a window, as a cache or as a source."""
    sent = [
        f
        for key in range(count)
        for f in actions_of(bench.request(1000 + key, size_kb=0.0), api.StartAttempt)
    ]
    return sum(server in (fetch.server, fetch.source) for fetch in sent)


@pytest.mark.parametrize("weighted", [True, False])
@pytest.mark.parametrize("seed", range(5))
def test_a_cold_cache_gets_no_films_of_unknown_size_beyond_its_budget(weighted: bool, seed: int) -> None:
    bench = started(WARM, COLD, servers_weighted=weighted)
    bench.router.random.seed(seed)
    assert films_sent(bench, "cold") <= most_films(bench, "cold")


@pytest.mark.parametrize("seed", range(5))
def test_a_cold_parent_gets_no_fills_of_unknown_size_beyond_its_budget(seed: int) -> None:
    cold = parent("cold parent", started_ms=1000.0, weight=2.0)
    bench = started(WARM, cold, parent("warm parent"))
    bench.router.random.seed(seed)
    assert films_sent(bench, "cold parent") <= most_films(bench, "cold parent")


def test_where_no_size_is_known_at_all_requests_are_counted_and_the_cold_cache_is_used() -> None:
    bench = started(WARM, COLD, pages=0, servers_weighted=False)
    used = 0
    for key in range(600):
        bench.advance(20.0)
        for fetch in actions_of(bench.request(key, size_kb=0.0), api.StartAttempt):
            used += fetch.server == "cold"
            bench.end_attempt(fetch)
    assert 0 < used < 300


def test_a_class_counts_as_its_mean_once_one_answer_told_its_size() -> None:
    bench = started(WARM, servers_weighted=True)
    bench.end_attempt(attempt_of(bench.request(5000, size_kb=0.0)), size_kb=LARGE)
    bench.request(5001, size_kb=0.0)
    (request,) = bench.router.state.requests.open.values()
    assert request.cache_cost_ms == request.fill_cost_ms == pytest.approx(LARGE / 5.0)
