"""Steps of the wall clock must not affect a relay or the membership of a fleet."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from functools import partial
from pathlib import Path

import pytest
from control_harness.environment import Environment
from control_harness.participants import RelayParticipant, RouterParticipant, free_addresses
from control_harness.poller import Poller

from tests.program.clock_environment import (
    READY_TIMEOUT_S,
    STEPS_S,
    TOLERANCE_S,
    RecordingCacheServer,
    SteppedClock,
    assert_duration,
    run_scenario,
    wait_for_exit,
    wait_for_reply,
)
from thornjunction.net.discovery.multi_source_watch import BLOCK_MS
from thornjunction.runtime.relay import FLUSH_TIMEOUT_MS

# Block time of a poll, for which the relay holds it.
BLOCK_S = 0.4

# Time within which the relay forwards the first purge.
FIRST_PURGE_TIMEOUT_S = 10.0

PURGES = 3

# Seconds between the probes of a member.
PROBE_INTERVAL_S = 0.2

TIMINGS = {"probe_every_ms": PROBE_INTERVAL_S * 1000, "probe_timeout_ms": 80, "rejoin_ms": 1000}

SECRET = b"s" * 32


async def step_during_a_poll(relay: RelayParticipant, query: str, clock: SteppedClock, step_s: float) -> None:
    """Step the clock while the relay holds a poll; the answer must come at the end of the block time."""
    host, _, port = relay.listen_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    started_s = time.monotonic()
    target = f"/cmd/next?{query}&block={BLOCK_S * 1000:.0f}"
    writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    status = await relay.status()
    assert status["waiting"] == "1", status
    clock.step(step_s)
    assert b"200" in await asyncio.wait_for(reader.readline(), BLOCK_S + TOLERANCE_S)
    assert_duration(time.monotonic() - started_s, BLOCK_S)
    writer.close()


@pytest.mark.parametrize("step_s", STEPS_S)
def test_a_relay_is_unaffected_by_clock_steps(step_s: float, tmp_path: Path, clock: SteppedClock) -> None:
    """The relay forwards purges after a step, also repeated ones of one object, and keeps polling."""

    async def scenario(environment: Environment) -> None:
        discovery = environment.discovery
        relay = environment.add_relay("relay")
        relay.configure([discovery.address])
        await discovery.publish_hosts([RecordingCacheServer("edge").host_entry()], complete=True)
        relay.start()
        await wait_for_reply(environment, relay, "check", "ACK", READY_TIMEOUT_S)
        poller = Poller(relay.listen_address, "router")
        polling = asyncio.create_task(poller.run())
        for count in range(1, PURGES + 1):
            await discovery.publish_purges(1)
            has_purge = partial(lambda count: len(poller.purged_objects) == count, count)
            timeout_s = FIRST_PURGE_TIMEOUT_S if count == 1 else TOLERANCE_S
            await environment.wait_until(has_purge, f"the router receives purge {count}", timeout_s)
            clock.step(step_s)
        polling.cancel()
        started_s = time.monotonic()
        poll_count = discovery.poll_count
        query = f"resume={poller.cursor}&epoch={poller.epoch}"
        await step_during_a_poll(relay, query, clock, step_s)
        remaining_s = started_s + BLOCK_MS / 1000.0 + TOLERANCE_S - time.monotonic()
        await environment.wait_until(
            lambda: discovery.poll_count > poll_count, "the relay polls discovery", remaining_s
        )
        relay.send_signal(signal.SIGTERM)
        await wait_for_exit(environment, relay, FLUSH_TIMEOUT_MS / 1000.0)
        assert clock.is_seen_by(relay.pid)

    run_scenario(tmp_path, scenario)


def write_fleet_settings(member: RouterParticipant, listen: str, seed: str) -> None:
    """Write the operators' file of a member."""
    settings = {
        "listen": listen,
        "fleet": "north",
        "secret_file": "key",
        "data": "data",
        "seeds": [seed],
        "voters": ["a", "b"],
    }
    lines = [f"{key} = {json.dumps(value)}" for key, value in settings.items()]
    timings = [f"{key} = {value}" for key, value in TIMINGS.items()]
    (member.folder / "key").write_bytes(SECRET)
    text = "\n".join(["[fleet]", *lines, "[fleet.timings]", *timings, ""])
    (member.folder / "extras.toml").write_text(text)


async def sees_member(observer: RouterParticipant, other: RouterParticipant, state: str) -> bool:
    """Whether the observer lists the other member in this state."""
    lines = await observer.call_admin("fleet")
    return any(line.startswith(f"member {other.name} {state} ") for line in lines)


@pytest.mark.parametrize("step_s", STEPS_S)
def test_a_fleet_is_unaffected_by_clock_steps(step_s: float, tmp_path: Path, clock: SteppedClock) -> None:
    """A step makes no member suspect, and probes continue: a killed member is suspected in time."""

    async def scenario(environment: Environment) -> None:
        first, second = (environment.add_router(name) for name in "ab")
        first_address, second_address = free_addresses(2)
        for member in (first, second):
            member.configure_without_relays(environment.discovery.address)
        write_fleet_settings(first, first_address, second_address)
        write_fleet_settings(second, second_address, first_address)
        for member in (first, second):
            member.start()
        await environment.wait_until(partial(sees_member, first, second, "alive"), "a sees b")
        await environment.wait_until(partial(sees_member, second, first, "alive"), "b sees a")
        clock.step(step_s)
        probed_s = time.monotonic() + 2 * PROBE_INTERVAL_S
        await environment.wait_until(lambda: time.monotonic() > probed_s, "two probe intervals pass")
        assert not [member.name for member in (first, second) if '"suspect"' in member.log_text()]
        second.kill()
        await environment.wait_until(
            partial(sees_member, first, second, "suspect"),
            "a suspects b",
            2 * PROBE_INTERVAL_S + TOLERANCE_S,
        )
        assert clock.is_seen_by(first.pid)
        assert clock.is_seen_by(second.pid)

    run_scenario(tmp_path, scenario)
