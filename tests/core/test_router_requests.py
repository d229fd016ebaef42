"""Requests that expire early or are repeated with the same key, passed to the router."""

from __future__ import annotations

from tests.core.scripted_ports import ScriptedPorts
from tests.helpers import RouterDriver, attempt_of, final_actions
from thornjunction import interface as api


def test_an_expired_request_fails_if_a_retry_would_be_unsafe() -> None:
    driver = RouterDriver(may_bypass_caches=True)
    film = attempt_of(driver.request())
    order = attempt_of(driver.request(class_name="order"))
    assert final_actions(driver.handle(api.RequestExpired(film.request_id))) == [
        api.RejectRequest(film.request_id)
    ]
    assert final_actions(driver.handle(api.RequestExpired(order.request_id))) == [
        api.FailRequest(order.request_id)
    ]
    assert driver.handle(api.RequestExpired(film.request_id)) == []


def test_the_engine_expires_all_open_requests_at_once() -> None:
    ports = ScriptedPorts()
    number = ports.open()
    ports.engine.answer_all_now()
    assert ports.events[-1] == api.RequestExpired(str(number))


def test_a_retry_fails_if_an_earlier_attempt_with_its_key_may_have_run() -> None:
    driver = RouterDriver(may_bypass_caches=True)
    first = attempt_of(driver.request(class_name="keyed", idempotency_key="k"))
    driver.end_attempt(first, api.AttemptStatus.TIMEOUT)
    driver.advance(2500.0)
    assert final_actions(driver.request(class_name="keyed", idempotency_key="k")) == [
        api.FailRequest(str(driver.request_count))
    ]
    actions = driver.request(class_name="keyed", idempotency_key="other")
    while not final_actions(actions):
        actions = driver.end_attempt(attempt_of(actions), api.AttemptStatus.NOT_STARTED)
    assert not final_actions(driver.request(class_name="keyed", idempotency_key="other"))
