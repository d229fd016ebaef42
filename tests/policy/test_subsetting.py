"""Subsetting of large sites: how many caches a router uses, and that all caches are used."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from tests.helpers import (
    KEYED,
    ORIGIN,
    SETTINGS,
    RouterDriver,
    actions_of,
    attempt_of,
    edge,
    final_actions,
    parent,
)
from thornjunction import interface as api
from thornjunction.policy.router import Router
from thornjunction.policy.subsetting import MAX_UNDIVIDED, block_count, router_hash
from thornjunction.policy.upstreams import Upstream

REQUESTS = 1_200


def driver_of_site(count: int, routers: int, **settings: object) -> RouterDriver:
    """Return the driver of a router in a site with this many caches and routers."""
    entries = [edge(f"edge{number}") for number in range(count)]
    return RouterDriver(
        entries=(*entries, parent("parent0"), ORIGIN), routers_by_zone={"here": routers}, **settings
    )


def own_caches(driver: RouterDriver) -> list[Upstream]:
    """Return the caches of the router's own block."""
    placement = driver.router.state.placement
    ranked_caches = list(placement._ranked_caches(1))
    return ranked_caches[: len(ranked_caches) - len(list(placement._ranked_caches(1, skipped_blocks=1)))]


def requested_servers(driver: RouterDriver, count: int = REQUESTS) -> list[str]:
    """Request ``count`` objects and return the cache chosen for each."""
    return [attempt_of(driver.request(key)).server for key in range(count)]


@pytest.mark.parametrize(
    ("caches", "routers", "blocks", "max_used"),
    [
        (60, 67, 1, 60),
        (200, 200, 1, 200),
        (50, 4, 1, 50),
        (400, 67, 8, 90),
        (960, 67, 8, 190),
        (2880, 200, 16, 490),
        (960, 16, 8, 190),
        (960, 15, 4, 300),
        (960, 3, 1, 960),
    ],
)
def test_a_router_uses_a_bounded_number_of_caches(
    caches: int, routers: int, blocks: int, max_used: int
) -> None:
    """At most 2.5 times a sixteenth of the caches, plus 40, if the site has enough routers for its blocks."""
    driver = driver_of_site(caches, routers)
    assert driver.router.state.placement.server_list.site_caches.block_count == blocks
    assert len(set(requested_servers(driver))) <= max_used


def test_a_cache_removed_from_a_divided_site_moves_only_its_own_objects() -> None:
    driver = driver_of_site(960, 67)
    before = requested_servers(driver)
    removed = before[0]
    driver.handle(api.EndpointListUpdate((edge(removed, state=api.ServerState.REMOVED),), complete=False))
    after = requested_servers(driver)
    assert removed not in after
    assert all(
        server_before == server_after
        for server_before, server_after in zip(before, after, strict=True)
        if server_before != removed
    )


def test_a_site_is_merged_again_only_when_much_smaller_than_at_its_division() -> None:
    server_counts = [200, 201, 200, 161, 160, 200, 960, 959, 2_880, 2_300, 0]
    counts = [1]
    for servers in server_counts:
        counts.append(block_count(servers, 400, counts[-1]))
    assert counts[1:] == [1, 4, 4, 4, 1, 1, 8, 8, 16, 16, 1]
    driver = driver_of_site(401, 67)
    for count in (200, 160, 401):
        driver.handle(api.EndpointListUpdate((*(edge(f"edge{number}") for number in range(count)), ORIGIN)))
        assert (
            len(list(driver.router.state.placement._ranked_caches(1)))
            == len(driver.router.state.placement.server_list.site_caches)
            == count
        )


def test_the_router_does_not_affect_the_choice_in_an_undivided_site() -> None:
    first, second = (driver_of_site(MAX_UNDIVIDED, 200) for _ in range(2))
    second.router = Router(replace(SETTINGS, routers_by_zone={"here": 200}), 7, "another name")
    second.handle(
        api.EndpointListUpdate(
            tuple(server.entry for server in first.router.state.placement.server_list.servers.values())
        )
    )
    assert requested_servers(first, 300) == requested_servers(second, 300)


