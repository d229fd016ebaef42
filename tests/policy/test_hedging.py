"""Hedged requests: when they are sent, for which requests, and how many."""

from __future__ import annotations

import pytest

from tests.helpers import RouterDriver, actions_of, attempt_of
from thornjunction import interface as api


def start_slow_attempt(driver: RouterDriver) -> api.StartAttempt:
    """Return an attempt that is slower than its class's typical latency, at a cache that answers others."""
    for key in range(300):
        driver.advance(5.0)
        driver.end_attempt(attempt_of(driver.request(key)))
    slow = attempt_of(driver.request(5))
    driver.advance(50.0)
    driver.end_attempt(attempt_of(driver.request(5)))
    return slow


def test_an_attempt_whose_answer_is_lost_is_hedged() -> None:
    driver = RouterDriver(may_hedge=True)
    slow = start_slow_attempt(driver)
    hedges = [
        attempt
        for attempt in actions_of(driver.advance(700.0), api.StartAttempt)
        if attempt.request_id == slow.request_id
    ]
    assert [hedge.server for hedge in hedges] == [slow.server]  # which still has the object cached
    actions = driver.end_attempt(hedges[0])
    assert api.CancelAttempt(slow.request_id, 0) in actions
    assert not driver.router.state.requests.open
    assert not driver.end_attempt(slow, api.AttemptStatus.CANCELLED)


def test_a_silent_cache_gets_no_hedged_requests() -> None:
    driver = RouterDriver(may_hedge=True)
    driver.end_attempt(start_slow_attempt(driver))
    driver.advance(100.0)
    silent = attempt_of(driver.request(5))
    assert not actions_of(driver.advance(800.0), api.StartAttempt)
    assert len(driver.attempts[silent.request_id]) == 1


def test_a_request_goes_on_with_its_other_attempt_when_one_fails() -> None:
    driver = RouterDriver(may_hedge=True)
    slow = start_slow_attempt(driver)
    (hedge,) = [
        attempt
        for attempt in actions_of(driver.advance(700.0), api.StartAttempt)
        if attempt.request_id == slow.request_id
    ]
    assert not driver.end_attempt(hedge, api.AttemptStatus.OVERLOADED)
    attempt_of(driver.end_attempt(slow, api.AttemptStatus.CONNECTION_RESET))


@pytest.mark.parametrize("class_name", ["keyed", "order"])
def test_a_request_that_must_not_be_executed_twice_is_not_hedged(class_name: str) -> None:
    driver = RouterDriver(may_hedge=True)
    start_slow_attempt(driver)
    driver.request(class_name=class_name)
    driver.advance(2000.0)
    assert len(driver.attempts[str(driver.request_count)]) == 1


def test_hedges_become_rare_while_the_first_attempts_are_answered_first() -> None:
    driver = RouterDriver(may_hedge=True)
    for _ in range(20):
        slow = start_slow_attempt(driver)
        driver.advance(700.0)
        driver.end_attempt(slow)
    assert driver.router.hedging.gate.share < 0.5


def test_sizes_are_learnt_from_answers_if_requests_announce_none() -> None:
    """Otherwise transfer times would count as zero, and answers as late after the bare latency objective."""
    driver = RouterDriver()
    for key in range(30):
        driver.end_attempt(attempt_of(driver.request(key, size_kb=0.0)), size_kb=2000.0)
    driver.request(99, size_kb=0.0)
    request = driver.router.state.requests.open[str(driver.request_count)]
    assert request.transfer_ms == 400.0
    assert request.objective_ms == 500.0 + 1.6 * 400.0
