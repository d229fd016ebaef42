"""Rule 1: each request gets exactly one final answer, before its deadline."""

from __future__ import annotations

from tests.helpers import (
    RouterDriver,
    actions_of,
    attempt_of,
    final_actions,
)
from thornjunction import interface as api


def test_a_request_without_outcome_gets_one_answer_before_its_deadline() -> None:
    driver = RouterDriver()
    driver.request(remaining_ms=2000.0)
    assert not final_actions(driver.advance(1900.0))
    assert len(final_actions(driver.advance(100.0))) == 1
    assert not final_actions(driver.advance(5000.0))


def test_no_attempt_starts_after_the_answer() -> None:
    driver = RouterDriver()
    attempt = attempt_of(driver.request())
    assert not actions_of(driver.end_attempt(attempt), api.StartAttempt)
    assert not driver.end_attempt(attempt, api.AttemptStatus.ERROR)
    later_actions = driver.advance(6000.0)
    assert not final_actions(later_actions)
    assert not actions_of(later_actions, api.StartAttempt)


def test_a_client_that_disconnected_gets_no_answer() -> None:
    driver = RouterDriver()
    attempt = attempt_of(driver.request())
    driver.handle(api.ClientDisconnected(attempt.request_id))
    assert not actions_of(driver.end_attempt(attempt, api.AttemptStatus.CANCELLED), api.StartAttempt)
    assert not final_actions(driver.advance(6000.0))


def test_an_unknown_class_and_an_empty_list_get_one_rejection() -> None:
    assert final_actions(RouterDriver().request(class_name="no such")) == [api.RejectRequest("1")]
    driver = RouterDriver(entries=())
    assert final_actions(driver.request() + driver.advance(6000.0)) == [api.RejectRequest("1")]


def test_attempts_stay_within_the_maximum() -> None:
    driver = RouterDriver()
    actions = driver.request()
    while started := actions_of(actions, api.StartAttempt):
        actions = driver.end_attempt(started[0], api.AttemptStatus.TIMEOUT)
    assert len(driver.attempts["1"]) == 6
    assert final_actions(actions) == [api.RejectRequest("1")]