@pytest.mark.parametrize(("routers", "blocks"), [(20, 8), (67, 8), (200, 16)])
@pytest.mark.parametrize("step", [1, 2, 3, 4])
def test_numbered_routers_are_spread_evenly_over_the_blocks(routers: int, blocks: int, step: int) -> None:
    """At random, the largest of 8 blocks would have 14 of 67 routers here and the smallest 4."""
    names = [f"router-{step * number}" for number in range(routers)]
    counts = Counter(router_hash(name, 0) * blocks >> 64 for name in names)
    assert len(counts) == blocks
    assert max(counts.values()) <= 1.2 * routers / blocks + 1


def test_a_named_routers_hash_ignores_its_seed_and_every_block_has_routers() -> None:
    assert router_hash("n3", 1) == router_hash("n3", 2) != router_hash("n4", 1)
    assert router_hash("", 1) != router_hash("", 2)
    driver = driver_of_site(960, 67)
    caches = driver.router.state.placement.server_list.site_caches
    blocks = [caches._blocks_for(router_hash(f"n{number}", 0)) for number in range(67)]
    assert {server.id for order in blocks for server in order[0]} == {
        f"edge{number}" for number in range(960)
    }
    assert all(len(set(order)) == caches.block_count for order in blocks)
    # The overflow of each block is spread over others.
    assert len({(id(order[0]), id(order[1])) for order in blocks}) > 2 * caches.block_count


@pytest.mark.parametrize("fault", ["shut", "ejected", "unreachable", "cold"])
def test_a_request_goes_to_the_next_block_before_it_is_rejected(fault: str) -> None:
    driver = driver_of_site(960, 67)
    own_block = own_caches(driver)
    for server in own_block:
        if fault == "shut":
            server.gate.share = 0.0
            server.gate.updated_at_ms = driver.now_ms
        elif fault == "cold":
            server.slow_start_window.cold_since_ms = driver.now_ms
            server.slow_start_window.advance(driver.now_ms, 1_000.0, driver.router.random.random)
            server.slow_start_window.spent_ms = 1e9
        else:
            server.outliers.eject(driver.now_ms)
            server.is_unreachable = fault == "unreachable"
    actions = [action for key in range(100) for action in driver.request(key)]
    assert not final_actions(actions)
    assert {attempt.server for attempt in actions_of(actions, api.StartAttempt)}.isdisjoint(
        {server.id for server in own_block}
    )


def test_a_repeat_goes_to_the_one_cell_that_discards_it_in_any_block() -> None:
    cells = [edge(f"edge{number}", cell=number // 2) for number in range(960)]
    keyed_class = replace(KEYED, deduplication_scope=api.DeduplicationScope.CELL, uncacheable=False)
    driver = RouterDriver(entries=(*cells, ORIGIN), classes=(keyed_class,), routers_by_zone={"here": 67})
    own_block = {server.id for server in own_caches(driver)}
    expected_servers = []
    for key in range(20):
        first = attempt_of(driver.request(key, "keyed", idempotency_key=f"key{key}"))
        entry = next(entry for entry in cells if entry.server == first.server)
        expected_servers.append(f"edge{int(first.server[4:]) ^ 1}")
        driver.handle(
            api.EndpointListUpdate((replace(entry, state=api.ServerState.REMOVED),), complete=False)
        )
        assert (
            attempt_of(driver.end_attempt(first, api.AttemptStatus.CONNECTION_RESET)).server
            == expected_servers[-1]
        )
        driver.handle(api.EndpointListUpdate((entry,), complete=False))
    assert len(set(expected_servers) - own_block) > 10


def test_peers_within_the_site_are_caches_of_the_routers_own_block() -> None:
    driver = driver_of_site(960, 67, peer_fill=api.PeerFill.ZONE)
    own_block = {server.id for server in own_caches(driver)}
    placement = driver.router.state.placement
    for key in range(50):
        driver.request(key)
        request = driver.router.state.requests.open[str(driver.request_count)]
        first = placement.choose_cache(request, driver.now_ms)
        assert first is not None
        peer = placement.choose_peer(request, first, driver.now_ms)
        assert peer is not None
        assert {first.id, peer.id} <= own_block
        assert first is not peer
