"""Trouble that begins after a long quiet time is met as trouble at once."""

from __future__ import annotations

import pytest

from tests.helpers import EDGES, ORIGIN, PARENTS, Bench, fetch_of, only
from thornjunction import interface as api


@pytest.mark.parametrize("quiet_ms", [0.0, 600_000.0])
def test_a_refusal_and_a_hang_after_a_long_quiet_time_are_met_as_at_once(quiet_ms: float) -> None:
    bench = Bench(entries=(*EDGES, *PARENTS, ORIGIN))
    for key in range(20):
        bench.answer(fetch_of(bench.ask(key)))
    bench.wait(quiet_ms)
    refused = fetch_of(bench.ask(1))
    second = fetch_of(bench.answer(refused, api.AttemptStatus.CONNECTION_REFUSED))
    assert second.server != refused.server
    bench.answer(second)
    asked = [fetch_of(bench.ask(key)) for key in range(100, 112)]
    hung = next(fetch.server for fetch in asked if fetch.server not in (refused.server, second.server))
    at_it = {fetch.request_id for fetch in asked if fetch.server == hung}
    for fetch in asked:
        if fetch.server != hung:
            bench.answer(fetch)
    assert not only(bench.wait(300.0), api.CancelAttempt)  # nobody was silent while nobody was asked
    called_back = {cancel.request_id for cancel in only(bench.wait(1_200.0), api.CancelAttempt)}
    assert called_back == at_it and len(at_it) >= 2
