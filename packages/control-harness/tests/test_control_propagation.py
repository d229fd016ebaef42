"""Propagation of purges as the admin endpoints report it, and a relay's shutdown, with real processes."""

from __future__ import annotations

import asyncio
import signal

from control_harness.relay_environment import RelayEnvironment, ScenarioRunner


def test_the_root_relay_reports_routers_that_have_not_confirmed(run_scenario: ScenarioRunner) -> None:
    """The root relay reports a downstream relay's paused router until that continues and confirms."""

    async def scenario(environment: RelayEnvironment) -> None:
        await environment.start_all(with_root=True)
        await environment.publish_change()
        await environment.wait_until_propagated(*environment.relays)
        paused = environment.routers[1]
        paused.send_signal(signal.SIGSTOP)
        await environment.publish_change()

        async def reported() -> bool:
            return (await environment.last_purge_line(environment.root_relay)).endswith(
                f" waits 1 {paused.name}"
            )

        await environment.wait_until(reported, f"the root relay reports {paused.name} as unconfirmed")
        text = "\n".join(await environment.root_relay.call_admin("relay"))
        assert f" 1 {paused.name}" in text, text
        assert "behind relay-" in text, text
        paused.send_signal(signal.SIGCONT)

        async def propagated() -> bool:
            return " done " in await environment.last_purge_line(environment.root_relay)

        await environment.wait_until(propagated, "the root relay reports the purge as propagated")
        await environment.wait_until_propagated(*environment.relays)

    run_scenario(scenario)


def test_a_router_out_of_service_is_dismissed(run_scenario: ScenarioRunner) -> None:
    """A relay waits for a killed router until an operator dismisses it."""

    async def scenario(environment: RelayEnvironment) -> None:
        await environment.start_all()
        first, second = environment.relays
        killed = environment.routers.pop()
        killed.kill()
        await environment.publish_change()

        async def reported() -> bool:
            return (await environment.last_purge_line(first)).endswith(f" waits 1 {killed.name}")

        await environment.wait_until(reported, f"the relay waits for {killed.name}")
        assert await first.call_admin(f"dismiss {killed.name}") == ["ACK"]
        assert await first.call_admin("dismiss two words") == ["NAK not a name"]
        await environment.wait_until_propagated(first, second)

    run_scenario(scenario)


def test_a_router_without_control_settings_polls_a_relay(run_scenario: ScenarioRunner) -> None:
    async def scenario(environment: RelayEnvironment) -> None:
        await environment.start_all()
        plain = environment.add_router("plain")
        plain.configure_without_relays(environment.downstream_proxies[0].address)
        plain.start()
        environment.routers.append(plain)
        await environment.publish_change()
        await environment.wait_until_propagated(*environment.relays)
        await environment.drain_first_edge()
        await environment.downstream_proxies[0].stop()
        await environment.downstream_proxies[0].start()
        await environment.publish_change()
        await environment.wait_until_propagated(*environment.relays)
        await environment.check_drained_edge_unused()

    run_scenario(scenario)


def test_a_relay_shuts_down_gracefully(run_scenario: ScenarioRunner) -> None:
    """The relay answers pending polls and exits with 0; its routers poll the other relay.

    After a restart the relay does not wait for routers that poll the other one.
    """

    async def scenario(environment: RelayEnvironment) -> None:
        await environment.start_all()
        first, second = environment.relays
        head = (await first.status())["head"]
        host, _, port = first.listen_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"GET /cmd/next?resume={head}&block=5000 HTTP/1.1\r\nHost: x\r\n\r\n".encode())

        async def three_polls_held() -> bool:
            return (await first.status())["waiting"] == "3"

        await environment.wait_until(three_polls_held, "three polls are held")
        first.send_signal(signal.SIGTERM)
        reply = (await reader.read(-1)).decode()
        assert reply.startswith("HTTP/1.1 200 ")
        assert "Connection: close" in reply
        assert head in reply
        await environment.wait_for_exit(first)
        assert first.exit_code == 0
        assert '"relay_stopped"' in first.log_text()
        assert '"unread_connections": 0' in first.log_text(), first.log_text()
        await environment.publish_change()
        await environment.wait_until_propagated(second)
        first.start()
        await environment.wait_until_ready(first)
        await environment.publish_change()
        await environment.wait_until_propagated(first, second)

    run_scenario(scenario)
