"""The design's ordinary path, and health, on the module alone."""

from __future__ import annotations

import gc
import weakref

import pytest

from tests.helpers import (
    EDGES,
    ORIGIN,
    PARENTS,
    SETTINGS,
    RouterDriver,
    actions_of,
    attempt_of,
    edge,
    final_actions,
    parent,
)
from thornjunction import interface as api
from thornjunction.policy.requests import PendingRequest
from thornjunction.policy.router import Router

FILLED = api.FillResult.FILLED


def owners(bench: RouterDriver, keys: range) -> dict[int, str]:
    found = {}
    for key in keys:
        fetch = attempt_of(bench.request(key))
        found[key] = fetch.server
        bench.end_attempt(fetch)
    return found


def test_the_same_seed_and_events_give_the_same_actions() -> None:
    logs = []
    for _ in range(2):
        bench = RouterDriver()
        for number in range(200):
            bench.end_attempt(
                attempt_of(bench.request(number % 17)),
                fill_result=FILLED,
                fill_first_byte_ms=float(number % 9),
            )
            bench.advance(30.0)
        logs.append(bench.action_log)
    assert logs[0] == logs[1]


def test_fronts_agree_on_the_cache_whatever_the_order_of_their_lists() -> None:
    first, second = RouterDriver(), RouterDriver(entries=(ORIGIN, *PARENTS, *reversed(EDGES)))
    assert owners(first, range(200)) == owners(second, range(200))


def test_a_cache_that_leaves_moves_its_own_objects_only() -> None:
    bench = RouterDriver()
    before = owners(bench, range(400))
    bench.handle(api.EndpointListUpdate((edge("edge2", state=api.ServerState.REMOVED),), complete=False))
    after = owners(bench, range(400))
    assert {key for key in before if before[key] != after[key]} == {k for k in before if before[k] == "edge2"}
    assert len(set(before.values())) == 4


def test_heavier_caches_own_more() -> None:
    bench = RouterDriver(entries=(edge("small", weight=4.0), edge("large", weight=12.0), ORIGIN))
    share = sum(owner == "large" for owner in owners(bench, range(1000)).values()) / 1000
    assert 0.7 < share < 0.8


def test_the_source_is_the_faster_of_two_hashed_parents() -> None:
    bench = RouterDriver()
    for key in range(400):
        fetch = attempt_of(bench.request(key))
        wait = {"parent0": 90.0, "parent1": 30.0, "parent2": 10.0}[fetch.source]
        bench.end_attempt(fetch, fill_result=FILLED, fill_first_byte_ms=wait)
    seen: dict[str, int] = {}
    for key in range(400, 700):
        fetch = attempt_of(bench.request(key))
        seen[fetch.source] = seen.get(fetch.source, 0) + 1
        bench.end_attempt(fetch)
    assert "parent0" not in seen  # the slowest of three is never the faster of two
    assert seen["parent2"] > seen["parent1"] > 50


def test_the_origin_is_the_source_without_parents() -> None:
    assert attempt_of(RouterDriver(entries=(*EDGES, ORIGIN)).request()).source == "origin"


def test_ranks_follow_hits_and_the_cost_of_a_fill() -> None:
    def mean_rank(bench: RouterDriver, w: float, key: int, **more: float) -> float:
        bench.router.state.ranking.cost_probability = w
        ranks = []
        for _ in range(30):
            fetch = attempt_of(bench.request(key, **more))
            ranks.append(fetch.retention_rank)
            bench.end_attempt(fetch)
        return sum(ranks[-15:]) / 15

    bench = RouterDriver()
    for number in range(600):  # many objects of middling rates
        bench.end_attempt(
            attempt_of(bench.request(number % 100)), fill_result=FILLED, fill_first_byte_ms=50.0
        )
    assert mean_rank(bench, 0.0, 500) == 3.0  # asked for often
    bench.advance(100.0)
    assert attempt_of(bench.request(501)).retention_rank == 1  # asked for once
    assert mean_rank(bench, 1.0, 502, size_kb=10.0) > mean_rank(bench, 1.0, 503, size_kb=100_000.0)


def test_w_leans_to_the_strained_resource_and_back() -> None:
    bench = RouterDriver()

    def second(wait: float, link: float | None = None) -> float:
        for _ in range(20):
            report = None if link is None else api.LoadReport(link_utilization=link)
            fetch = attempt_of(bench.request())
            note, took = (FILLED, wait) if fetch.source != fetch.server else (api.FillResult.HIT, 50.0)
            bench.end_attempt(
                fetch, fill_result=note, elapsed_ms=took, fill_first_byte_ms=took, report=report
            )
            bench.advance(50.0)
        return bench.router.state.ranking.cost_probability

    assert second(50.0) == 0.5
    strained = second(2500.0)
    assert strained > 0.5
    for _ in range(80):
        rested = second(50.0)
    assert rested == 0.5  # back, and no further, without reports of the link
    assert second(50.0, link=1.2) < 0.5


