"""Each of the five rules, on the module alone."""

from __future__ import annotations

import math

import pytest

from tests.helpers import (
    EDGES,
    ORIGIN,
    PARENTS,
    RouterDriver,
    actions_of,
    attempt_of,
    edge,
    final_actions,
    parent,
)
from thornjunction import interface as api

MAY_HAVE_RUN = [
    api.AttemptStatus.ERROR,
    api.AttemptStatus.TIMEOUT,
    api.AttemptStatus.CONNECTION_RESET,
    api.AttemptStatus.CANCELLED,
]
NEVER_EXECUTED = [
    api.AttemptStatus.OVERLOADED,
    api.AttemptStatus.CONNECTION_REFUSED,
    api.AttemptStatus.CACHE_MISS,
]


# Rule 1: one final answer in time.


def test_a_request_without_outcome_gets_one_answer_before_its_time_is_up() -> None:
    bench = RouterDriver()
    bench.request(remaining_ms=2000.0)
    assert not final_actions(bench.advance(1900.0))
    assert len(final_actions(bench.advance(100.0))) == 1
    assert not final_actions(bench.advance(5000.0))


def test_nothing_goes_out_after_the_answer() -> None:
    bench = RouterDriver()
    fetch = attempt_of(bench.request())
    assert not actions_of(bench.end_attempt(fetch), api.StartAttempt)
    assert not bench.end_attempt(fetch, api.AttemptStatus.ERROR)
    later = bench.advance(6000.0)
    assert not final_actions(later) and not actions_of(later, api.StartAttempt)


def test_a_client_that_left_is_owed_nothing() -> None:
    bench = RouterDriver()
    fetch = attempt_of(bench.request())
    bench.handle(api.ClientDisconnected(fetch.request_id))
    assert not actions_of(bench.end_attempt(fetch, api.AttemptStatus.CANCELLED), api.StartAttempt)
    assert not final_actions(bench.advance(6000.0))


def test_an_unknown_class_and_an_empty_list_get_one_refusal() -> None:
    assert final_actions(RouterDriver().request(class_name="no such")) == [api.RejectRequest("1")]
    bench = RouterDriver(entries=())
    assert final_actions(bench.request() + bench.advance(6000.0)) == [api.RejectRequest("1")]


def test_attempts_stay_within_the_cap() -> None:
    bench = RouterDriver()
    actions = bench.request()
    while fetches := actions_of(actions, api.StartAttempt):
        actions = bench.end_attempt(fetches[0], api.AttemptStatus.TIMEOUT)
    assert len(bench.attempts["1"]) == 6
    assert final_actions(actions) == [api.RejectRequest("1")]


# Rule 2: no double effect.


@pytest.mark.parametrize("status", MAY_HAVE_RUN)
def test_unsafe_is_not_resent_or_refused_once_it_may_have_run(status: api.AttemptStatus) -> None:
    bench = RouterDriver()
    actions = bench.end_attempt(attempt_of(bench.request(class_name="order")), status)
    assert not actions_of(actions, api.StartAttempt)
    assert final_actions(actions) == [api.FailRequest("1")]


@pytest.mark.parametrize("status", NEVER_EXECUTED)
def test_unsafe_is_resent_when_it_cannot_have_run(status: api.AttemptStatus) -> None:
    bench = RouterDriver()
    first = attempt_of(bench.request(class_name="order"))
    again = bench.end_attempt(first, status) or bench.advance(
        300.0
    )  # what is full is not asked again at once
    assert attempt_of(again).server != first.server


def test_unsafe_that_is_out_at_its_deadline_fails() -> None:
    bench = RouterDriver()
    bench.request(class_name="order")
    assert final_actions(bench.advance(3000.0)) == [api.FailRequest("1")]


def test_keyed_is_resent_only_while_it_is_remembered() -> None:
    bench = RouterDriver()
    first = attempt_of(bench.request(class_name="keyed"))
    bench.now_ms += 1000.0
    second = attempt_of(bench.end_attempt(first, api.AttemptStatus.ERROR))
    bench.now_ms += 999.0
    assert final_actions(bench.end_attempt(second, api.AttemptStatus.ERROR)) == [api.FailRequest("1")]


