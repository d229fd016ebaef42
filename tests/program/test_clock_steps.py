"""The wall clock is stepped under real programs: no timer, deadline, pause or age of theirs moves with it.

The programs' interpreter imports a ``sitecustomize`` that replaces ``time.time`` before anything of theirs;
what the clock is off by lies in a file, so one step is seen by all of a test's processes at once.  Discovery,
caches and clients keep the true time."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import time
from collections.abc import Awaitable, Callable
from contextlib import closing
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any
from unittest.mock import patch

import pytest
from control_harness.environment import Environment
from control_harness.fake_cache_server import FakeCacheServer
from control_harness.loopback_server import LoopbackServer
from control_harness.participants import Participant, RelayParticipant, RouterParticipant, free_addresses
from control_harness.poller import Poller
from fakes.config import platform_config
from fakes.raw_socket import (
    RawSocketCacheServer,
    RawSocketClient,
    bound_address,
    connect_when_listening,
    encode_request,
)
from fakes.watch_messages import edge_entry

from tests.net.discovery.builders import build_service, encode_commands
from tests.runtime.test_handover import Program, check
from thornjunction.net.discovery.multi_source_watch import BLOCK_MS
from thornjunction.net.discovery.retry_policy import MAX_RETRY_DELAY_MS, MIN_RETRY_DELAY_MS
from thornjunction.net.discovery.watch_client import RESPONSE_GRACE_MS
from thornjunction.net.discovery.watch_connection import IMMEDIATE_BLOCK_MS
from thornjunction.net.event_loop.timer_service import core_ms
from thornjunction.net.event_loop.unix_clock import UnixClock
from thornjunction.net.wire.commands import Purge, decode_commands
from thornjunction.net.wire.resp import ArrayReader, encode_array
from thornjunction.runtime.relay import FLUSH_TIMEOUT_MS
from thornjunction.runtime.service import INITIAL_LIST_TIMEOUT_MS
from thornjunction.runtime.shutdown import CHECK_INTERVAL_MS

STEPS = (-3600.0, -5.0, 5.0, 3600.0)  # seconds
SLACK_S = 0.15  # of every answer, and of whatever else is due
COLD_S, HOLD_S = 0.6, 0.6  # of a cold cache, of a purge
PROBE_S = 0.2  # between a member's probes
TIMINGS = {"probe_every_ms": PROBE_S * 1000, "probe_timeout_ms": 80, "rejoin_ms": 1000}
HELD_S = 0.4  # of a poll
COLD_TTL_S = 0.3  # of requests to a cache that may be cold
SITE = """
import os, time
true_time, path = time.time, {path!r}
class SteppedClock:  # no function: as a class's attribute that would be a method
    def __call__(self):
        with open(path) as file:
            return true_time() + float(file.read() or 0)
time.time = SteppedClock()
with open(path + ".pids", "a") as pids:
    print(os.getpid(), file=pids)
"""


class Clock:
    """The machine's wall clock, as the programs of one test see it."""

    def __init__(self, folder: Path) -> None:
        self.path, self.off_s = folder / "clock", 0.0
        self.path.write_text("0")
        (folder / "sitecustomize.py").write_text(SITE.format(path=str(self.path)))

    def step(self, by_s: float) -> None:
        self.off_s += by_s
        part = self.path.with_suffix(".part")
        part.write_text(str(self.off_s))
        part.rename(self.path)

    def is_seen_by(self, member: Participant) -> bool:
        return str(member.pid) in self.path.with_suffix(".pids").read_text().split()


