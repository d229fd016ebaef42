"""The metrics that the admin endpoint's call ``vars`` returns."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

import pytest
from fakes.loopback_environment import LoopbackEnvironment

from tests.helpers import EDGES, RouterDriver, attempt_of
from tests.loopback import make_loopback_environment
from thornjunction import interface as api
from thornjunction.core.ports import RequestOutcome
from thornjunction.net.wire.admin import encode_counters
from thornjunction.runtime.admin_metrics import collect_admin_metrics


@pytest.fixture
def environment() -> Iterator[LoopbackEnvironment]:
    """A router with two servers; its connections, ports and timers are removed after the test."""
    environment = make_loopback_environment()
    yield environment
    hosts = tuple(upstream.host for upstream in environment.pool.upstreams.values())
    environment.pool.update(hosts, True)
    for port in environment.ports:
        port.stopListening()
    environment.timer_service.stop()


def test_metrics_are_lines_between_an_acknowledgement_and_an_end_marker() -> None:
    assert encode_counters({"relayed": 3, "open_requests": 0}) == (
        b"ACK\nrouter.relayed=3\nrouter.open_requests=0\n--\n"
    )


def test_metrics_count_requests_by_outcome_and_unavailable_servers(environment: LoopbackEnvironment) -> None:
    counters = environment.counters
    counters.request_ended("films", RequestOutcome.SERVED, 1.0)
    counters.request_ended("films", RequestOutcome.REJECTED, 1.0)
    counters.request_ended("made-up", RequestOutcome.FAILED, 1.0)
    reloads = Counter(accepted=2, invalid=1)
    engine = environment.engine
    metrics = collect_admin_metrics(counters, engine, environment.pool, engine.router, reloads)  # type: ignore[arg-type]
    expected = {
        "fulfilled.films": 1,
        "throttled.films": 1,
        "faulted.films": 0,
        "registry_entries": 2,
        "out_of_rotation": 0,
        "open_requests": 0,
        "cfg_accepted": 2,
        "cfg_invalid": 1,
        "relayed": 0,
    }
    assert {name: metrics[name] for name in expected} == expected
    assert not [name for name in metrics if "made-up" in name]


def test_a_draining_or_failed_server_is_unavailable() -> None:
    driver = RouterDriver()
    names = [entry.server for entry in EDGES]

    def unavailable(listed: list[str]) -> int:
        return driver.router.state.placement.server_list.count_unavailable(listed, driver.now_ms)

    assert unavailable(names) == 0
    driver.end_attempt(attempt_of(driver.request()), api.AttemptStatus.CONNECTION_REFUSED)
    assert unavailable(names) == 1
    draining = api.ServerEntry(names[0], api.Role.EDGE, "here", api.ServerState.DRAINING)
    driver.handle(api.EndpointListUpdate((draining,), False))
    assert unavailable(names) in (1, 2)
    assert unavailable([names[0]]) == 1
