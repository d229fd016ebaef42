"""Rule 2: a request that must not be executed twice is executed at most once."""

from __future__ import annotations

import pytest

from tests.helpers import (
    ORIGIN,
    PARENTS,
    RouterDriver,
    actions_of,
    attempt_of,
    edge,
    final_actions,
)
from thornjunction import interface as api
from thornjunction.limits.idempotency import KEY_LIFETIME_MS, MAX_EXECUTIONS_PER_KEY, ExecutionTable

MAY_HAVE_BEEN_EXECUTED = [
    api.AttemptStatus.ERROR,
    api.AttemptStatus.TIMEOUT,
    api.AttemptStatus.CONNECTION_RESET,
    api.AttemptStatus.CANCELLED,
]


NEVER_EXECUTED = [
    api.AttemptStatus.OVERLOADED,
    api.AttemptStatus.CONNECTION_REFUSED,
    api.AttemptStatus.CACHE_MISS,
]


@pytest.mark.parametrize("status", MAY_HAVE_BEEN_EXECUTED)
def test_a_non_idempotent_request_that_may_have_been_executed_is_not_retried_or_rejected(
    status: api.AttemptStatus,
) -> None:
    driver = RouterDriver()
    actions = driver.end_attempt(attempt_of(driver.request(class_name="order")), status)
    assert not actions_of(actions, api.StartAttempt)
    assert final_actions(actions) == [api.FailRequest("1")]


@pytest.mark.parametrize("status", NEVER_EXECUTED)
def test_a_non_idempotent_request_that_was_not_executed_is_retried(status: api.AttemptStatus) -> None:
    driver = RouterDriver()
    first = attempt_of(driver.request(class_name="order"))
    # A server without capacity is not tried again at once.
    actions = driver.end_attempt(first, status) or driver.advance(300.0)
    assert attempt_of(actions).server != first.server


def test_a_non_idempotent_request_in_flight_at_its_deadline_fails() -> None:
    driver = RouterDriver()
    driver.request(class_name="order")
    assert final_actions(driver.advance(3000.0)) == [api.FailRequest("1")]


def test_a_keyed_request_is_retried_only_within_its_deduplication_window() -> None:
    driver = RouterDriver()
    first = attempt_of(driver.request(class_name="keyed"))
    driver.now_ms += 1000.0
    second = attempt_of(driver.end_attempt(first, api.AttemptStatus.ERROR))
    driver.now_ms += 999.0
    assert final_actions(driver.end_attempt(second, api.AttemptStatus.ERROR)) == [api.FailRequest("1")]


def test_an_attempt_must_begin_before_its_decision_may_become_invalid() -> None:
    """Its connection may open late: after a drain or a purge takes effect, or after its repeat window."""
    driver = RouterDriver(drain_grace_ms=400.0, purge_grace_ms=300.0)
    assert attempt_of(driver.request()).start_within_ms == 300.0
    first = attempt_of(driver.request(class_name="keyed"))
    assert first.start_within_ms == 300.0
    driver.now_ms += 1900.0
    assert 0 < attempt_of(driver.end_attempt(first, api.AttemptStatus.ERROR)).start_within_ms < 100.0
    assert (
        attempt_of(
            RouterDriver(drain_grace_ms=200.0, purge_propagation_ms=0.0, purge_grace_ms=0.0).request()
        ).start_within_ms
        == 200.0
    )


def test_two_requests_under_one_key_share_one_repeat_window() -> None:
    """The first request waits after a rejection while the second is sent; its repeat window binds both."""
    driver = RouterDriver()
    driver.end_attempt(
        attempt_of(driver.request(class_name="keyed", idempotency_key="k")), api.AttemptStatus.OVERLOADED
    )
    assert attempt_of(driver.request(class_name="keyed", idempotency_key="k"))
    assert actions_of(driver.advance(1999.0), api.StartAttempt)
    assert final_actions(driver.end_attempt(driver.attempts["1"][-1], api.AttemptStatus.NOT_STARTED)) == [
        api.FailRequest("1")
    ]


