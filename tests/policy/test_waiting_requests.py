"""Requests that wait for a server, and the time that attempts get."""

from __future__ import annotations

from tests.helpers import (
    EDGES,
    ORIGIN,
    RouterDriver,
    actions_of,
    attempt_of,
    edge,
)
from thornjunction import interface as api
from thornjunction.policy.requests import PendingRequest


def test_attempts_wait_for_slow_fills_to_the_end() -> None:
    """Early time-outs call fills off, which are then fetched again: a jam that feeds itself."""
    assert attempt_of(RouterDriver().request(remaining_ms=5000.0)).timeout_ms > 4900.0


def test_waiting_requests_are_not_all_dispatched_at_every_timer() -> None:
    entries = (edge("cold", started_ms=1000.0), ORIGIN)
    driver = RouterDriver(entries=entries, initial_capacity_share=0.001)
    for key in range(500):
        driver.request(key)
    waiting_count = len(driver.router.state.requests.waiting)
    assert waiting_count > 400
    tried: list[str] = []
    dispatcher = driver.router.dispatcher
    dispatch = dispatcher.dispatch

    def counted(request: PendingRequest) -> None:
        tried.append(request.id)
        dispatch(request)

    dispatcher.dispatch = counted  # type: ignore[method-assign]
    driver.advance(50.0)
    assert 0 < len(tried) < 20


def test_where_all_caches_are_down_requests_wait_for_a_trial() -> None:
    """Hundreds of fronts that try on push a cache over in the first second of its life."""
    driver = RouterDriver(entries=(EDGES[0], EDGES[1], ORIGIN))
    attempt = attempt_of(driver.request())
    while started := actions_of(
        driver.end_attempt(attempt, api.AttemptStatus.CONNECTION_REFUSED), api.StartAttempt
    ):
        attempt = started[0]
    assert len(driver.attempts["1"]) == 2
    sent = sum(len(actions_of(driver.request(key), api.StartAttempt)) for key in range(100))
    assert sent == 0
    trials = actions_of(driver.advance(700.0), api.StartAttempt)
    assert 1 <= len(trials) <= 2
    served = driver.end_attempt(trials[0]) + driver.advance(1000.0)
    assert len(actions_of(served, api.StartAttempt)) < 20  # within a cold cache's budget


def test_waiting_requests_do_not_block_one_another() -> None:
    """One that cannot go yet, of a large class, must not keep small ones behind it waiting."""
    driver = RouterDriver(entries=(edge("cold", started_ms=1000.0), ORIGIN), initial_capacity_share=0.001)
    for key in range(30):
        driver.request(key, size_kb=3000.0)
    order = list(driver.router.state.requests.waiting)
    driver.advance(50.0)
    # Ten were dispatched again and wait as the newest.
    assert list(driver.router.state.requests.waiting) == order[10:] + order[:10]
