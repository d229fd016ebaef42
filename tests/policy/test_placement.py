"""Placement in groups of any size: the ranking for an object, and the cost of a change or a decision."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace
from itertools import islice

import pytest

from tests.helpers import KEYED, ORIGIN, RouterDriver, attempt_of, edge, parent
from thornjunction import interface as api
from thornjunction.estimates import mix64, rendezvous_score
from thornjunction.policy import candidates
from thornjunction.policy.candidates import (
    CANDIDATES_KEPT,
    MAX_SCORED_SERVERS,
    TABLE_TRANSITION,
    CandidateGroup,
    RankingCache,
)
from thornjunction.policy.placement import SERVERS_EXAMINED

SMALL = MAX_SCORED_SERVERS
IN_TRANSITION = MAX_SCORED_SERVERS + TABLE_TRANSITION // 2
LARGE = MAX_SCORED_SERVERS + 2 * TABLE_TRANSITION
OBJECTS = [mix64(number) for number in range(2_000)]


def group_of(count: int, weight: float = 8.0) -> CandidateGroup[str]:
    """Return a group of this many servers of equal weight."""
    group = CandidateGroup[str](RankingCache())
    for number in range(count):
        group.put(f"server{number}", f"server{number}", weight)
    return group


def first_choices(group: CandidateGroup[str], weighted: bool = True) -> list[str]:
    """Return the best candidate for each of ``OBJECTS``."""
    return [next(group.candidates(object_hash, weighted)) for object_hash in OBJECTS]


def test_a_group_up_to_the_largest_scored_size_is_ranked_by_rendezvous_hashing_alone() -> None:
    group = group_of(SMALL)

    def score(server: str) -> float:
        return rendezvous_score(OBJECTS[0], mix64(candidates.zlib.crc32(server.encode())), 8.0)

    assert list(group.candidates(OBJECTS[0], True)) == sorted(group, key=score, reverse=True)


@pytest.mark.parametrize(
    ("count", "max_moved_share"), [(SMALL, 0.0), (SMALL + 1, 0.03), (IN_TRANSITION, 0.03), (LARGE, 0.0)]
)
def test_removing_a_server_moves_only_its_own_objects(count: int, max_moved_share: float) -> None:
    group = group_of(count)
    before = first_choices(group)
    removed = Counter(before).most_common(1)[0][0]
    group.remove(removed)
    after = first_choices(group)
    moved = [
        server_before
        for server_before, server_after in zip(before, after, strict=True)
        if server_before != server_after and server_before != removed
    ]
    assert removed not in after
    assert len(moved) <= max_moved_share * len(OBJECTS)
    group.put(removed, removed, 8.0)
    assert first_choices(group) == before  # independent of the order in which servers were added


@pytest.mark.parametrize(("count", "weighted"), [(SMALL, True), (LARGE, True), (LARGE, False)])
def test_servers_own_objects_in_proportion_to_their_weights(count: int, weighted: bool) -> None:
    group = group_of(count, weight=4.0)
    heavy = {f"server{number}" for number in range(0, count, 4)}
    for server in heavy:
        group.put(server, server, 12.0)
    share = sum(server in heavy for server in first_choices(group, weighted)) / len(OBJECTS)
    assert share == pytest.approx(0.5 if weighted else 0.25, abs=0.03)


@pytest.mark.parametrize("weight", [8.0, 0.0])
@pytest.mark.parametrize("count", [0, CANDIDATES_KEPT - 1, SMALL, LARGE])
def test_candidates_contain_every_server_once(count: int, weight: float) -> None:
    group = group_of(count, weight)
    assert sorted(group.candidates(OBJECTS[0], True)) == sorted(group)
    assert list(group.candidates(OBJECTS[0], True)) == list(group.candidates(OBJECTS[0], True))


def test_the_second_choices_for_a_few_servers_objects_are_spread_over_all_others() -> None:
    group = group_of(LARGE)
    second_choices = Counter(
        list(islice(group.candidates(object_hash, True), 2))[1]
        for object_hash, first in zip(OBJECTS, first_choices(group), strict=True)
        if first in {f"server{number}" for number in range(40)}
    )
    assert len(second_choices) > LARGE // 3


def test_the_cost_of_a_change_or_a_ranking_does_not_grow_with_a_large_group(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    calls: Counter[str] = Counter()
    drawn: list[int] = []

    def counted_mix(value: int) -> int:
        calls["mix"] += 1
        return mix64(value)

    def counted_draws(object_hash: int, count: int) -> list[int]:
        drawn.append(count)
        return list(draw_slots(object_hash, count))

    draw_slots = candidates._draw_slots
    monkeypatch.setattr(candidates, "mix64", counted_mix)
    monkeypatch.setattr(candidates, "_draw_slots", counted_draws)
    monkeypatch.setattr(candidates, "rendezvous_score", None)  # must not be called
    for count in (LARGE, 8 * LARGE):
        group = group_of(count)
        calls.clear(), drawn.clear()
        group.put("server7", "server7", 9.0)
        group.remove("server7")
        assert calls["mix"] <= 10
        list(islice(group.candidates(OBJECTS[0], True), CANDIDATES_KEPT))
        assert calls["mix"] <= 50
        assert sum(drawn) * count < 8 * CANDIDATES_KEPT * candidates.TABLE_SLOTS


def test_the_ranking_cache_is_bounded_in_objects_and_candidates() -> None:
    cache = RankingCache(capacity=100)
    groups = [CandidateGroup[str](cache) for _ in range(2)]
    for group in groups:
        for number in range(LARGE):
            group.put(f"server{number}", "", 1.0)
    for object_hash in OBJECTS[:200]:
        for group in groups:
            list(group.candidates(object_hash, True))
    assert len(cache) == 100
    assert max(len(best) for best in cache._best.values()) == CANDIDATES_KEPT


def driver_with_faults(count: int, usable_share: float, fault: str) -> tuple[RouterDriver, set[str]]:
    """Return the driver of a site in which only a share of the caches is usable, and their names."""
    entries = [edge(f"edge{number}") for number in range(count)]
    driver = RouterDriver(entries=(*entries, parent("parent0"), ORIGIN))
    usable = {entry.server for entry in random.Random(1).sample(entries, max(int(count * usable_share), 1))}
    for server in driver.router.state.placement.server_list.servers.values():
        if server.entry.role is api.Role.EDGE and server.id not in usable:
            if fault == "ejected":
                server.outliers.eject(driver.now_ms)
            else:
                server.slow_start_window.cold_since_ms = driver.now_ms
                server.slow_start_window.advance(driver.now_ms, 1_000.0, driver.router.random.random)
                server.slow_start_window.spent_ms = 1e9
    return driver, usable


@pytest.mark.parametrize("fault", ["ejected", "cold"])
@pytest.mark.parametrize(("count", "usable_share"), [(SMALL, 0.0), (SERVERS_EXAMINED, 0.0), (8 * LARGE, 0.1)])
def test_a_request_reaches_a_usable_cache_of_a_site(count: int, usable_share: float, fault: str) -> None:
    driver, usable = driver_with_faults(count, usable_share, fault)
    assert {attempt_of(driver.request(key)).server for key in range(20)} <= usable


def test_a_request_that_may_have_been_executed_goes_to_the_one_cell_that_discards_it() -> None:
    cells = [edge(f"edge{number}", cell=number // 8) for number in range(LARGE)]
    keyed_class = replace(KEYED, deduplication_scope=api.DeduplicationScope.CELL, uncacheable=False)
    driver = RouterDriver(entries=(*cells, parent("parent0"), ORIGIN), classes=(keyed_class,))
    cell_of = {entry.server: entry.cell for entry in cells}
    for key in range(20):
        first = attempt_of(driver.request(key, "keyed", idempotency_key=f"key{key}"))
        second = attempt_of(driver.end_attempt(first, api.AttemptStatus.ERROR))
        assert cell_of[second.server] == cell_of[first.server]


def test_a_decision_examines_a_bounded_number_of_caches(monkeypatch: pytest.MonkeyPatch) -> None:
    driver, _ = driver_with_faults(8 * LARGE, 0.0, "cold")
    examined: list[str] = []

    def reject_and_record(entry: api.ServerEntry, *_: object) -> bool:
        examined.append(entry.server)
        return False

    monkeypatch.setattr(driver.router.state.placement.slow_start, "admits", reject_and_record)
    driver.request()
    assert 0 < len(examined) <= 3 * SERVERS_EXAMINED  # for the cache, the source and the wait


def test_a_list_moves_servers_between_zones_and_removes_those_missing_from_it() -> None:
    driver = RouterDriver(entries=(edge("a"), edge("b"), edge("c", zone="there"), ORIGIN))
    placement = driver.router.state.placement
    driver.handle(api.EndpointListUpdate((edge("b", zone="there"), edge("c")), complete=False))
    assert {
        zone: [server.id for server in group] for zone, group in placement.server_list.caches.items()
    } == {
        "here": ["a", "c"],
        "there": ["b"],
    }
    driver.handle(api.EndpointListUpdate((edge("c"), ORIGIN)))
    assert list(placement.server_list.caches) == ["here"]
    assert [server.id for server in placement.server_list.site_caches] == ["c"]
    assert {attempt_of(driver.request(key)).server for key in range(5)} == {"c"}
