"""Trouble that begins after a long quiet time is met as trouble at once."""

from __future__ import annotations

import pytest

from tests.helpers import EDGES, ORIGIN, PARENTS, RouterDriver, actions_of, attempt_of
from thornjunction import interface as api


@pytest.mark.parametrize("quiet_ms", [0.0, 600_000.0])
def test_a_refusal_and_a_hang_after_a_long_quiet_time_are_met_as_at_once(quiet_ms: float) -> None:
    driver = RouterDriver(entries=(*EDGES, *PARENTS, ORIGIN))
    for key in range(20):
        driver.end_attempt(attempt_of(driver.request(key)))
    driver.advance(quiet_ms)
    refused = attempt_of(driver.request(1))
    second = attempt_of(driver.end_attempt(refused, api.AttemptStatus.CONNECTION_REFUSED))
    assert second.server != refused.server
    driver.end_attempt(second)
    asked = [attempt_of(driver.request(key)) for key in range(100, 112)]
    hung = next(attempt.server for attempt in asked if attempt.server not in (refused.server, second.server))
    at_it = {attempt.request_id for attempt in asked if attempt.server == hung}
    for attempt in asked:
        if attempt.server != hung:
            driver.end_attempt(attempt)
    assert not actions_of(
        driver.advance(300.0), api.CancelAttempt
    )  # nobody was silent while nobody was asked
    called_back = {cancel.request_id for cancel in actions_of(driver.advance(1_200.0), api.CancelAttempt)}
    assert called_back == at_it
    assert len(at_it) >= 2
