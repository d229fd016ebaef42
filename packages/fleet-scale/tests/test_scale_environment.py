"""An environment of real processes: hollow routers receive what discovery publishes; limits are enforced."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from fleet_scale.environment.environment_processes import EnvironmentOptions
from fleet_scale.environment.scale_environment import ScaleEnvironment
from fleet_scale.errors import RunError
from fleet_scale.runs.cost import cost_between, take_sample
from fleet_scale.runs.fault_actions import end_routers, isolate_regions, start_routers, unblock_regions
from fleet_scale.runs.propagation import measure_propagation
from fleet_scale.topology import TOPOLOGY_FOLDER, read_topology

ROUTERS = 18
TIMEOUT_S = 40.0


@pytest.fixture(scope="module")
def environment() -> Iterator[ScaleEnvironment]:
    topology = read_topology(TOPOLOGY_FOLDER / "small.toml").resized(routers=ROUTERS, cache_servers=12)
    with ScaleEnvironment(topology, EnvironmentOptions(proxies=True), time_limit_s=300.0) as started:
        assert started.wait_until_converged(TIMEOUT_S) is not None
        yield started


def test_all_routers_receive_each_event_once_and_finally_hold_the_same_list(
    environment: ScaleEnvironment,
) -> None:
    before = take_sample(environment)
    repeated_before = environment.state().repeated_purges
    purges = environment.publish_purges(50.0, 20)
    changes = environment.publish_changes(0.05, 5)
    assert environment.wait_until_converged(TIMEOUT_S) is not None
    for plan in (purges, changes):
        propagation = measure_propagation(plan, environment.deliveries(plan), ROUTERS)
        assert (propagation.published, propagation.incomplete) == (plan.count, 0)
        assert propagation.max_ms > 0
    state = environment.state()
    assert (state.running, state.repeated_purges - repeated_before) == (ROUTERS, 0)
    cost = cost_between(before, take_sample(environment))
    assert cost.routers == ROUTERS
    assert cost.hollow_router.bytes_in_per_s > 0
    assert cost.discovery.polls_per_s > 0


def test_an_isolated_region_receives_nothing_until_it_is_unblocked(environment: ScaleEnvironment) -> None:
    last_region = environment.sites[-1].region
    isolated = environment.sites[-1].routers
    others = [name for site in environment.sites if site.region != last_region for name in site.routers]
    isolate_regions(environment, isolated)
    plan = environment.publish_history(environment.reserve_purges(10), 10, history_s=5.0)
    newest = plan.first + plan.count - 1
    received_s = environment.wait_until(
        lambda: environment.state(others).lowest_newest_purge == newest, TIMEOUT_S
    )
    assert received_s is not None
    assert environment.state(isolated).highest_newest_purge < plan.first
    unblock_regions(environment, isolated)
    assert environment.wait_until_converged(TIMEOUT_S) is not None


def test_a_restarted_router_receives_the_current_list(environment: ScaleEnvironment) -> None:
    names = environment.sites[0].routers
    end_routers(environment, names)
    environment.publish_changes(0.01, 1)
    assert environment.wait_until_converged(TIMEOUT_S) is not None
    assert environment.state().running == ROUTERS - len(names)
    start_routers(environment, names)
    assert environment.wait_until_converged(TIMEOUT_S) is not None
    assert environment.state().running == ROUTERS


def test_a_run_over_its_time_or_memory_limit_is_aborted(
    environment: ScaleEnvironment, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("fleet_scale.environment.scale_environment.MAX_MEMORY_SHARE", 1e-6)
    with pytest.raises(RunError, match="memory"):
        environment.check_bounds()
    monkeypatch.setattr(environment, "deadline_s", 0.0)
    with pytest.raises(RunError, match="time limit"):
        environment.check_bounds()
