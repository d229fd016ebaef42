"""Copies sent beside answers that may be lost: when, for whom, and how few."""

from __future__ import annotations

import pytest

from tests.helpers import RouterDriver, actions_of, attempt_of
from thornjunction import interface as api


def slow_one(bench: RouterDriver) -> api.StartAttempt:
    """One attempt that has waited longer than most of its class, while its cache answers others."""
    for key in range(300):
        bench.advance(5.0)
        bench.end_attempt(attempt_of(bench.request(key)))
    slow = attempt_of(bench.request(5))
    bench.advance(50.0)
    bench.end_attempt(attempt_of(bench.request(5)))
    return slow


def test_an_answer_that_is_lost_gets_a_copy_sent_beside_it() -> None:
    bench = RouterDriver(may_hedge=True)
    slow = slow_one(bench)
    copies = [
        fetch
        for fetch in actions_of(bench.advance(700.0), api.StartAttempt)
        if fetch.request_id == slow.request_id
    ]
    assert [copy.server for copy in copies] == [slow.server]  # which still holds what it sent
    actions = bench.end_attempt(copies[0])
    assert api.CancelAttempt(slow.request_id, 0) in actions and not bench.router.state.requests.open
    assert not bench.end_attempt(slow, api.AttemptStatus.CANCELLED)


def test_a_cache_that_answers_nobody_gets_no_copies() -> None:
    bench = RouterDriver(may_hedge=True)
    bench.end_attempt(slow_one(bench))
    bench.advance(100.0)
    silent = attempt_of(bench.request(5))
    assert (
        not actions_of(bench.advance(800.0), api.StartAttempt) and len(bench.attempts[silent.request_id]) == 1
    )


def test_the_end_of_one_of_two_leaves_the_request_to_the_other() -> None:
    bench = RouterDriver(may_hedge=True)
    slow = slow_one(bench)
    (copy,) = [
        fetch
        for fetch in actions_of(bench.advance(700.0), api.StartAttempt)
        if fetch.request_id == slow.request_id
    ]
    assert not bench.end_attempt(copy, api.AttemptStatus.OVERLOADED)
    attempt_of(bench.end_attempt(slow, api.AttemptStatus.CONNECTION_RESET))


@pytest.mark.parametrize("class_name", ["keyed", "order"])
def test_what_must_not_run_twice_gets_no_copy(class_name: str) -> None:
    bench = RouterDriver(may_hedge=True)
    slow_one(bench)
    bench.request(class_name=class_name)
    bench.advance(2000.0)
    assert len(bench.attempts[str(bench.request_count)]) == 1


def test_copies_that_lose_to_the_first_answer_become_few() -> None:
    bench = RouterDriver(may_hedge=True)
    for _ in range(20):
        slow = slow_one(bench)
        bench.advance(700.0)
        bench.end_attempt(slow)
    assert bench.router.hedging.gate.share < 0.5


def test_where_requests_tell_no_size_answers_teach_it() -> None:
    """Else all seem to take no time at all, and are late as soon as the bare aim has passed."""
    bench = RouterDriver()
    for key in range(30):
        bench.end_attempt(attempt_of(bench.request(key, size_kb=0.0)), size_kb=2000.0)
    bench.request(99, size_kb=0.0)
    request = bench.router.state.requests.open[str(bench.request_count)]
    assert request.transfer_ms == 400.0 and request.objective_ms == 500.0 + 1.6 * 400.0
