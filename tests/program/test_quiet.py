"""Faults that begin after a long time without requests are handled like those under load."""

from __future__ import annotations

import pytest

from tests.helpers import RouterDriver, actions_of, attempt_of
from thornjunction import interface as api


@pytest.mark.parametrize("idle_ms", [0.0, 600_000.0])
def test_a_refusal_and_a_hang_after_a_long_idle_time_are_handled_as_usual(idle_ms: float) -> None:
    driver = RouterDriver()
    for key in range(20):
        driver.end_attempt(attempt_of(driver.request(key)))
    driver.advance(idle_ms)
    refused = attempt_of(driver.request(1))
    retry = attempt_of(driver.end_attempt(refused, api.AttemptStatus.CONNECTION_REFUSED))
    assert retry.server != refused.server
    driver.end_attempt(retry)
    attempts = [attempt_of(driver.request(key)) for key in range(100, 112)]
    used_servers = (refused.server, retry.server)
    hanging = next(attempt.server for attempt in attempts if attempt.server not in used_servers)
    hanging_ids = {attempt.request_id for attempt in attempts if attempt.server == hanging}
    for attempt in attempts:
        if attempt.server != hanging:
            driver.end_attempt(attempt)
    # A server without earlier requests must not be treated as unresponsive yet.
    assert not actions_of(driver.advance(300.0), api.CancelAttempt)
    cancelled = {cancel.request_id for cancel in actions_of(driver.advance(1_200.0), api.CancelAttempt)}
    assert cancelled == hanging_ids
    assert len(hanging_ids) >= 2
