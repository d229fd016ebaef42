"""Copies sent beside answers that may be lost: when, for whom, and how few."""

from __future__ import annotations

import pytest

from tests.helpers import Bench, fetch_of, only
from thornjunction import interface as api


def slow_one(bench: Bench) -> api.StartAttempt:
    """One attempt that has waited longer than most of its class, while its cache answers others."""
    for key in range(300):
        bench.wait(5.0)
        bench.answer(fetch_of(bench.ask(key)))
    slow = fetch_of(bench.ask(5))
    bench.wait(50.0)
    bench.answer(fetch_of(bench.ask(5)))
    return slow


def test_an_answer_that_is_lost_gets_a_copy_sent_beside_it() -> None:
    bench = Bench(may_hedge=True)
    slow = slow_one(bench)
    copies = [
        fetch for fetch in only(bench.wait(700.0), api.StartAttempt) if fetch.request_id == slow.request_id
    ]
    assert [copy.server for copy in copies] == [slow.server]  # which still holds what it sent
    actions = bench.answer(copies[0])
    assert api.CancelAttempt(slow.request_id, 0) in actions and not bench.router.requests.open
    assert not bench.answer(slow, api.AttemptStatus.CANCELLED)


def test_a_cache_that_answers_nobody_gets_no_copies() -> None:
    bench = Bench(may_hedge=True)
    bench.answer(slow_one(bench))
    bench.wait(100.0)
    silent = fetch_of(bench.ask(5))
    assert not only(bench.wait(800.0), api.StartAttempt) and len(bench.sent[silent.request_id]) == 1


def test_the_end_of_one_of_two_leaves_the_request_to_the_other() -> None:
    bench = Bench(may_hedge=True)
    slow = slow_one(bench)
    (copy,) = [
        fetch for fetch in only(bench.wait(700.0), api.StartAttempt) if fetch.request_id == slow.request_id
    ]
    assert not bench.answer(copy, api.AttemptStatus.OVERLOADED)
    fetch_of(bench.answer(slow, api.AttemptStatus.CONNECTION_RESET))


@pytest.mark.parametrize("class_name", ["keyed", "order"])
def test_what_must_not_run_twice_gets_no_copy(class_name: str) -> None:
    bench = Bench(may_hedge=True)
    slow_one(bench)
    bench.ask(class_name=class_name)
    bench.wait(2000.0)
    assert len(bench.sent[str(bench.asked)]) == 1


def test_copies_that_lose_to_the_first_answer_become_few() -> None:
    bench = Bench(may_hedge=True)
    for _ in range(20):
        slow = slow_one(bench)
        bench.wait(700.0)
        bench.answer(slow)
    assert bench.router.hedging.gate.share < 0.5


def test_where_requests_tell_no_size_answers_teach_it() -> None:
    """Else all seem to take no time at all, and are late as soon as the bare aim has passed."""
    bench = Bench()
    for key in range(30):
        bench.answer(fetch_of(bench.ask(key, size_kb=0.0)), size_kb=2000.0)
    bench.ask(99, size_kb=0.0)
    request = bench.router.requests.open[str(bench.asked)]
    assert request.transfer_ms == 400.0 and request.objective_ms == 500.0 + 1.6 * 400.0
