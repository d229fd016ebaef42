"""Rule 3: draining and removed servers get nothing new, also as sources; changes of the endpoint list."""

from __future__ import annotations

import pytest

from tests.helpers import (
    EDGES,
    ORIGIN,
    PARENTS,
    RouterDriver,
    attempt_of,
    edge,
    final_actions,
)
from thornjunction import interface as api


@pytest.mark.parametrize("state", [api.ServerState.DRAINING, api.ServerState.REMOVED])
def test_nothing_goes_to_what_drains(state: api.ServerState) -> None:
    driver = RouterDriver()
    for entry in (EDGES[0], PARENTS[0]):
        driver.handle(
            api.EndpointListUpdate(
                (api.ServerEntry(entry.server, entry.role, entry.zone, state),), complete=False
            )
        )
    for key in range(300):
        attempt = attempt_of(driver.request(key))
        assert attempt.server != "edge0"
        assert attempt.source != "parent0"
        driver.end_attempt(attempt)


def test_a_server_missing_from_a_complete_list_is_removed() -> None:
    driver = RouterDriver()
    driver.handle(api.EndpointListUpdate((EDGES[1], ORIGIN)))
    for key in range(50):
        attempt = attempt_of(driver.request(key))
        assert (attempt.server, attempt.source) == ("edge1", "origin")
        driver.end_attempt(attempt)


def test_thousands_of_servers_and_equal_start_times_get_sound_decisions() -> None:
    entries = tuple(edge(f"edge{number}", started_ms=500.0) for number in range(3000))
    driver = RouterDriver(entries=(*entries, ORIGIN))
    attempt = attempt_of(driver.request(size_kb=25.0))
    assert attempt.server in driver.router.state.placement.server_list.servers
    assert attempt.source == "origin"


@pytest.mark.parametrize("zone", ["here", "never heard of"])
def test_a_zone_without_caches_refuses(zone: str) -> None:
    entries = (*PARENTS, ORIGIN) if zone == "here" else (*EDGES, *PARENTS, ORIGIN)
    assert final_actions(RouterDriver(entries=entries, zone=zone).request()) == [api.RejectRequest("1")]


def test_lists_that_shrink_and_flap_leave_only_what_is_listed() -> None:
    driver = RouterDriver()
    for turn in range(40):
        listed = EDGES[turn % 3 :]
        driver.handle(api.EndpointListUpdate((*listed, *PARENTS[turn % 2 :], ORIGIN)))
        attempt = attempt_of(driver.request(turn))
        assert attempt.server in {entry.server for entry in listed}
        assert attempt.source != "parent0" or turn % 2 == 0
        driver.end_attempt(attempt)