def test_an_attempt_has_to_begin_before_what_it_was_decided_by_may_not_hold() -> None:
    """Its connection may come up late: after a drain or a purge binds, or after its repeat window."""
    bench = RouterDriver(drain_grace_ms=400.0, purge_grace_ms=300.0)
    assert attempt_of(bench.request()).start_within_ms == 300.0
    first = attempt_of(bench.request(class_name="keyed"))
    assert first.start_within_ms == 300.0
    bench.now_ms += 1900.0
    assert 0 < attempt_of(bench.end_attempt(first, api.AttemptStatus.ERROR)).start_within_ms < 100.0
    assert (
        attempt_of(
            RouterDriver(drain_grace_ms=200.0, purge_propagation_ms=0.0, purge_grace_ms=0.0).request()
        ).start_within_ms
        == 200.0
    )


def test_two_tries_of_one_key_share_one_window() -> None:
    """The first try was refused and waited; meanwhile the second ran: it has to follow in that window."""
    bench = RouterDriver()
    bench.end_attempt(
        attempt_of(bench.request(class_name="keyed", idempotency_key="k")), api.AttemptStatus.OVERLOADED
    )
    assert attempt_of(bench.request(class_name="keyed", idempotency_key="k"))
    assert actions_of(bench.advance(1999.0), api.StartAttempt)
    assert final_actions(bench.end_attempt(bench.attempts["1"][-1], api.AttemptStatus.NOT_STARTED)) == [
        api.FailRequest("1")
    ]


@pytest.mark.parametrize("group", [api.DeduplicationScope.CELL, api.DeduplicationScope.ZONE])
def test_keyed_stays_in_its_group(group: api.DeduplicationScope) -> None:
    entries = tuple(edge(f"edge{number}", cell=number % 2) for number in range(4))
    cells = {entry.server: entry.cell for entry in entries}
    keyed = api.RequestClass(
        "keyed",
        700.0,
        3000.0,
        api.Idempotency.KEYED,
        deduplication_scope=group,
        deduplication_window_ms=2000.0,
    )
    bench = RouterDriver(entries=(*entries, ORIGIN), classes=(keyed,))
    for key in range(20):
        first = attempt_of(bench.request(key, "keyed"))
        second = attempt_of(bench.end_attempt(first, api.AttemptStatus.ERROR))
        if group is api.DeduplicationScope.CELL:
            assert cells[first.server] == cells[second.server]
        bench.end_attempt(second)


def test_writes_name_the_origin_or_a_parent_and_are_not_kept() -> None:
    fetch = attempt_of(RouterDriver().request(class_name="keyed"))
    assert fetch.source in {"origin", *(entry.server for entry in PARENTS)}
    assert fetch.retention_rank == 0
    assert attempt_of(RouterDriver(may_bypass_caches=True).request(class_name="order")).server == "origin"


# Rule 3: drains are kept, also as source.


@pytest.mark.parametrize("state", [api.ServerState.DRAINING, api.ServerState.REMOVED])
def test_nothing_goes_to_what_drains(state: api.ServerState) -> None:
    bench = RouterDriver()
    for entry in (EDGES[0], PARENTS[0]):
        bench.handle(
            api.EndpointListUpdate(
                (api.ServerEntry(entry.server, entry.role, entry.zone, state),), complete=False
            )
        )
    for key in range(300):
        fetch = attempt_of(bench.request(key))
        assert fetch.server != "edge0" and fetch.source != "parent0"
        bench.end_attempt(fetch)


def test_who_is_not_on_a_whole_list_is_gone() -> None:
    bench = RouterDriver()
    bench.handle(api.EndpointListUpdate((EDGES[1], ORIGIN)))
    for key in range(50):
        fetch = attempt_of(bench.request(key))
        assert (fetch.server, fetch.source) == ("edge1", "origin")
        bench.end_attempt(fetch)


