"""The tables stay bounded, and events of requests that have ended are ignored."""

from __future__ import annotations

import gc
import weakref

from tests.helpers import (
    EDGES,
    ORIGIN,
    SETTINGS,
    RouterDriver,
    attempt_of,
)
from thornjunction import interface as api
from thornjunction.policy.router import Router


def test_tables_are_bounded() -> None:
    driver = RouterDriver()
    for key in range(12_000):
        driver.end_attempt(attempt_of(driver.request(key)))
    driver.advance(6000.0)
    router = driver.router
    assert len(router.state.ranking.counts) <= 8192
    assert len(router.state.ranking.cost_scores.ordered) <= 512
    assert len(router.state.ranking.hit_scores.ordered) <= 512
    requests = router.state.requests
    attempts = router.attempts.in_flight
    deadlines = router.admission.deadlines
    assert not (requests.open)
    assert not (requests.waiting)
    assert not attempts
    assert not deadlines


def test_the_execution_table_keeps_no_reference_to_a_request() -> None:
    """A key is kept for ten minutes; with its request it took 1.2 KB, so memory grew all day."""
    driver = RouterDriver(may_bypass_caches=True)
    attempt = attempt_of(driver.request(class_name="keyed", idempotency_key="k"))
    request = weakref.ref(driver.router.state.requests.open[attempt.request_id])
    driver.end_attempt(attempt)
    driver.advance(6000.0)
    gc.collect()
    assert "k" in driver.router.state.executions.by_key
    assert request() is None


def test_events_of_finished_or_unknown_requests_are_ignored() -> None:
    router = Router(SETTINGS, 1)
    router.handle(0.0, api.EndpointListUpdate((*EDGES, ORIGIN)))
    assert router.handle(1.0, api.ClientDisconnected("never seen")) == []
    assert router.handle(1.0, api.TimerFired(99)) == []
    assert router.handle(1.0, api.AttemptEnded("never seen", 0, "edge1", api.AttemptStatus.SUCCEEDED)) == []