def test_tables_are_bounded() -> None:
    bench = RouterDriver()
    for key in range(12_000):
        bench.end_attempt(attempt_of(bench.request(key)))
    bench.advance(6000.0)
    router = bench.router
    assert len(router.state.ranking.counts) <= 8192
    assert (
        len(router.state.ranking.cost_scores.ordered) <= 512
        and len(router.state.ranking.hit_scores.ordered) <= 512
    )
    requests, attempts, deadlines = (
        router.state.requests,
        router.attempts.in_flight,
        router.admission.deadlines,
    )
    assert not (requests.open or requests.waiting or attempts or deadlines)


def test_what_is_kept_by_key_holds_no_request() -> None:
    """A key is kept for ten minutes; with its request it took 1.2 KB, which on a long day only grows."""
    bench = RouterDriver(may_bypass_caches=True)
    fetch = attempt_of(bench.request(class_name="keyed", idempotency_key="k"))
    request = weakref.ref(bench.router.state.requests.open[fetch.request_id])
    bench.end_attempt(fetch)
    bench.advance(6000.0)
    gc.collect()
    assert "k" in bench.router.state.executions.by_key and request() is None


def test_failing_caches_are_passed_over_and_tried_again() -> None:
    bench = RouterDriver()
    for key in range(200):
        fetch = attempt_of(bench.request(key))
        while fetch.server == "edge1":
            fetch = attempt_of(bench.end_attempt(fetch, api.AttemptStatus.ERROR))
        bench.end_attempt(fetch)
    assert "edge1" not in owners(bench, range(200, 230)).values()
    for _ in range(10):
        bench.advance(500.0)
        owners(bench, range(230, 260))
    assert "edge1" in owners(bench, range(260, 300)).values()


def test_failing_sources_are_passed_over() -> None:
    bench = RouterDriver()
    for key in range(200):
        fetch = attempt_of(bench.request(key))
        while fetch.source == "parent1":
            fetch = attempt_of(
                bench.end_attempt(fetch, api.AttemptStatus.ERROR, fill_result=api.FillResult.SOURCE_BROKE)
            )
        bench.end_attempt(fetch, fill_result=FILLED, fill_first_byte_ms=20.0)
    fetches = [attempt_of(bench.request(key)) for key in range(300, 340)]
    assert "parent1" not in {fetch.source for fetch in fetches}


def test_a_silent_cache_is_left_and_its_requests_called_back() -> None:
    bench = RouterDriver()
    stuck = []
    for key in range(40):
        fetch = attempt_of(bench.request(key))
        if fetch.server == "edge3":
            stuck.append(fetch)
        else:
            bench.end_attempt(fetch)
    assert len(stuck) >= 2
    called = actions_of(bench.advance(1000.0), api.CancelAttempt)
    assert {cancel.request_id for cancel in called} == {fetch.request_id for fetch in stuck}
    moved = attempt_of(bench.end_attempt(stuck[0], api.AttemptStatus.CANCELLED))
    assert moved.server != "edge3"


def test_events_of_finished_or_unknown_requests_are_ignored() -> None:
    router = Router(SETTINGS, 1)
    router.handle(0.0, api.EndpointListUpdate((*EDGES, ORIGIN)))
    assert router.handle(1.0, api.ClientDisconnected("never seen")) == []
    assert router.handle(1.0, api.TimerFired(99)) == []
    assert router.handle(1.0, api.AttemptEnded("never seen", 0, "edge1", api.AttemptStatus.SUCCEEDED)) == []


def test_a_full_cache_is_not_called_ill() -> None:
    bench = RouterDriver()
    for key in range(100):
        fetch = attempt_of(bench.request(key))
        while fetch.server == "edge1":
            fetch = attempt_of(bench.end_attempt(fetch, api.AttemptStatus.OVERLOADED))
        bench.end_attempt(fetch)
    assert "edge1" in owners(bench, range(100, 130)).values()


def test_attempts_wait_for_slow_fills_to_the_end() -> None:
    """Early time-outs call fills off, which are then fetched again: a jam that feeds itself."""
    assert attempt_of(RouterDriver().request(remaining_ms=5000.0)).timeout_ms > 4900.0


def test_held_requests_are_not_all_tried_at_every_look() -> None:
    entries = (edge("cold", started_ms=1000.0), ORIGIN)
    bench = RouterDriver(entries=entries, initial_capacity_share=0.001)
    for key in range(500):
        bench.request(key)
    held = len(bench.router.state.requests.waiting)
    assert held > 400
    tried: list[str] = []
    dispatcher = bench.router.dispatcher
    dispatch = dispatcher.dispatch

    def counted(request: PendingRequest) -> None:
        tried.append(request.id)
        dispatch(request)

    dispatcher.dispatch = counted  # type: ignore[method-assign]
    bench.advance(50.0)
    assert 0 < len(tried) < 20


