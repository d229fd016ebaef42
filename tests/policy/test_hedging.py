"""Copies sent beside answers that may be lost: when, for whom, and how few."""

from __future__ import annotations

import pytest

from tests.helpers import RouterDriver, actions_of, attempt_of
from thornjunction import interface as api


def slow_one(driver: RouterDriver) -> api.StartAttempt:
    """One attempt that has waited longer than most of its class, while its cache answers others."""
    for key in range(300):
        driver.advance(5.0)
        driver.end_attempt(attempt_of(driver.request(key)))
    slow = attempt_of(driver.request(5))
    driver.advance(50.0)
    driver.end_attempt(attempt_of(driver.request(5)))
    return slow


def test_an_answer_that_is_lost_gets_a_copy_sent_beside_it() -> None:
    driver = RouterDriver(may_hedge=True)
    slow = slow_one(driver)
    copies = [
        attempt
        for attempt in actions_of(driver.advance(700.0), api.StartAttempt)
        if attempt.request_id == slow.request_id
    ]
    assert [copy.server for copy in copies] == [slow.server]  # which still holds what it sent
    actions = driver.end_attempt(copies[0])
    assert api.CancelAttempt(slow.request_id, 0) in actions
    assert not driver.router.state.requests.open
    assert not driver.end_attempt(slow, api.AttemptStatus.CANCELLED)


def test_a_silent_cache_gets_no_hedged_requests() -> None:
    driver = RouterDriver(may_hedge=True)
    driver.end_attempt(slow_one(driver))
    driver.advance(100.0)
    silent = attempt_of(driver.request(5))
    assert not actions_of(driver.advance(800.0), api.StartAttempt)
    assert len(driver.attempts[silent.request_id]) == 1


def test_the_end_of_one_of_two_leaves_the_request_to_the_other() -> None:
    driver = RouterDriver(may_hedge=True)
    slow = slow_one(driver)
    (copy,) = [
        attempt
        for attempt in actions_of(driver.advance(700.0), api.StartAttempt)
        if attempt.request_id == slow.request_id
    ]
    assert not driver.end_attempt(copy, api.AttemptStatus.OVERLOADED)
    attempt_of(driver.end_attempt(slow, api.AttemptStatus.CONNECTION_RESET))


@pytest.mark.parametrize("class_name", ["keyed", "order"])
def test_what_must_not_run_twice_gets_no_copy(class_name: str) -> None:
    driver = RouterDriver(may_hedge=True)
    slow_one(driver)
    driver.request(class_name=class_name)
    driver.advance(2000.0)
    assert len(driver.attempts[str(driver.request_count)]) == 1


def test_copies_that_lose_to_the_first_answer_become_few() -> None:
    driver = RouterDriver(may_hedge=True)
    for _ in range(20):
        slow = slow_one(driver)
        driver.advance(700.0)
        driver.end_attempt(slow)
    assert driver.router.hedging.gate.share < 0.5


def test_where_requests_tell_no_size_answers_teach_it() -> None:
    """Else all seem to take no time at all, and are late as soon as the bare aim has passed."""
    driver = RouterDriver()
    for key in range(30):
        driver.end_attempt(attempt_of(driver.request(key, size_kb=0.0)), size_kb=2000.0)
    driver.request(99, size_kb=0.0)
    request = driver.router.state.requests.open[str(driver.request_count)]
    assert request.transfer_ms == 400.0
    assert request.objective_ms == 500.0 + 1.6 * 400.0
