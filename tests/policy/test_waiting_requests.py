"""Requests that wait for a server, and the timeout of attempts."""

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


def test_attempts_wait_for_slow_fills_until_the_deadline() -> None:
    """Early timeouts cancel fills, which are then fetched again and prolong the overload."""
    assert attempt_of(RouterDriver().request(remaining_ms=5000.0)).timeout_ms > 4900.0


def test_waiting_requests_are_not_all_dispatched_at_every_tick() -> None:
    entries = (edge("cold", started_ms=1000.0), ORIGIN)
    driver = RouterDriver(entries=entries, initial_capacity_share=0.001)
    for key in range(500):
        driver.request(key)
    waiting_count = len(driver.router.state.requests.waiting)
    assert waiting_count > 400
    dispatched: list[str] = []
    dispatcher = driver.router.dispatcher
    dispatch = dispatcher.dispatch

    def record_dispatch(request: PendingRequest) -> None:
        dispatched.append(request.id)
        dispatch(request)

    dispatcher.dispatch = record_dispatch  # type: ignore[method-assign]
    driver.advance(50.0)
    assert 0 < len(dispatched) < 20


def test_requests_wait_for_a_trial_while_all_caches_are_unreachable() -> None:
    """Hundreds of routers that keep trying would overload a cache in the first second after its start."""
    driver = RouterDriver(entries=(EDGES[0], EDGES[1], ORIGIN))
    attempt = attempt_of(driver.request())
    while started := actions_of(
        driver.end_attempt(attempt, api.AttemptStatus.CONNECTION_REFUSED), api.StartAttempt
    ):
        attempt = started[0]
    assert len(driver.attempts["1"]) == 2
    sent_count = sum(len(actions_of(driver.request(key), api.StartAttempt)) for key in range(100))
    assert sent_count == 0
    trials = actions_of(driver.advance(700.0), api.StartAttempt)
    assert 1 <= len(trials) <= 2
    later_actions = driver.end_attempt(trials[0]) + driver.advance(1000.0)
    assert len(actions_of(later_actions, api.StartAttempt)) < 20  # within a cold cache's budget


def test_waiting_requests_do_not_block_one_another() -> None:
    """A large request that cannot be sent yet must not delay the small ones behind it."""
    driver = RouterDriver(entries=(edge("cold", started_ms=1000.0), ORIGIN), initial_capacity_share=0.001)
    for key in range(30):
        driver.request(key, size_kb=3000.0)
    initial_order = list(driver.router.state.requests.waiting)
    driver.advance(50.0)
    # The first ten were dispatched again and now wait at the end.
    assert list(driver.router.state.requests.waiting) == initial_order[10:] + initial_order[:10]
