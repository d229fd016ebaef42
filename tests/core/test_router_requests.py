"""Requests that end early or are repeated, at the router itself."""

from __future__ import annotations

from tests.core.scripted_ports import ScriptedPorts
from tests.helpers import Bench, fetch_of, finals
from thornjunction import interface as api


def test_an_expired_request_is_answered_by_what_is_known() -> None:
    bench = Bench(may_bypass_caches=True)
    film = fetch_of(bench.ask())
    order = fetch_of(bench.ask(class_name="order"))
    assert finals(bench.give(api.RequestExpired(film.request_id))) == [api.RejectRequest(film.request_id)]
    assert finals(bench.give(api.RequestExpired(order.request_id))) == [api.FailRequest(order.request_id)]
    assert bench.give(api.RequestExpired(film.request_id)) == []


def test_the_engine_expires_all_open_requests_at_once() -> None:
    ports = ScriptedPorts()
    number = ports.open()
    ports.engine.answer_all_now()
    assert ports.events[-1] == api.RequestExpired(str(number))


def test_what_may_have_run_is_known_to_the_next_request_with_its_key() -> None:
    bench = Bench(may_bypass_caches=True)
    first = fetch_of(bench.ask(class_name="keyed", idempotency_key="k"))
    bench.answer(first, api.AttemptStatus.TIMEOUT)
    bench.wait(2500.0)
    assert finals(bench.ask(class_name="keyed", idempotency_key="k")) == [api.FailRequest(str(bench.asked))]
    actions = bench.ask(class_name="keyed", idempotency_key="other")
    while not finals(actions):
        actions = bench.answer(fetch_of(actions), api.AttemptStatus.NOT_STARTED)
    assert not finals(bench.ask(class_name="keyed", idempotency_key="other"))
