"""Limits that hold for the fleet though no router hears another: gates that open with time, retries counted
for all, waits after refusals, and the origin's gate where answers tell nothing."""

from __future__ import annotations

import pytest

from tests.helpers import EDGES, ORIGIN, PARENTS, RouterDriver, actions_of, attempt_of, final_actions
from thornjunction import interface as api
from thornjunction.limits.admission_gates import MIN_SHARE, AdmissionGate
from thornjunction.limits.retry_budget import RetryBudget, backoff_ms


def blind(**more: object) -> RouterDriver:
    """One of two hundred, where answers tell nothing of fills."""
    more = {"fill_reporting": api.FillReporting.NONE, "may_bypass_caches": True, "router_count": 200, **more}
    return RouterDriver((*EDGES, *PARENTS, ORIGIN), **more)


def test_a_gate_opens_with_time_alone() -> None:
    """One of hundreds of fronts gets too few answers to learn from them that a trouble is over."""
    gate = AdmissionGate()
    for _ in range(40):
        gate.record(1000.0, late=True)
    assert gate.share == MIN_SHARE
    assert 0.3 < gate.current_share(3000.0) < 0.4 and gate.current_share(8000.0) == 1.0


def test_a_late_answer_weighs_more_where_few_come() -> None:
    """One of two hundred hears one refusal while the fleet hears a hundred."""
    often, seldom = AdmissionGate(0.0), AdmissionGate(0.0)
    for number in range(20):
        often.record(1000.0 + number, late=False)
    often.record(1020.0, late=True)
    seldom.record(1000.0, late=False)
    seldom.record(3000.0, late=True)
    assert 0.8 < often.share < 0.9 and 0.2 < seldom.share < 0.25


@pytest.mark.parametrize(("routers", "depth"), [(3, 20.0), (60, 2.0), (200, 2.0), (0, 60.0)])
def test_saved_up_retries_are_shared_by_the_fleet(routers: int, depth: float) -> None:
    budget = RetryBudget(routers)
    for _ in range(100):
        budget.earn()
    assert budget.tokens == depth


def test_waits_double_and_spread() -> None:
    assert [backoff_ms(800.0, attempts, lambda: 0.5) for attempts in (1, 2, 3)] == [100.0, 200.0, 400.0]
    assert backoff_ms(800.0, 1, lambda: 0.0) == 50.0


def test_what_runs_at_a_full_origin_is_not_asked_again_at_once() -> None:
    """Alerts that tried again at once asked the full origin for five times their number."""
    bench = blind(max_attempts=6)
    fetch, times = attempt_of(bench.request(class_name="keyed")), [bench.now_ms]
    while not final_actions(actions := bench.end_attempt(fetch, api.AttemptStatus.OVERLOADED)):
        assert not actions_of(actions, api.StartAttempt)
        while not (sent := actions_of(actions := bench.advance(10.0), api.StartAttempt)):
            if final_actions(actions):
                break
        if not sent:
            break
        fetch = sent[0]
        times.append(bench.now_ms)
    assert 2 <= len(times) <= 4 and times[1] - times[0] >= 40.0
    # Answered at once when no try is left that could earn anything: late ones are worth nothing here.
    assert bench.now_ms - times[0] < 700.0 + 50.0 and not bench.router.state.requests.open


@pytest.mark.parametrize("class_name", ["films", "keyed"])
def test_refusals_teach_the_origins_gate_where_nothing_is_told(class_name: str) -> None:
    bench = blind()
    for key in range(4):
        bench.end_attempt(attempt_of(bench.request(key, class_name)), api.AttemptStatus.OVERLOADED)
        bench.advance(300.0)
    assert bench.router.state.gates.origin.share < 0.5
    fetches = [fetch for key in range(100, 200) for fetch in actions_of(bench.request(key), api.StartAttempt)]
    assert sum(fetch.cached_only for fetch in fetches) > 40


def test_slow_answers_of_what_runs_at_the_origin_tell_of_its_queue() -> None:
    bench = blind()
    bench.end_attempt(attempt_of(bench.request(class_name="keyed")), elapsed_ms=340.0)
    assert bench.router.state.gates.origin.share == 1.0
    bench.end_attempt(attempt_of(bench.request(class_name="keyed")), elapsed_ms=360.0)
    assert bench.router.state.gates.origin.share < 1.0


def test_late_answers_of_what_parents_hold_are_not_the_origins_doing() -> None:
    bench = blind()
    bench.router.state.gates.origin.share = bench.router.state.gates.origin.recovery_per_ms = 0.0
    for key in range(30):
        for fetch in actions_of(bench.request(key), api.StartAttempt):
            bench.end_attempt(fetch, elapsed_ms=4000.0, fill_result=api.FillResult.NONE)
    assert bench.router.state.gates.fills.share < 0.5