# Rule 4: cold servers are not pushed over.


@pytest.mark.parametrize("role", ["edge", "parent"])
def test_cold_servers_get_no_more_than_their_budget_in_any_window(role: str) -> None:
    cold = edge("cold", started_ms=1000.0) if role == "edge" else parent("cold", started_ms=1000.0)
    bench = RouterDriver(entries=(*EDGES[:1], *PARENTS[:1], cold, ORIGIN))
    weight, share, warm_in, fronts = (8.0, 0.2, 15_000.0, 2) if role == "edge" else (20.0, 0.1, 20_000.0, 4)
    sent: list[tuple[float, float]] = []
    for number in range(3000):
        fetch = attempt_of(bench.request(number))
        if "cold" in (fetch.server, fetch.source):
            sent.append((bench.now_ms, 200.0))  # 1000 KB at 5 KB a ms
        bench.end_attempt(fetch)
        bench.advance(5.0)
    assert len(sent) > 20
    for end, _ in sent:
        asked = sum(work for at, work in sent if end - 1000.0 < at <= end)
        present = share + (1 - share) * min((end - 1000.0) / warm_in, 1.0)
        assert asked <= 2.0 * present * weight * 1000.0 / fronts


@pytest.mark.parametrize("fronts", [1, 200])
def test_all_fronts_together_keep_a_cold_servers_budget(fronts: int) -> None:
    """What one front sends, times all that may send, stays under what the server bears in any window."""
    cold, cold_parent = edge("cold", started_ms=1000.0), parent("cold parent", started_ms=1000.0)
    entries = (EDGES[0], PARENTS[0], cold, cold_parent, ORIGIN)
    bench = RouterDriver(entries=entries, router_count=fronts, routers_by_zone={"here": fronts})
    sent: dict[str, list[float]] = {"cold": [], "cold parent": []}
    for number in range(2500):
        fetch = attempt_of(bench.request(number, size_kb=25.0))  # 5 ms of sending time
        for name in {fetch.server, fetch.source} & sent.keys():
            sent[name].append(bench.now_ms)
        bench.end_attempt(fetch)
        bench.advance(4.0)
    for name, weight, share, warm_in in (("cold", 8.0, 0.2, 15_000.0), ("cold parent", 20.0, 0.1, 20_000.0)):
        assert sent[name] or fronts > 1
        for end in sent[name]:
            asked = fronts * 5.0 * sum(end - 1000.0 < at <= end for at in sent[name])
            present = share + (1 - share) * (end - 1000.0) / warm_in
            assert asked <= 2.0 * present * weight * 1000.0


def test_without_weights_a_zone_of_cold_caches_is_still_served() -> None:
    entries = tuple(edge(f"cold{number}", started_ms=1000.0, weight=1.0) for number in range(3))
    bench = RouterDriver(entries=(*entries, *PARENTS, ORIGIN), servers_weighted=False)
    served = 0
    for number in range(1000):
        for fetch in actions_of(bench.request(number), api.StartAttempt) + actions_of(
            bench.advance(20.0), api.StartAttempt
        ):
            bench.end_attempt(fetch)
            served += 1
    assert served > 300


# Rule 5: purges are kept.


@pytest.mark.parametrize("key", [5, None])
def test_requests_for_what_was_purged_exclude_older_copies(key: int | None) -> None:
    bench = RouterDriver()
    bench.handle(api.PurgeReceived(group=3, age_ms=200.0, key=key))
    purged_at = bench.now_ms - 200.0
    for wait in (0.0, 100.0, 2000.0, 3600.0):
        bench.advance(wait)
        for class_name in ("films", "pages"):
            fetch = attempt_of(bench.request(5, class_name, group=3))
            assert 0 < fetch.max_age_ms <= bench.now_ms - purged_at
            bench.end_attempt(fetch)
        other = attempt_of(bench.request(6, group=4))
        assert other.max_age_ms == 0
        bench.end_attempt(other)
    bench.advance(200.0)
    assert attempt_of(bench.request(5, group=3)).max_age_ms == 0


