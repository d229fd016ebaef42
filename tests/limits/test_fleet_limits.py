"""Limits that hold for a fleet of routers that do not communicate.

Admission gates that open with time, a shared retry budget, backoff after rejections, and the origin's gate
if answers have no fill reports.
"""

from __future__ import annotations

import pytest

from tests.helpers import EDGES, ORIGIN, PARENTS, RouterDriver, actions_of, attempt_of, final_actions
from thornjunction import interface as api
from thornjunction.limits.admission_gates import MIN_SHARE, AdmissionGate
from thornjunction.limits.retry_budget import RetryBudget, backoff_ms


def driver_without_fill_reports(**settings: object) -> RouterDriver:
    """Return the driver of one of two hundred routers whose answers have no fill reports."""
    defaults = {"fill_reporting": api.FillReporting.NONE, "may_bypass_caches": True, "router_count": 200}
    return RouterDriver((*EDGES, *PARENTS, ORIGIN), **{**defaults, **settings})


def test_a_gate_opens_with_time_alone() -> None:
    """One of hundreds of routers gets too few answers to learn from them that an overload is over."""
    gate = AdmissionGate()
    for _ in range(40):
        gate.record(1000.0, late=True)
    assert gate.share == MIN_SHARE
    assert 0.3 < gate.current_share(3000.0) < 0.4
    assert gate.current_share(8000.0) == 1.0


def test_a_late_answer_has_more_weight_the_fewer_answers_arrive() -> None:
    """One of two hundred routers gets one rejection while the fleet gets a hundred."""
    frequent = AdmissionGate(0.0)
    rare = AdmissionGate(0.0)
    for number in range(20):
        frequent.record(1000.0 + number, late=False)
    frequent.record(1020.0, late=True)
    rare.record(1000.0, late=False)
    rare.record(3000.0, late=True)
    assert 0.8 < frequent.share < 0.9
    assert 0.2 < rare.share < 0.25


@pytest.mark.parametrize(("routers", "capacity"), [(3, 20.0), (60, 2.0), (200, 2.0), (0, 60.0)])
def test_the_reserve_of_retries_is_shared_by_the_fleet(routers: int, capacity: float) -> None:
    budget = RetryBudget(routers)
    for _ in range(100):
        budget.deposit()
    assert budget.tokens == capacity


def test_backoffs_double_and_have_jitter() -> None:
    assert [backoff_ms(800.0, attempts, lambda: 0.5) for attempts in (1, 2, 3)] == [100.0, 200.0, 400.0]
    assert backoff_ms(800.0, 1, lambda: 0.0) == 50.0


def test_a_rejection_by_an_overloaded_origin_is_not_retried_at_once() -> None:
    """Requests that were retried at once sent the overloaded origin five times their number."""
    driver = driver_without_fill_reports(max_attempts=6)
    attempt = attempt_of(driver.request(class_name="keyed"))
    started_ms = [driver.now_ms]
    while not final_actions(actions := driver.end_attempt(attempt, api.AttemptStatus.OVERLOADED)):
        assert not actions_of(actions, api.StartAttempt)
        while not (sent := actions_of(actions := driver.advance(10.0), api.StartAttempt)):
            if final_actions(actions):
                break
        if not sent:
            break
        attempt = sent[0]
        started_ms.append(driver.now_ms)
    assert 2 <= len(started_ms) <= 4
    assert started_ms[1] - started_ms[0] >= 40.0
    # It is answered as soon as no further attempt could be in time, as late answers have no value here.
    assert driver.now_ms - started_ms[0] < 700.0 + 50.0
    assert not driver.router.state.requests.open


@pytest.mark.parametrize("class_name", ["films", "keyed"])
def test_rejections_close_the_origins_gate_without_fill_reports(class_name: str) -> None:
    driver = driver_without_fill_reports()
    for key in range(4):
        driver.end_attempt(attempt_of(driver.request(key, class_name)), api.AttemptStatus.OVERLOADED)
        driver.advance(300.0)
    assert driver.router.state.gates.origin.share < 0.5
    started = [
        attempt for key in range(100, 200) for attempt in actions_of(driver.request(key), api.StartAttempt)
    ]
    assert sum(attempt.cached_only for attempt in started) > 40


def test_slow_answers_to_uncacheable_requests_shut_the_origins_gate() -> None:
    driver = driver_without_fill_reports()
    driver.end_attempt(attempt_of(driver.request(class_name="keyed")), elapsed_ms=340.0)
    assert driver.router.state.gates.origin.share == 1.0
    driver.end_attempt(attempt_of(driver.request(class_name="keyed")), elapsed_ms=360.0)
    assert driver.router.state.gates.origin.share < 1.0


def test_late_answers_from_the_parents_caches_shut_the_gate_of_fills() -> None:
    driver = driver_without_fill_reports()
    driver.router.state.gates.origin.share = driver.router.state.gates.origin.recovery_per_ms = 0.0
    for key in range(30):
        for attempt in actions_of(driver.request(key), api.StartAttempt):
            driver.end_attempt(attempt, elapsed_ms=4000.0, fill_result=api.FillResult.NONE)
    assert driver.router.state.gates.fills.share < 0.5
