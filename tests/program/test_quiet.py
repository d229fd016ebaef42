"""Trouble that begins after a long quiet time is met as trouble at once."""

from __future__ import annotations

import pytest

from tests.helpers import EDGES, ORIGIN, PARENTS, RouterDriver, actions_of, attempt_of
from thornjunction import interface as api


@pytest.mark.parametrize("quiet_ms", [0.0, 600_000.0])
def test_a_refusal_and_a_hang_after_a_long_quiet_time_are_met_as_at_once(quiet_ms: float) -> None:
    bench = RouterDriver(entries=(*EDGES, *PARENTS, ORIGIN))
    for key in range(20):
        bench.end_attempt(attempt_of(bench.request(key)))
    bench.advance(quiet_ms)
    refused = attempt_of(bench.request(1))
    second = attempt_of(bench.end_attempt(refused, api.AttemptStatus.CONNECTION_REFUSED))
    assert second.server != refused.server
    bench.end_attempt(second)
    asked = [attempt_of(bench.request(key)) for key in range(100, 112)]
    hung = next(fetch.server for fetch in asked if fetch.server not in (refused.server, second.server))
    at_it = {fetch.request_id for fetch in asked if fetch.server == hung}
    for fetch in asked:
        if fetch.server != hung:
            bench.end_attempt(fetch)
    assert not actions_of(bench.advance(300.0), api.CancelAttempt)  # nobody was silent while nobody was asked
    called_back = {cancel.request_id for cancel in actions_of(bench.advance(1_200.0), api.CancelAttempt)}
    assert called_back == at_it and len(at_it) >= 2
