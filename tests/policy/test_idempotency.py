"""Rule 2: no request is executed twice that must not be."""

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

MAY_HAVE_RUN = [
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


@pytest.mark.parametrize("status", MAY_HAVE_RUN)
def test_a_non_idempotent_request_is_not_retried_or_rejected_once_it_may_have_run(
    status: api.AttemptStatus,
) -> None:
    driver = RouterDriver()
    actions = driver.end_attempt(attempt_of(driver.request(class_name="order")), status)
    assert not actions_of(actions, api.StartAttempt)
    assert final_actions(actions) == [api.FailRequest("1")]


@pytest.mark.parametrize("status", NEVER_EXECUTED)
def test_a_non_idempotent_request_is_retried_when_it_cannot_have_run(status: api.AttemptStatus) -> None:
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


def test_an_attempt_has_to_begin_before_what_it_was_decided_by_may_not_hold() -> None:
    """Its connection may come up late: after a drain or a purge binds, or after its repeat window."""
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


def test_two_tries_of_one_key_share_one_window() -> None:
    """The first try was refused and waited; meanwhile the second ran: it has to follow in that window."""
    driver = RouterDriver()
    driver.end_attempt(
        attempt_of(driver.request(class_name="keyed", idempotency_key="k")), api.AttemptStatus.OVERLOADED
    )
    assert attempt_of(driver.request(class_name="keyed", idempotency_key="k"))
    assert actions_of(driver.advance(1999.0), api.StartAttempt)
    assert final_actions(driver.end_attempt(driver.attempts["1"][-1], api.AttemptStatus.NOT_STARTED)) == [
        api.FailRequest("1")
    ]


@pytest.mark.parametrize("group", [api.DeduplicationScope.CELL, api.DeduplicationScope.ZONE])
def test_a_keyed_request_stays_in_its_deduplication_scope(group: api.DeduplicationScope) -> None:
    entries = tuple(edge(f"edge{number}", cell=number % 2) for number in range(4))
    cells = {entry.server: entry.cell for entry in entries}
    keyed = api.RequestClass(
        "keyed",
        700.0,
        3000.0,
        api.Idempotency.KEYED,
        deduplication_scope=group,
        deduplication_window_ms=2000.0,
    )
    driver = RouterDriver(entries=(*entries, ORIGIN), classes=(keyed,))
    for key in range(20):
        first = attempt_of(driver.request(key, "keyed"))
        second = attempt_of(driver.end_attempt(first, api.AttemptStatus.ERROR))
        if group is api.DeduplicationScope.CELL:
            assert cells[first.server] == cells[second.server]
        driver.end_attempt(second)


def test_writes_name_the_origin_or_a_parent_and_are_not_kept() -> None:
    attempt = attempt_of(RouterDriver().request(class_name="keyed"))
    assert attempt.source in {"origin", *(entry.server for entry in PARENTS)}
    assert attempt.retention_rank == 0
    assert attempt_of(RouterDriver(may_bypass_caches=True).request(class_name="order")).server == "origin"
