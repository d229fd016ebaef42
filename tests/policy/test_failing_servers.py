"""Servers that fail, are silent or reset connections: choice of the server for retries, and recovery."""

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
    """Request each object and return the cache that was chosen for it."""
    server_by_key = {}
    for key in keys:
        attempt = attempt_of(driver.request(key))
        server_by_key[key] = attempt.server
        driver.end_attempt(attempt)
    return server_by_key


def test_failing_caches_are_ejected_and_tried_again_later() -> None:
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


def test_failing_sources_are_ejected() -> None:
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


def test_a_silent_cache_is_ejected_and_its_attempts_are_cancelled() -> None:
    driver = RouterDriver()
    unanswered = []
    for key in range(40):
        attempt = attempt_of(driver.request(key))
        if attempt.server == "edge3":
            unanswered.append(attempt)
        else:
            driver.end_attempt(attempt)
    assert len(unanswered) >= 2
    cancelled = actions_of(driver.advance(1000.0), api.CancelAttempt)
    assert {action.request_id for action in cancelled} == {attempt.request_id for attempt in unanswered}
    retried = attempt_of(driver.end_attempt(unanswered[0], api.AttemptStatus.CANCELLED))
    assert retried.server != "edge3"


def test_an_overloaded_cache_is_not_ejected() -> None:
    driver = RouterDriver()
    for key in range(100):
        attempt = attempt_of(driver.request(key))
        while attempt.server == "edge1":
            attempt = attempt_of(driver.end_attempt(attempt, api.AttemptStatus.OVERLOADED))
        driver.end_attempt(attempt)
    assert "edge1" in owners(driver, range(100, 130)).values()


def test_a_cache_that_was_only_slow_is_not_treated_as_cold() -> None:
    """An overloaded cache seems silent too, but slow start after that would leave its zone without capacity.

    Only a refused connection shows that the process may be new.
    """
    for status, failure_count, cold in (
        (api.AttemptStatus.TIMEOUT, 5, False),
        (api.AttemptStatus.CONNECTION_REFUSED, 1, True),
    ):
        driver = RouterDriver(entries=(EDGES[0], ORIGIN))
        for key in range(failure_count):
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
def test_lost_answers_move_no_objects_to_other_caches(status: api.AttemptStatus) -> None:
    """A lost answer does not show that the copy is gone, so the retry goes to the same cache."""
    driver = RouterDriver()
    before = owners(driver, range(300))
    for key in range(300):
        attempt = attempt_of(driver.request(key))
        if key % 3 == 0:
            retry = attempt_of(driver.end_attempt(attempt, status))
            assert retry.server == attempt.server
            attempt = retry
        driver.end_attempt(attempt)
    assert owners(driver, range(300)) == before


def test_a_cache_that_resets_every_connection_is_ejected() -> None:
    driver = RouterDriver(max_attempts=8)
    attempt = attempt_of(driver.request())
    for _ in range(5):
        driver.advance(20.0)
        previous = attempt
        attempt = attempt_of(driver.end_attempt(attempt, api.AttemptStatus.CONNECTION_RESET))
    assert attempt.server != previous.server


def test_one_broken_connection_counts_as_one_failure() -> None:
    """All attempts on a connection end together, which shows little about a cache that still answers."""
    driver = RouterDriver(entries=(EDGES[0], ORIGIN))
    started = [attempt_of(driver.request(key)) for key in range(12)]
    for attempt in started:
        assert actions_of(driver.end_attempt(attempt, api.AttemptStatus.CONNECTION_RESET), api.StartAttempt)
    server = driver.router.state.placement.server_list.servers["edge0"]
    assert server.outliers.ejected_for_ms == 0
    assert server.outliers.consecutive_failures == 1


def test_requests_that_fail_at_every_cache_eject_none_and_end_early() -> None:
    driver = RouterDriver()
    for key in range(9):
        actions = driver.request(key)
        while not final_actions(actions):
            actions = driver.end_attempt(attempt_of(actions), api.AttemptStatus.ERROR)
        assert len({attempt.server for attempt in driver.attempts[str(driver.request_count)]}) == 2
        assert len(driver.attempts[str(driver.request_count)]) == 3
    outliers = [server.outliers for server in driver.router.state.placement.server_list.servers.values()]
    assert not any(detector.consecutive_failures or detector.ejected_for_ms for detector in outliers)
