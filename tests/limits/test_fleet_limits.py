"""Limits that hold for a fleet of routers that know nothing of one another.

Admission gates that open with time, a retry budget for all, backoff after rejections, and the origin's gate
where answers have no load reports.
"""

from __future__ import annotations

import pytest

from tests.helpers import EDGES, ORIGIN, PARENTS, RouterDriver, actions_of, attempt_of, final_actions
from thornjunction import interface as api
from thornjunction.limits.admission_gates import MIN_SHARE, AdmissionGate
from thornjunction.limits.retry_budget import RetryBudget, backoff_ms


def driver_without_fill_reports(**settings: object) -> RouterDriver:
    """Drive one of two hundred routers, where answers have no fill reports."""
    defaults = {"fill_reporting": api.FillReporting.NONE, "may_bypass_caches": True, "router_count": 200}
    return RouterDriver((*EDGES, *PARENTS, ORIGIN), **{**defaults, **settings})


def test_a_gate_opens_with_time_alone() -> None:
    """One of hundreds of fronts gets too few answers to learn from them that a trouble is over."""
    gate = AdmissionGate()
    for _ in range(40):
        gate.record(1000.0, late=True)
    assert gate.share == MIN_SHARE
    assert 0.3 < gate.current_share(3000.0) < 0.4
    assert gate.current_share(8000.0) == 1.0


def test_a_late_answer_weighs_more_where_few_come() -> None:
    """One of two hundred hears one refusal while the fleet hears a hundred."""
    often = AdmissionGate(0.0)
    seldom = AdmissionGate(0.0)
    for number in range(20):
        often.record(1000.0 + number, late=False)
    often.record(1020.0, late=True)
    seldom.record(1000.0, late=False)
    seldom.record(3000.0, late=True)
    assert 0.8 < often.share < 0.9
    assert 0.2 < seldom.share < 0.25


@pytest.mark.parametrize(("routers", "depth"), [(3, 20.0), (60, 2.0), (200, 2.0), (0, 60.0)])
def test_saved_up_retries_are_shared_by_the_fleet(routers: int, depth: float) -> None:
    budget = RetryBudget(routers)
    for _ in range(100):
        budget.deposit()
    assert budget.tokens == depth


def test_waits_double_and_spread() -> None:
    assert [backoff_ms(800.0, attempts, lambda: 0.5) for attempts in (1, 2, 3)] == [100.0, 200.0, 400.0]
    assert backoff_ms(800.0, 1, lambda: 0.0) == 50.0


def test_a_rejection_by_a_full_origin_is_not_retried_at_once() -> None:
    """Alerts that tried again at once asked the full origin for five times their number."""
    driver = driver_without_fill_reports(max_attempts=6)
    attempt = attempt_of(driver.request(class_name="keyed"))
    times = [driver.now_ms]
    while not final_actions(actions := driver.end_attempt(attempt, api.AttemptStatus.OVERLOADED)):
        assert not actions_of(actions, api.StartAttempt)
        while not (sent := actions_of(actions := driver.advance(10.0), api.StartAttempt)):
            if final_actions(actions):
                break
        if not sent:
            break
        attempt = sent[0]
        times.append(driver.now_ms)
    assert 2 <= len(times) <= 4
    assert times[1] - times[0] >= 40.0
    # Answered at once when no try is left that could deposit anything: late ones are worth nothing here.
    assert driver.now_ms - times[0] < 700.0 + 50.0
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


def test_slow_answers_of_what_runs_at_the_origin_tell_of_its_queue() -> None:
    driver = driver_without_fill_reports()
    driver.end_attempt(attempt_of(driver.request(class_name="keyed")), elapsed_ms=340.0)
    assert driver.router.state.gates.origin.share == 1.0
    driver.end_attempt(attempt_of(driver.request(class_name="keyed")), elapsed_ms=360.0)
    assert driver.router.state.gates.origin.share < 1.0


def test_late_answers_of_what_parents_hold_are_not_the_origins_doing() -> None:
    driver = driver_without_fill_reports()
    driver.router.state.gates.origin.share = driver.router.state.gates.origin.recovery_per_ms = 0.0
    for key in range(30):
        for attempt in actions_of(driver.request(key), api.StartAttempt):
            driver.end_attempt(attempt, elapsed_ms=4000.0, fill_result=api.FillResult.NONE)
    assert driver.router.state.gates.fills.share < 0.5