@pytest.fixture
def clock(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Clock:
    folder = tmp_path / "clock-folder"
    folder.mkdir()
    monkeypatch.syspath_prepend(str(folder))
    monkeypatch.setenv("PYTHONPATH", str(folder))
    return Clock(folder)


# At the start the machine's clock is off by the first figure, then by the second; what is told really lies so
# many seconds back, and is taken as this old where all that is older than 10 s is of no matter.
TOLD = [
    (0.0, 0.0, 3.0, 3.0),
    (0.0, -3600.0, 3.0, 3.0),
    (0.0, 3600.0, 3.0, 3.0),
    (0.0, -5.0, 3.0, 3.0),
    (0.0, 5.0, 3.0, 3.0),
    (0.0, -3600.0, 50.0, 50.0),
    (0.0, 3600.0, 3000.0, 3000.0),
    (0.0, -5.0, 7.0, 2.0),  # told late, or by a discovery whose clock was stepped too: the younger of the two
    (0.0, 0.0, -0.3, 0.0),  # discovery's clock is a little ahead
    (0.0, 5.0, -0.3, 0.0),
    (-3600.0, 0.0, 3.0, 3.0),  # the clock was wrong at the start and is right by now
    (3600.0, 0.0, 3.0, 3.0),
    (-3600.0, -3600.0, 3.0, 0.0),  # it is wrong still: what is told has happened at this moment at the latest
    (3600.0, 3600.0, 3.0, 3603.0),  # wrong the other way: nothing tells that from what is told late
]


@pytest.mark.parametrize(("off_s", "later_off_s", "ago_s", "age_s"), TOLD)
def test_the_time_of_what_is_told(off_s: float, later_off_s: float, ago_s: float, age_s: float) -> None:
    true_s, off = 1.8e9, [off_s]
    unix = UnixClock(lambda: true_s * 1000.0 - 1e12, lambda: true_s + off[0])
    off[0] = later_off_s
    for _ in range(2):
        told_ms = unix.to_core((true_s - ago_s) * 1000.0, recent_ms=10_000.0)
        assert (true_s * 1000.0 - 1e12 - told_ms) / 1000.0 == pytest.approx(age_s, abs=0.001)


@pytest.mark.parametrize("what", ["purge", "start"])
def test_a_clock_that_was_wrong_at_the_start(what: str) -> None:
    """An hour ahead, it would make each purge over and each cold cache warm for good."""
    true_s, off_s, fed = time.time, [3600.0], list[Any]()
    with patch("time.time", lambda: true_s() + off_s[0]):
        service, off_s[0] = build_service(), 0.0
    settings = replace(service.config.settings, purge_propagation_ms=6000.0)
    service.config = replace(service.config, settings=settings)
    host = edge_entry("c1", born_ms=true_s() * 1000.0)
    (change,) = decode_commands(encode_commands({"cursor": 1, "nodes": {"hosts": [host]}})).events
    purge = Purge(1, 1, 0, true_s() * 1000.0)
    with patch.object(service.engine, "feed", fed.append):
        service.handle_command(purge if what == "purge" else change)
    age_ms = fed[0].age_ms if what == "purge" else core_ms() - fed[0].entries[0].started_ms
    assert 0.0 <= age_ms < 1000.0
    service.alarm.stop()


class Cache(FakeCacheServer):
    """``asked``: the fields of each want; while it hangs, it answers none."""

    def __init__(self, name: str, kind: str = "box") -> None:
        super().__init__(name, kind)
        self.hangs, self.asked = False, list[str]()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        arrays = ArrayReader()
        while data := await reader.read(65_536):
            for verb, ident, *rest in arrays.feed(data):
                if verb == b"want":
                    self.asked.append(rest[0].decode())
                    if not self.hangs:
                        writer.write(encode_array((ident, b"DONE", b"rev=1", self.name.encode())))


class SilentDiscovery(LoopbackServer):
    """Reads polls and answers none."""

    def __init__(self) -> None:
        super().__init__()
        self.polls = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while await reader.read(65_536):
            self.polls += 1


class World:
    """A router at discovery, an edge and the origin, whose clock is stepped by so much at a time."""

    def __init__(self, rig: Environment, clock: Clock, step_s: float) -> None:
        self.rig, self.clock, self.step_s = rig, clock, step_s
        self.edge, self.origin = Cache("edge"), Cache("origin", "root")
        self.router = rig.add_router("router")

    async def start(self, channel: str) -> None:
        for cache in (self.edge, self.origin):
            self.rig.cache_servers.append(cache)
            await cache.start()
        await self.rig.discovery.publish_hosts(
            [self.edge.host_entry(), self.origin.host_entry()], complete=True
        )
        self.router.configure_without_relays(channel)
        path = self.router.folder / "config.json"
        config = json.loads(path.read_text())
        settings = config["settings"]
        settings["safety"]["coldMs"] = COLD_S * 1000.0
        settings["specifics"]["purgeTakesMs"] = HOLD_S * 1000.0
        path.write_text(json.dumps(config))
        self.router.start()

    def step(self) -> None:
        assert self.clock.is_seen_by(self.router)
        self.clock.step(self.step_s)

    async def ready(self, within_s: float = 30.0) -> None:
        await until_told(self.rig, self.router, "check", "ACK", within_s)

    async def hung_request(self, ttl_s: float) -> Callable[[], Awaitable[None]]:
        """A request that has come to a cache that hangs.  What is returned waits for its answer."""
        self.edge.hangs = self.origin.hangs = True
        before, since = len(self.edge.asked), time.monotonic()
        answer = asyncio.create_task(self.router.request(ttl_ms=int(ttl_s * 1000)))
        await self.rig.wait_until(lambda: len(self.edge.asked) > before, "the edge is asked")

        async def answered_in_time() -> None:
            assert (await answer).startswith("Status: 50")
            assert_near(time.monotonic() - since, ttl_s)
            self.edge.hangs = self.origin.hangs = False

        return answered_in_time


def assert_near(took_s: float, due_s: float) -> None:
    assert due_s - SLACK_S <= took_s <= due_s + SLACK_S, f"{took_s:.3f} s in place of {due_s:.3f} s"


async def until_told(rig: Environment, member: Participant, call: str, line: str, within_s: float) -> None:
    async def holds() -> bool:
        return line in await member.call_admin(call)

    await rig.wait_until(holds, f"{member.name} tells {line}", within_s)


async def exits(rig: Environment, member: Participant, within_s: float) -> None:
    await rig.wait_until(lambda: member.exit_code is not None, f"{member.name} exits", within_s + SLACK_S)
    assert member.exit_code == 0


async def before_the_first_answer(world: World) -> None:
    """Discovery never answers: the router serves what it knows after 0.5 s, and polls again after 0.8 s."""
    silent = SilentDiscovery()
    await silent.start()
    try:
        await world.start(silent.address)
        await world.rig.wait_until(lambda: silent.polls == 1, "the first poll")
        since = time.monotonic()
        world.step()
        await world.ready(INITIAL_LIST_TIMEOUT_MS / 1000.0 + SLACK_S)
        most_s = (IMMEDIATE_BLOCK_MS + RESPONSE_GRACE_MS + MIN_RETRY_DELAY_MS) / 1000.0
        left_s = since + most_s + SLACK_S - time.monotonic()
        await world.rig.wait_until(lambda: silent.polls == 2, "the next poll", left_s)
    finally:
        await silent.stop()


async def under_an_open_request(world: World) -> None:
    answered_in_time = await world.hung_request(0.5)
    world.step()
    await answered_in_time()


async def in_a_cold_window(world: World) -> None:
    """A cache that has just started gets little, and all once it is warm."""
    born_s, fresh, ttl_ms = time.time(), Cache("fresh"), int(COLD_TTL_S * 1000)
    world.rig.cache_servers.append(fresh)
    await fresh.start()
    world.step()
    born = {"born_ms": born_s * 1000.0}
    await world.rig.discovery.publish_hosts([world.edge.host_entry("left"), fresh.host_entry() | born])

    async def is_listed() -> bool:
        return await world.router.request(1, ttl_ms=ttl_ms) != "edge"

    async def all_served() -> bool:
        asking = (world.router.request(name, ttl_ms=ttl_ms) for name in range(20))
        return set(await asyncio.gather(*asking)) == {"fresh"}

    await world.rig.wait_until(is_listed, "the fresh cache is known")
    assert not await all_served()
    world.step()
    left_s = born_s + COLD_S - time.time()
    await world.rig.wait_until(
        all_served, "all is served by a cache that is warm", left_s + COLD_TTL_S + SLACK_S
    )
    world.edge = fresh


async def in_a_purges_hold(world: World) -> None:
    """A copy's age is bounded from the moment when the purge is heard until its hold is over."""
    world.step()
    since = time.monotonic()
    await world.rig.discovery.publish_purges(1)

    async def is_bounded() -> bool:
        await world.router.request(1)
        return "cap=" in world.edge.asked[-1]

    async def is_over() -> bool:
        return not await is_bounded()

    await world.rig.wait_until(is_bounded, "the purge is in force", HOLD_S / 2)
    world.step()
    await world.rig.wait_until(is_over, "the purge's hold is over")
    assert_near(time.monotonic() - since, HOLD_S)


async def in_a_backoff_of_the_dial(world: World) -> None:
    discovery, failed = world.rig.discovery, "dial-failed"
    await discovery.stop()
    await world.rig.wait_until(lambda: failed in world.router.log_text(), "a dial fails")
    world.step()
    polls = discovery.poll_count
    await discovery.start()
    await world.rig.wait_until(
        lambda: discovery.poll_count > polls, "a poll", MAX_RETRY_DELAY_MS / 1000.0 + SLACK_S
    )


async def in_a_drain(world: World) -> None:
    answered_in_time = await world.hung_request(0.9)
    world.router.send_signal(signal.SIGTERM)
    await world.rig.wait_until(lambda: '"shutdown_started"' in world.router.log_text(), "the drain")
    world.step()
    await answered_in_time()
    await exits(world.rig, world.router, 2 * CHECK_INTERVAL_MS / 1000.0)


LIFE = under_an_open_request, in_a_cold_window, in_a_purges_hold, in_a_backoff_of_the_dial, in_a_drain


@pytest.mark.parametrize("step_s", STEPS)
@pytest.mark.parametrize("life", [(before_the_first_answer,), LIFE], ids=["start", "life"])
def test_a_router(
    life: tuple[Callable[[World], Awaitable[None]], ...], step_s: float, tmp_path: Path, clock: Clock
) -> None:
    async def scene(rig: Environment) -> None:
        world = World(rig, clock, step_s)
        if life is LIFE:
            await world.start(rig.discovery.address)
            await world.ready()
        for instant in life:
            await instant(world)

    play(tmp_path, scene)


def play(folder: Path, scene: Callable[[Environment], Awaitable[None]]) -> None:
    async def whole() -> None:
        async with asyncio.timeout(60.0), Environment(folder) as rig:
            await scene(rig)

    asyncio.run(whole())


def is_open(door: str) -> bool:
    host, _, port = door.rpartition(":")
    with socket.socket() as caller:
        return caller.connect_ex((host, int(port))) == 0


@pytest.mark.parametrize("step_s", STEPS)
def test_a_handover(step_s: float, tmp_path: Path, clock: Clock) -> None:
    """The old process answers what is open in its time and ends; the new one serves."""
    server = lambda: socket.create_server(("127.0.0.1", 0))  # noqa: E731
    with server() as shared, server() as channel, closing(RawSocketCacheServer()) as shelf:
        config = platform_config(
            bound_address(shared),
            bound_address(channel),
            bound_address(shelf.listening),
            client_timeout_ms=600.0,
        )
        programs = [Program(tmp_path, shared, config)]
        try:
            client = RawSocketClient(shared.getsockname()[1])
            programs.append(Program(tmp_path, shared, config))
            old, new = (program.process for program in programs)
            client.send(encode_request(1, "clips", ttl_ms=400))
            shelf.wait_for_request()
            since = time.monotonic()
            old.send_signal(signal.SIGTERM)
            while is_open(programs[0].door):  # it is closed with the front
                pass
            clock.step(step_s)
            assert client.wait_for_end() == ("fin", 1)
            assert_near(time.monotonic() - since, 0.4)
            client.close()
            assert old.wait(2 * CHECK_INTERVAL_MS / 1000.0 + SLACK_S) == 0
            with connect_when_listening(bound_address(shared)) as another:
                assert check(another) == b"Status: 200\r\n\r\n"
            assert new.poll() is None and clock.is_seen_by(old) and clock.is_seen_by(new)
        finally:
            for program in programs:
                program.process.kill()
                program.process.wait()


async def held_poll(relay: RelayParticipant, query: str, clock: Clock, step_s: float) -> None:
    """The clock is stepped while the relay holds a poll, whose answer comes in its time."""
    host, _, port = relay.listen_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    since = time.monotonic()
    writer.write(f"GET /cmd/next?{query}&block={HELD_S * 1000:.0f} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    before = await relay.status()
    assert before["waiting"] == "1", before
    clock.step(step_s)
    assert b"200" in await asyncio.wait_for(reader.readline(), HELD_S + SLACK_S)
    assert_near(time.monotonic() - since, HELD_S)
    writer.close()


@pytest.mark.parametrize("step_s", STEPS)
def test_a_relay(step_s: float, tmp_path: Path, clock: Clock) -> None:
    """Purges that are issued after a step are passed on, also of the same object again; polls go on."""

    async def scene(rig: Environment) -> None:
        relay, discovery = rig.add_relay("relay"), rig.discovery
        relay.configure([discovery.address])
        await discovery.publish_hosts([Cache("edge").host_entry()], complete=True)
        relay.start()
        await until_told(rig, relay, "check", "ACK", 30.0)
        poller = Poller(relay.listen_address, "router")
        polling = asyncio.create_task(poller.run())
        for count in range(1, 4):
            await discovery.publish_purges(1)
            told = partial(lambda count: len(poller.purged_objects) == count, count)
            await rig.wait_until(told, f"purge {count}", 10.0 if count == 1 else SLACK_S)
            clock.step(step_s)
        polling.cancel()
        before, polls = time.monotonic(), discovery.poll_count
        await held_poll(relay, f"resume={poller.cursor}&epoch={poller.epoch}", clock, step_s)
        left_s = before + BLOCK_MS / 1000.0 + SLACK_S - time.monotonic()
        await rig.wait_until(lambda: discovery.poll_count > polls, "a poll", left_s)
        relay.send_signal(signal.SIGTERM)
        await exits(rig, relay, FLUSH_TIMEOUT_MS / 1000.0)
        assert clock.is_seen_by(relay)

    play(tmp_path, scene)


def settle_member(member: RouterParticipant, own: str, other: str) -> None:
    """Write its operators' file."""
    told = {"listen": own, "fleet": "north", "secret_file": "key", "data": "data"}
    told |= {"seeds": [other], "voters": ["a", "b"]}  # type: ignore[dict-item]
    lines = [f"{key} = {json.dumps(value)}" for key, value in told.items()]
    timings = [f"{key} = {value}" for key, value in TIMINGS.items()]
    (member.folder / "key").write_bytes(b"s" * 32)
    text = "\n".join(["[fleet]", *lines, "[fleet.timings]", *timings, ""])
    (member.folder / "extras.toml").write_text(text)


async def sees(member: RouterParticipant, other: RouterParticipant, state: str) -> bool:
    return any(line.startswith(f"member {other.name} {state} ") for line in await member.call_admin("fleet"))


@pytest.mark.parametrize("step_s", STEPS)
def test_a_fleet(step_s: float, tmp_path: Path, clock: Clock) -> None:
    """Nobody is suspected for a step, and probes go on: a member that dies is suspected in its time."""

    async def scene(rig: Environment) -> None:
        first, second = (rig.add_router(name) for name in "ab")
        ports = free_addresses(2)
        for member, (own, other) in ((first, ports), (second, ports[::-1])):
            member.configure_without_relays(rig.discovery.address)
            settle_member(member, own, other)
            member.start()
        await rig.wait_until(partial(sees, first, second, "alive"), "a sees b")
        await rig.wait_until(partial(sees, second, first, "alive"), "b sees a")
        clock.step(step_s)
        end = time.monotonic() + 2 * PROBE_S
        await rig.wait_until(lambda: time.monotonic() > end, "some probes")
        assert not [member.log_text() for member in (first, second) if '"suspect"' in member.log_text()]
        second.kill()
        await rig.wait_until(partial(sees, first, second, "suspect"), "a suspects b", 2 * PROBE_S + SLACK_S)
        assert clock.is_seen_by(first) and clock.is_seen_by(second)

    play(tmp_path, scene)
