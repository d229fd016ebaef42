"""Rule 3: draining and removed servers get no new work, also as sources; changes of the endpoint list."""

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
def test_draining_and_removed_servers_get_no_attempts(state: api.ServerState) -> None:
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


def test_thousands_of_servers_with_equal_start_times_get_valid_decisions() -> None:
    entries = tuple(edge(f"edge{number}", started_ms=500.0) for number in range(3000))
    driver = RouterDriver(entries=(*entries, ORIGIN))
    attempt = attempt_of(driver.request(size_kb=25.0))
    assert attempt.server in driver.router.state.placement.server_list.servers
    assert attempt.source == "origin"


@pytest.mark.parametrize("zone", ["here", "never heard of"])
def test_a_zone_without_caches_rejects_requests(zone: str) -> None:
    entries = (*PARENTS, ORIGIN) if zone == "here" else (*EDGES, *PARENTS, ORIGIN)
    assert final_actions(RouterDriver(entries=entries, zone=zone).request()) == [api.RejectRequest("1")]


def test_repeatedly_changing_lists_leave_only_the_listed_servers() -> None:
    driver = RouterDriver()
    for round_number in range(40):
        listed = EDGES[round_number % 3 :]
        driver.handle(api.EndpointListUpdate((*listed, *PARENTS[round_number % 2 :], ORIGIN)))
        attempt = attempt_of(driver.request(round_number))
        assert attempt.server in {entry.server for entry in listed}
        assert attempt.source != "parent0" or round_number % 2 == 0
        driver.end_attempt(attempt)
