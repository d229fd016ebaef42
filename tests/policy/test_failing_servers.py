"""Servers that fail, are silent or reset connections: where requests are retried, and when they recover."""

from __future__ import annotations

import pytest

from tests.helpers import (
    EDGES,
    ORIGIN,
    RouterDriver,
    actions_of,
    attempt_of,
    final_actions,
)
from thornjunction import interface as api

FILLED = api.FillResult.FILLED


def owners(driver: RouterDriver, keys: range) -> dict[int, str]:
    found = {}
    for key in keys:
        attempt = attempt_of(driver.request(key))
        found[key] = attempt.server
        driver.end_attempt(attempt)
    return found


def test_failing_caches_are_passed_over_and_tried_again() -> None:
    driver = RouterDriver()
    for key in range(200):
        attempt = attempt_of(driver.request(key))
        while attempt.server == "edge1":
            attempt = attempt_of(driver.end_attempt(attempt, api.AttemptStatus.ERROR))
        driver.end_attempt(attempt)
    assert "edge1" not in owners(driver, range(200, 230)).values()
    for _ in range(10):
        driver.advance(500.0)
        owners(driver, range(230, 260))
    assert "edge1" in owners(driver, range(260, 300)).values()


def test_failing_sources_are_passed_over() -> None:
    driver = RouterDriver()
    for key in range(200):
        attempt = attempt_of(driver.request(key))
        while attempt.source == "parent1":
            attempt = attempt_of(
                driver.end_attempt(attempt, api.AttemptStatus.ERROR, fill_result=api.FillResult.SOURCE_FAILED)
            )
        driver.end_attempt(attempt, fill_result=FILLED, fill_first_byte_ms=20.0)
    started = [attempt_of(driver.request(key)) for key in range(300, 340)]
    assert "parent1" not in {attempt.source for attempt in started}


def test_a_silent_cache_is_left_and_its_requests_called_back() -> None:
    driver = RouterDriver()
    stuck = []
    for key in range(40):
        attempt = attempt_of(driver.request(key))
        if attempt.server == "edge3":
            stuck.append(attempt)
        else:
            driver.end_attempt(attempt)
    assert len(stuck) >= 2
    called = actions_of(driver.advance(1000.0), api.CancelAttempt)
    assert {cancel.request_id for cancel in called} == {attempt.request_id for attempt in stuck}
    moved = attempt_of(driver.end_attempt(stuck[0], api.AttemptStatus.CANCELLED))
    assert moved.server != "edge3"


def test_a_full_cache_is_not_called_ill() -> None:
    driver = RouterDriver()
    for key in range(100):
        attempt = attempt_of(driver.request(key))
        while attempt.server == "edge1":
            attempt = attempt_of(driver.end_attempt(attempt, api.AttemptStatus.OVERLOADED))
        driver.end_attempt(attempt)
    assert "edge1" in owners(driver, range(100, 130)).values()


def test_a_cache_that_was_only_slow_is_not_taken_for_a_cold_one() -> None:
    """A jam looks silent too; slow start after it would starve the zone.  A refused connection tells."""
    for status, needed, cold in (
        (api.AttemptStatus.TIMEOUT, 5, False),
        (api.AttemptStatus.CONNECTION_REFUSED, 1, True),
    ):
        driver = RouterDriver(entries=(EDGES[0], ORIGIN))
        for key in range(needed):
            driver.end_attempt(attempt_of(driver.request(key)), status)
        server = driver.router.state.placement.server_list.servers["edge0"]
        assert server.outliers.ejected_for_ms > 0
        driver.request(50)
        driver.end_attempt(
            (
                actions_of(driver.advance(600.0), api.StartAttempt)
                or driver.attempts[str(driver.request_count)]
            )[0]
        )
        assert server.outliers.ejected_for_ms == 0
        rate = driver.router.state.placement.slow_start.rate(
            server.entry, server.slow_start_window, driver.now_ms
        )
        assert (rate < 1e9) is cold


@pytest.mark.parametrize("status", [api.AttemptStatus.CONNECTION_RESET, api.AttemptStatus.ERROR])
def test_lost_answers_move_no_objects(status: api.AttemptStatus) -> None:
    """One answer was lost, which does not say that the copy is gone: ask the same cache again."""
    driver = RouterDriver()
    before = owners(driver, range(300))
    for key in range(300):
        attempt = attempt_of(driver.request(key))
        if key % 3 == 0:
            again = attempt_of(driver.end_attempt(attempt, status))
            assert again.server == attempt.server
            attempt = again
        driver.end_attempt(attempt)
    assert owners(driver, range(300)) == before


def test_a_cache_that_only_resets_is_left() -> None:
    driver = RouterDriver(max_attempts=8)
    attempt = attempt_of(driver.request())
    for _ in range(5):
        driver.advance(20.0)
        last = attempt
        attempt = attempt_of(driver.end_attempt(attempt, api.AttemptStatus.CONNECTION_RESET))
    assert attempt.server != last.server


def test_one_connection_that_breaks_is_one_failure() -> None:
    """All that was out on it ends at once, which says little of a cache that goes on answering."""
    driver = RouterDriver(entries=(EDGES[0], ORIGIN))
    started = [attempt_of(driver.request(key)) for key in range(12)]
    for attempt in started:
        assert actions_of(driver.end_attempt(attempt, api.AttemptStatus.CONNECTION_RESET), api.StartAttempt)
    server = driver.router.state.placement.server_list.servers["edge0"]
    assert server.outliers.ejected_for_ms == 0
    assert server.outliers.consecutive_failures == 1


def test_requests_that_no_cache_can_use_eject_none_and_end_soon() -> None:
    driver = RouterDriver()
    for key in range(9):
        actions = driver.request(key)
        while not final_actions(actions):
            actions = driver.end_attempt(attempt_of(actions), api.AttemptStatus.ERROR)
        assert len({attempt.server for attempt in driver.attempts[str(driver.request_count)]}) == 2
        assert len(driver.attempts[str(driver.request_count)]) == 3
    outliers = [server.outliers for server in driver.router.state.placement.server_list.servers.values()]
    assert not any(one.consecutive_failures or one.ejected_for_ms for one in outliers)
