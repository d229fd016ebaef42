"""Steps of the wall clock must not change a router's timers, deadlines, backoffs and ages."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from control_harness.environment import Environment

from tests.program.clock_environment import (
    PURGE_PROPAGATION_S,
    SLOW_START_S,
    STEPS_S,
    TOLERANCE_S,
    RecordingCacheServer,
    SilentDiscovery,
    SteppedClock,
    SteppedRouter,
    assert_duration,
    run_scenario,
    wait_for_exit,
)
from thornjunction.net.discovery.retry_policy import MAX_RETRY_DELAY_MS, MIN_RETRY_DELAY_MS
from thornjunction.net.discovery.watch_client import RESPONSE_GRACE_MS
from thornjunction.net.discovery.watch_connection import IMMEDIATE_BLOCK_MS
from thornjunction.runtime.service import INITIAL_LIST_TIMEOUT_MS
from thornjunction.runtime.shutdown import CHECK_INTERVAL_MS

# Time to live of a request to a cache in slow start, in seconds.
SLOW_START_TTL_S = 0.3

# A cause and an event in the log after which the clock is stepped.
CONNECT_FAILURE_CAUSE = "dial-failed"
DRAINING_EVENT = '"shutdown_started"'

# Requests sent to find out whether one cache serves all of them.
REQUEST_COUNT = 20


async def step_before_the_first_answer(stepped: SteppedRouter) -> None:
    """If discovery never answers, the router gets ready with its known list and polls again in time."""
    silent_discovery = SilentDiscovery()
    await silent_discovery.start()
    try:
        await stepped.start(silent_discovery.address)
        await stepped.environment.wait_until(lambda: silent_discovery.poll_count == 1, "the first poll")
        polled_s = time.monotonic()
        stepped.step()
        await stepped.wait_until_ready(INITIAL_LIST_TIMEOUT_MS / 1000.0 + TOLERANCE_S)
        max_wait_s = (IMMEDIATE_BLOCK_MS + RESPONSE_GRACE_MS + MIN_RETRY_DELAY_MS) / 1000.0
        remaining_s = polled_s + max_wait_s + TOLERANCE_S - time.monotonic()
        await stepped.environment.wait_until(
            lambda: silent_discovery.poll_count == 2, "the next poll", remaining_s
        )
    finally:
        await silent_discovery.stop()


async def step_during_a_request(stepped: SteppedRouter) -> None:
    """A request is answered at its deadline."""
    check_answer = await stepped.start_hanging_request(0.5)
    stepped.step()
    await check_answer()


async def step_during_slow_start(stepped: SteppedRouter) -> None:
    """A new cache serves part of the requests during its slow start, and all of them once it is warm."""
    ttl_ms = int(SLOW_START_TTL_S * 1000)
    new_cache = RecordingCacheServer("new")
    started_unix_s = time.time()
    stepped.environment.cache_servers.append(new_cache)
    await new_cache.start()
    stepped.step()
    entry = new_cache.host_entry() | {"born_ms": started_unix_s * 1000.0}
    await stepped.environment.discovery.publish_hosts([stepped.edge.host_entry("left"), entry])

    async def is_listed() -> bool:
        return await stepped.router.request(1, ttl_ms=ttl_ms) != "edge"

    async def serves_everything() -> bool:
        requests = (stepped.router.request(number, ttl_ms=ttl_ms) for number in range(REQUEST_COUNT))
        return set(await asyncio.gather(*requests)) == {"new"}

    await stepped.environment.wait_until(is_listed, "the new cache is listed")
    assert not await serves_everything()
    stepped.step()
    remaining_s = started_unix_s + SLOW_START_S - time.time()
    timeout_s = remaining_s + SLOW_START_TTL_S + TOLERANCE_S
    await stepped.environment.wait_until(serves_everything, "the warm cache serves everything", timeout_s)
    stepped.edge = new_cache


async def step_during_a_purge(stepped: SteppedRouter) -> None:
    """Requests bound the age of copies from the arrival of a purge until the end of its propagation time."""
    stepped.step()
    purged_s = time.monotonic()
    await stepped.environment.discovery.publish_purges(1)

    async def is_bounded() -> bool:
        await stepped.router.request(1)
        return "cap=" in stepped.edge.descriptions[-1]

    async def is_over() -> bool:
        return not await is_bounded()

    await stepped.environment.wait_until(is_bounded, "the age of copies is bounded", PURGE_PROPAGATION_S / 2)
    stepped.step()
    await stepped.environment.wait_until(is_over, "the age of copies is no longer bounded")
    assert_duration(time.monotonic() - purged_s, PURGE_PROPAGATION_S)


async def step_during_connect_backoff(stepped: SteppedRouter) -> None:
    """The router polls discovery again at the end of its backoff at the latest."""
    discovery = stepped.environment.discovery
    await discovery.stop()
    await stepped.environment.wait_until(
        lambda: CONNECT_FAILURE_CAUSE in stepped.router.log_text(), "a connect fails"
    )
    stepped.step()
    poll_count = discovery.poll_count
    await discovery.start()
    timeout_s = MAX_RETRY_DELAY_MS / 1000.0 + TOLERANCE_S
    await stepped.environment.wait_until(
        lambda: discovery.poll_count > poll_count, "the router polls discovery", timeout_s
    )


async def step_during_draining(stepped: SteppedRouter) -> None:
    """A draining router answers its open request at the deadline, and exits."""
    check_answer = await stepped.start_hanging_request(0.9)
    stepped.router.send_signal(signal.SIGTERM)
    await stepped.environment.wait_until(
        lambda: DRAINING_EVENT in stepped.router.log_text(), "the router drains"
    )
    stepped.step()
    await check_answer()
    await wait_for_exit(stepped.environment, stepped.router, 2 * CHECK_INTERVAL_MS / 1000.0)


# Clock steps during the run of one router, in order.
WHILE_RUNNING = (
    step_during_a_request,
    step_during_slow_start,
    step_during_a_purge,
    step_during_connect_backoff,
    step_during_draining,
)


@pytest.mark.parametrize("step_s", STEPS_S)
@pytest.mark.parametrize(
    "situations", [(step_before_the_first_answer,), WHILE_RUNNING], ids=["start", "running"]
)
def test_a_router_is_unaffected_by_clock_steps(
    situations: tuple[Callable[[SteppedRouter], Awaitable[None]], ...],
    step_s: float,
    tmp_path: Path,
    clock: SteppedClock,
) -> None:
    async def scenario(environment: Environment) -> None:
        stepped = SteppedRouter(environment, clock, step_s)
        if situations is WHILE_RUNNING:
            await stepped.start(environment.discovery.address)
            await stepped.wait_until_ready()
        for step_in_situation in situations:
            await step_in_situation(stepped)

    run_scenario(tmp_path, scenario)
