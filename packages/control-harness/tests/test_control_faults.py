"""Faults of relays and discovery, with real processes; routers' and relays' states are checked."""

from __future__ import annotations

import signal

import pytest
from control_harness.relay_environment import RelayEnvironment, ScenarioRunner


def test_a_killed_relay_starts_empty(run_scenario: ScenarioRunner) -> None:
    """Routers poll the other relay and keep a drain; the killed relay serves again after its restart."""

    async def scenario(environment: RelayEnvironment) -> None:
        await environment.start_all()
        first, second = environment.relays
        await environment.drain_first_edge()
        first.kill()
        await environment.publish_change()
        await environment.wait_until_propagated(second)
        await environment.check_drained_edge_unused()
        first.start()
        await environment.wait_until_ready(first)
        await environment.publish_change()
        await environment.wait_until_propagated(first, second)
        await environment.check_drained_edge_unused()

    run_scenario(scenario)


def test_a_paused_relay_continues(run_scenario: ScenarioRunner) -> None:
    async def scenario(environment: RelayEnvironment) -> None:
        await environment.start_all()
        first, second = environment.relays
        first.send_signal(signal.SIGSTOP)
        await environment.drain_first_edge()
        await environment.publish_change()
        await environment.wait_until_propagated(second)
        first.send_signal(signal.SIGCONT)
        assert all('"cause": "silent"' in router.log_text() for router in environment.routers)
        await environment.publish_change()
        await environment.wait_until_propagated(first, second)
        await environment.check_drained_edge_unused()

    run_scenario(scenario)


@pytest.mark.parametrize("to_target", [True, False])
def test_the_connection_to_a_relay_is_blocked_one_way(to_target: bool, run_scenario: ScenarioRunner) -> None:
    async def scenario(environment: RelayEnvironment) -> None:
        await environment.start_all()
        first, second = environment.relays
        environment.downstream_proxies[0].block(to_target=to_target, from_target=not to_target)
        await environment.publish_change()
        await environment.wait_until_propagated(second)
        assert all('"cause": "silent"' in router.log_text() for router in environment.routers)
        environment.downstream_proxies[0].unblock()
        await environment.publish_change()
        await environment.wait_until_propagated(first, second)

    run_scenario(scenario)


def test_an_older_state_does_not_undo_a_drain(run_scenario: ScenarioRunner) -> None:
    """Routers that switch to a relay which has not received a drain keep the drain."""

    async def scenario(environment: RelayEnvironment) -> None:
        await environment.start_all()
        first, second = environment.relays
        environment.upstream_proxies[1].block()
        environment.downstream_proxies[1].block()  # so that routers cannot probe the age of its state
        await environment.drain_first_edge()
        await environment.publish_change()
        await environment.wait_until_listed(environment.routers)
        first.kill()
        environment.downstream_proxies[1].unblock()
        await environment.wait_until_polled_by_all(second)
        await environment.check_drained_edge_unused()
        await environment.wait_until_listed(environment.routers)
        environment.upstream_proxies[1].unblock()
        await environment.publish_change()
        await environment.wait_until_propagated(second)
        await environment.check_drained_edge_unused()

    run_scenario(scenario)


def test_a_relay_that_starts_while_discovery_is_down_asks_its_sibling(run_scenario: ScenarioRunner) -> None:
    """The relay gets its state from the sibling, and its routers keep a drain.

    Without a sibling it has no state: it refuses polls, and its admin endpoint reports ``no-state``.
    """

    async def scenario(environment: RelayEnvironment) -> None:
        await environment.start_all()
        first, second = environment.relays
        await environment.drain_first_edge()
        await environment.discovery.stop()
        first.kill()
        first.start()
        await environment.wait_until_ready(first)
        status = await first.status()
        assert (status["shelfs"], status["seq"]) == ("3", "2")
        assert int(status["age_ms"]) > 0
        await environment.check_drained_edge_unused()
        first.kill()
        second.kill()
        first.start()

        async def refuses_polls() -> bool:
            status = await first.status()
            return await first.call_admin("check") == ["NAK no-state"] and "ends.refused-no-state" in status

        await environment.wait_until(refuses_polls, "a relay without state refuses polls")
        await environment.check_drained_edge_unused()
        await environment.discovery.start()
        second.start()
        await environment.publish_change()
        await environment.wait_until_propagated(first, second)
        await environment.check_drained_edge_unused()

    run_scenario(scenario)


def test_all_relays_restart_at_once(run_scenario: ScenarioRunner) -> None:
    async def scenario(environment: RelayEnvironment) -> None:
        await environment.start_all()
        await environment.drain_first_edge()
        for relay in environment.relays:
            relay.kill()
        await environment.publish_change()
        await environment.check_drained_edge_unused()
        for relay in environment.relays:
            relay.start()
        await environment.wait_until_propagated(*environment.relays)
        await environment.check_drained_edge_unused()

    run_scenario(scenario)


def test_routers_restart_while_discovery_is_down(run_scenario: ScenarioRunner) -> None:
    """Routers accept the relays' state although discovery was down until that counted as lagging."""

    async def scenario(environment: RelayEnvironment) -> None:
        await environment.start_all()
        await environment.drain_first_edge()
        await environment.discovery.stop()

        async def state_is_old() -> bool:
            ages = [int((await relay.status())["age_ms"]) for relay in environment.relays]
            return min(ages) > 2500

        await environment.wait_until(state_is_old, "both relays report a state older than 2.5 s")
        for router in environment.routers:
            router.kill()
            router.start()
        await environment.wait_until_listed(environment.routers)
        await environment.check_drained_edge_unused()
        await environment.discovery.start()
        await environment.publish_change()
        await environment.wait_until_propagated(*environment.relays)

    run_scenario(scenario)


def test_discovery_restarts_its_numbering(run_scenario: ScenarioRunner) -> None:
    async def scenario(environment: RelayEnvironment) -> None:
        await environment.start_all()
        for _ in range(3):
            await environment.publish_change()
        await environment.wait_until_propagated(*environment.relays)
        hosts = [server.host_entry() for server in (*environment.edges, environment.origin)]
        await environment.discovery.restart_numbering(hosts)
        environment.listed_servers = 3
        await environment.wait_until_listed(environment.routers)
        await environment.publish_change()
        await environment.wait_until_propagated(*environment.relays)

    run_scenario(scenario)