def test_purges_past_the_table_bind_everything() -> None:
    bench = RouterDriver()
    for key in range(6000):
        bench.handle(api.PurgeReceived(group=1, age_ms=0.0, key=key))
    assert len(bench.router.state.purges.purged_at_ms) < 6000
    bench.advance(1000.0)
    assert 0 < attempt_of(bench.request(0, group=1)).max_age_ms <= 1000.0


# Odd input.


@pytest.mark.parametrize("size", [0.0, -1.0, 1e12, math.inf, math.nan])
def test_any_size_gets_a_decision(size: float) -> None:
    bench = RouterDriver()
    bench.end_attempt(attempt_of(bench.request(1)))
    assert attempt_of(bench.request(2, size_kb=size)).retention_rank in (1, 2, 3)


def test_a_clock_that_steps_back_stands_still() -> None:
    bench = RouterDriver()
    fetch = attempt_of(bench.request())
    bench.now_ms -= 900.0
    assert not final_actions(bench.end_attempt(fetch))
    assert attempt_of(bench.request(2))


def test_thousands_of_servers_and_equal_start_times_get_sound_decisions() -> None:
    entries = tuple(edge(f"edge{number}", started_ms=500.0) for number in range(3000))
    bench = RouterDriver(entries=(*entries, ORIGIN))
    fetch = attempt_of(bench.request(size_kb=25.0))
    assert fetch.server in bench.router.state.placement.server_list.servers and fetch.source == "origin"


@pytest.mark.parametrize("zone", ["here", "never heard of"])
def test_a_zone_without_caches_refuses(zone: str) -> None:
    entries = (*PARENTS, ORIGIN) if zone == "here" else (*EDGES, *PARENTS, ORIGIN)
    assert final_actions(RouterDriver(entries=entries, zone=zone).request()) == [api.RejectRequest("1")]


def test_counts_of_zero_or_absent_fronts_are_taken_as_one() -> None:
    cold = edge("cold", started_ms=1000.0)
    for more in (
        {"router_count": 0, "routers_by_zone": {}},
        {"router_count": 0, "routers_by_zone": {"here": 0}},
    ):
        assert attempt_of(RouterDriver(entries=(cold, ORIGIN), **more).request(size_kb=25.0)).server == "cold"


def test_lists_that_shrink_and_flap_leave_only_what_is_listed() -> None:
    bench = RouterDriver()
    for turn in range(40):
        listed = EDGES[turn % 3 :]
        bench.handle(api.EndpointListUpdate((*listed, *PARENTS[turn % 2 :], ORIGIN)))
        fetch = attempt_of(bench.request(turn))
        assert fetch.server in {entry.server for entry in listed}
        assert fetch.source != "parent0" or turn % 2 == 0
        bench.end_attempt(fetch)


def unweighted_rate(away: int, repeats: int) -> float:
    """The budget of a cold cache while others of its zone are away and clients ask again."""
    bench = RouterDriver(servers_weighted=False)
    for second in range(12):
        for number in range(5 * (repeats if second > 5 else 1)):
            for fetch in actions_of(bench.request(number), api.StartAttempt):
                bench.end_attempt(fetch)
        bench.router.state.gates.fills.share = 0.5 if second > 4 and repeats > 1 else 1.0
        bench.advance(1000.0)
    cold = edge("edge3", started_ms=bench.now_ms)
    bench.handle(api.EndpointListUpdate((*EDGES[away:3], cold, *PARENTS, ORIGIN)))
    server = bench.router.state.placement.server_list.servers["edge3"]
    return bench.router.state.placement.slow_start.rate(server.entry, server.slow_start_window, bench.now_ms)


def test_a_cold_caches_budget_does_not_swell_with_what_is_lost_around_it() -> None:
    """Without weights the load tells what a warm cache bears: not that of those away, nor repeats."""
    usual = unweighted_rate(away=0, repeats=1)
    assert unweighted_rate(away=3, repeats=1) == pytest.approx(usual)
    assert unweighted_rate(away=0, repeats=4) <= usual * 1.01