@pytest.mark.parametrize("scope", [api.DeduplicationScope.CELL, api.DeduplicationScope.ZONE])
def test_a_keyed_request_stays_in_its_deduplication_scope(scope: api.DeduplicationScope) -> None:
    entries = tuple(edge(f"edge{number}", cell=number % 2) for number in range(4))
    cells = {entry.server: entry.cell for entry in entries}
    keyed = api.RequestClass(
        "keyed",
        700.0,
        3000.0,
        api.Idempotency.KEYED,
        deduplication_scope=scope,
        deduplication_window_ms=2000.0,
    )
    driver = RouterDriver(entries=(*entries, ORIGIN), classes=(keyed,))
    for key in range(20):
        first = attempt_of(driver.request(key, "keyed"))
        second = attempt_of(driver.end_attempt(first, api.AttemptStatus.ERROR))
        if scope is api.DeduplicationScope.CELL:
            assert cells[first.server] == cells[second.server]
        driver.end_attempt(second)


def test_an_attempt_that_was_not_executed_hides_no_other_one_under_its_key() -> None:
    """Two tries overlap: the first proves not to have run after the second has ended as possibly run."""
    driver = RouterDriver(may_cancel=False)
    first = attempt_of(driver.request(class_name="keyed", idempotency_key="k"))
    second = attempt_of(driver.request(class_name="keyed", idempotency_key="k"))
    driver.handle(api.ClientDisconnected("2"))
    driver.end_attempt(second, api.AttemptStatus.ERROR)
    driver.end_attempt(first, api.AttemptStatus.OVERLOADED)
    driver.advance(2500.0)
    assert not actions_of(driver.request(class_name="keyed", idempotency_key="k"), api.StartAttempt)


def test_a_request_that_another_process_may_have_executed_is_sent_only_within_its_window() -> None:
    """Guards against a second execution by a process that replaces the one that sent the first attempt."""
    driver = RouterDriver()
    execution = api.PossibleExecution(driver.now_ms, "here", 0)
    driver.handle(api.ExecutionsReported("k", (execution,)))
    driver.advance(1000.0)
    within = attempt_of(driver.request(class_name="keyed", idempotency_key="k"))
    driver.end_attempt(within, api.AttemptStatus.OVERLOADED)
    driver.advance(1000.0)
    assert final_actions(driver.request(class_name="keyed", idempotency_key="k")) == [
        api.FailRequest(str(driver.request_count))
    ]
    driver.handle(api.ExecutionsReported("k", ()))
    assert attempt_of(driver.request(class_name="keyed", idempotency_key="k"))


@pytest.mark.parametrize("scope", [api.DeduplicationScope.CELL, api.DeduplicationScope.ZONE])
def test_a_request_that_another_process_may_have_executed_stays_in_its_scope(
    scope: api.DeduplicationScope,
) -> None:
    entries = tuple(edge(f"edge{number}", cell=number % 2) for number in range(4))
    keyed = api.RequestClass(
        "keyed",
        700.0,
        3000.0,
        api.Idempotency.KEYED,
        deduplication_scope=scope,
        deduplication_window_ms=2000.0,
    )
    driver = RouterDriver(entries=(*entries, ORIGIN), classes=(keyed,))
    for key in range(20):
        idempotency_key = str(key)
        zone = "here" if scope is api.DeduplicationScope.CELL else "elsewhere"
        execution = api.PossibleExecution(driver.now_ms, zone, cell=1)
        driver.handle(api.ExecutionsReported(idempotency_key, (execution,)))
        actions = driver.request(key, "keyed", idempotency_key=idempotency_key)
        if scope is api.DeduplicationScope.CELL:
            assert attempt_of(actions).server in {"edge1", "edge3"}
        else:
            assert final_actions(actions) == [api.FailRequest(str(driver.request_count))]


def test_the_number_of_attempts_on_record_under_one_key_is_bounded() -> None:
    table = ExecutionTable()
    execution = api.PossibleExecution(0.0, "here", 0)
    for _ in range(MAX_EXECUTIONS_PER_KEY):
        assert table.has_capacity_for("k", 0.0)
        table.record("k", execution)
    assert not table.has_capacity_for("k", 0.0)
    assert table.has_capacity_for("k", KEY_LIFETIME_MS + 1.0)
    assert not table.by_key


def test_uncacheable_requests_have_the_origin_or_a_parent_as_source_and_are_not_cached() -> None:
    attempt = attempt_of(RouterDriver().request(class_name="keyed"))
    assert attempt.source in {"origin", *(entry.server for entry in PARENTS)}
    assert attempt.retention_rank == 0
    assert attempt_of(RouterDriver(may_bypass_caches=True).request(class_name="order")).server == "origin"