def test_a_cache_that_was_only_slow_is_not_taken_for_a_cold_one() -> None:
    """A jam looks silent too; slow start after it would starve the zone.  A refused connection tells."""
    for status, needed, cold in (
        (api.AttemptStatus.TIMEOUT, 5, False),
        (api.AttemptStatus.CONNECTION_REFUSED, 1, True),
    ):
        bench = RouterDriver(entries=(EDGES[0], ORIGIN))
        for key in range(needed):
            bench.end_attempt(attempt_of(bench.request(key)), status)
        server = bench.router.state.placement.server_list.servers["edge0"]
        assert server.outliers.ejected_for_ms > 0
        bench.request(50)
        bench.end_attempt(
            (actions_of(bench.advance(600.0), api.StartAttempt) or bench.attempts[str(bench.request_count)])[
                0
            ]
        )
        assert server.outliers.ejected_for_ms == 0
        rate = bench.router.state.placement.slow_start.rate(
            server.entry, server.slow_start_window, bench.now_ms
        )
        assert (rate < 1e9) is cold


@pytest.mark.parametrize("status", [api.AttemptStatus.CONNECTION_RESET, api.AttemptStatus.ERROR])
def test_lost_answers_move_no_objects(status: api.AttemptStatus) -> None:
    """One answer was lost, which does not say that the copy is gone: ask the same cache again."""
    bench = RouterDriver()
    before = owners(bench, range(300))
    for key in range(300):
        fetch = attempt_of(bench.request(key))
        if key % 3 == 0:
            again = attempt_of(bench.end_attempt(fetch, status))
            assert again.server == fetch.server
            fetch = again
        bench.end_attempt(fetch)
    assert owners(bench, range(300)) == before


def test_a_cache_that_only_resets_is_left() -> None:
    bench = RouterDriver(max_attempts=8)
    fetch = attempt_of(bench.request())
    for _ in range(5):
        bench.advance(20.0)
        last, fetch = fetch, attempt_of(bench.end_attempt(fetch, api.AttemptStatus.CONNECTION_RESET))
    assert fetch.server != last.server


def test_one_connection_that_breaks_is_one_failure() -> None:
    """All that was out on it ends at once, which says little of a cache that goes on answering."""
    bench = RouterDriver(entries=(EDGES[0], ORIGIN))
    fetches = [attempt_of(bench.request(key)) for key in range(12)]
    for fetch in fetches:
        assert actions_of(bench.end_attempt(fetch, api.AttemptStatus.CONNECTION_RESET), api.StartAttempt)
    server = bench.router.state.placement.server_list.servers["edge0"]
    assert server.outliers.ejected_for_ms == 0 and server.outliers.consecutive_failures == 1


def test_requests_that_no_cache_can_use_eject_none_and_end_soon() -> None:
    bench = RouterDriver()
    for key in range(9):
        actions = bench.request(key)
        while not final_actions(actions):
            actions = bench.end_attempt(attempt_of(actions), api.AttemptStatus.ERROR)
        assert len({fetch.server for fetch in bench.attempts[str(bench.request_count)]}) == 2
        assert len(bench.attempts[str(bench.request_count)]) == 3
    outliers = [server.outliers for server in bench.router.state.placement.server_list.servers.values()]
    assert not any(one.consecutive_failures or one.ejected_for_ms for one in outliers)


def test_where_all_caches_are_down_requests_wait_for_a_trial() -> None:
    """Hundreds of fronts that try on push a cache over in the first second of its life."""
    bench = RouterDriver(entries=(EDGES[0], EDGES[1], ORIGIN))
    fetch = attempt_of(bench.request())
    while fetches := actions_of(
        bench.end_attempt(fetch, api.AttemptStatus.CONNECTION_REFUSED), api.StartAttempt
    ):
        fetch = fetches[0]
    assert len(bench.attempts["1"]) == 2
    sent = sum(len(actions_of(bench.request(key), api.StartAttempt)) for key in range(100))
    assert sent == 0
    trials = actions_of(bench.advance(700.0), api.StartAttempt)
    assert 1 <= len(trials) <= 2
    served = bench.end_attempt(trials[0]) + bench.advance(1000.0)
    assert len(actions_of(served, api.StartAttempt)) < 20  # within a cold cache's budget


def test_where_nothing_is_told_the_parent_in_the_own_hub_comes_first() -> None:
    """Hits blur first-byte times there; a far parent costs more of the links. A slow one still loses."""
    entries = (*EDGES, parent("near"), parent("far", zone="other"), ORIGIN)
    bench = RouterDriver(entries=entries, fill_reporting=api.FillReporting.NONE, hub_by_zone={"here": "hub"})
    assert {attempt_of(bench.request(key)).source for key in range(20)} == {"near"}
    bench.router.state.placement.server_list.servers["near"].first_byte_ms.add(900.0)
    bench.router.state.placement.server_list.servers["far"].first_byte_ms.add(100.0)
    assert {attempt_of(bench.request(key)).source for key in range(20)} == {"far"}


def test_held_requests_do_not_block_one_another() -> None:
    """One that cannot go yet, of a large class, must not keep small ones behind it waiting."""
    bench = RouterDriver(entries=(edge("cold", started_ms=1000.0), ORIGIN), initial_capacity_share=0.001)
    for key in range(30):
        bench.request(key, size_kb=3000.0)
    order = list(bench.router.state.requests.waiting)
    bench.advance(50.0)
    assert (
        list(bench.router.state.requests.waiting) == order[10:] + order[:10]
    )  # ten were tried and queue again
