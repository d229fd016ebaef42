"""Routers and relays that lag, and many routers that reconnect at once, with real processes."""

from __future__ import annotations

import asyncio
import signal

import pytest
from control_harness.poller import Poller
from control_harness.relay_environment import RelayEnvironment, ScenarioRunner

CHANGES = 1_100  # list changes: more than a relay's log retains
POLLERS = 100
FIRST_OBJECT = 1_000
BURST_PURGES = 1_500  # purges issued at once: more than 64 KB of events
HOUR_PURGES = 20_000  # purges of one hour: fewer than in production, and more than a relay retains
TRUNCATED_BYTES = 40_010  # bytes of the burst's answer that are sent: the cut is within an event


def test_a_router_is_paused_for_longer_than_the_log(run_scenario: ScenarioRunner) -> None:
    """The router receives the complete state, with the drain that it missed, and acknowledges it."""

    async def scenario(environment: RelayEnvironment) -> None:
        await environment.start_all(hold_ms=1000)
        paused, other = environment.routers
        paused.send_signal(signal.SIGSTOP)
        environment.routers = [other]
        await environment.drain_first_edge()
        # An event that the log has dropped by the time the paused router continues.
        await environment.publish_change()
        entry = environment.origin.host_entry("leaving") | {"host": "more", "class": "box"}
        for share in range(CHANGES):
            await environment.discovery.publish_hosts([entry | {"share": share}])
        environment.listed_servers += 1
        await environment.publish_change()
        await environment.wait_until_listed([other])
        paused.send_signal(signal.SIGCONT)
        environment.routers = [paused, other]
        await environment.publish_change()
        await environment.wait_until_propagated(*environment.relays)
        await environment.check_drained_edge_unused()

    run_scenario(scenario)


def test_a_relay_lags_by_an_hour(run_scenario: ScenarioRunner) -> None:
    """Purges older than the retention are not passed on.

    Otherwise there would be too many to send one by one, and entire groups or all objects would be purged.
    """

    async def scenario(environment: RelayEnvironment) -> None:
        await environment.start_all()
        for proxy in environment.upstream_proxies:
            proxy.block()
        ages_ms = [3_600_000.0 * (HOUR_PURGES - number) / HOUR_PURGES for number in range(HOUR_PURGES)]
        await environment.discovery.publish_purges(
            *range(FIRST_OBJECT, FIRST_OBJECT + HOUR_PURGES), ages_ms=ages_ms
        )
        await environment.publish_change()
        for proxy in environment.upstream_proxies:
            proxy.unblock()
        await environment.wait_until_propagated(*environment.relays)
        for relay in environment.relays:
            assert "purges_merged" not in relay.log_text()
            assert 0 < int((await relay.status())["purges"]) < HOUR_PURGES / 10

    run_scenario(scenario)


def test_many_routers_reconnect_at_once(run_scenario: ScenarioRunner) -> None:
    """All connections of a relay are reset at once.

    Each router receives each event once and in order, and discovery gets no additional polls.
    """

    async def scenario(environment: RelayEnvironment) -> None:
        await environment.start_all()
        pollers = [
            Poller(environment.downstream_proxies[0].address, f"poller-{number}") for number in range(POLLERS)
        ]
        environment.extra_clients = POLLERS
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(poller.run()) for poller in pollers]
            await environment.publish_change()
            await environment.wait_until_propagated(*environment.relays)
            connections_before = environment.downstream_proxies[0].connection_count
            polls_before = environment.discovery.poll_count
            await environment.downstream_proxies[0].stop()
            await environment.publish_change()
            await environment.downstream_proxies[0].start()
            await environment.wait_until_propagated(*environment.relays)
            assert environment.discovery.poll_count - polls_before < POLLERS, (
                "reconnecting routers caused polls of discovery"
            )
            assert environment.downstream_proxies[0].connection_count - connections_before >= POLLERS
            for poller in pollers:
                assert poller.purged_objects == [1, 2]
                assert poller.out_of_order_count == 0
            for task in tasks:
                task.cancel()

    run_scenario(scenario)


@pytest.mark.parametrize("of_relay", [True, False], ids=["of a relay", "of discovery"])
def test_an_answer_is_truncated_within_an_event(of_relay: bool, run_scenario: ScenarioRunner) -> None:
    """The complete events are accepted and the rest is polled again, so that no event is skipped.

    The answer of discovery is large enough to be decoded in pieces.
    """

    async def scenario(environment: RelayEnvironment) -> None:
        await environment.start_all(hold_ms=60_000)
        proxies = environment.downstream_proxies if of_relay else environment.upstream_proxies
        for proxy in proxies:
            proxy.truncate_events_bytes = TRUNCATED_BYTES
        await environment.discovery.publish_purges(*range(FIRST_OBJECT, FIRST_OBJECT + BURST_PURGES))
        await environment.publish_change()
        await environment.wait_until_propagated(*environment.relays)
        assert any(proxy.truncate_events_bytes is None for proxy in proxies)
        for relay in environment.relays:
            assert int((await relay.status())["purges"]) == BURST_PURGES + 1
        await environment.drain_first_edge()
        await environment.check_drained_edge_unused()

    run_scenario(scenario)
