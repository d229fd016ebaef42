"""An environment of processes whose wall clock is stepped while they run.

Their interpreters import a ``sitecustomize`` that replaces ``time.time`` before any other import.  The offset
of the clock is in a file, so that all processes of a test see a step at once.  Discovery, cache servers and
clients run in the test process and keep the true time.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from control_harness.environment import Environment
from control_harness.fake_cache_server import FakeCacheServer
from control_harness.loopback_server import LoopbackServer
from control_harness.participants import Participant
from fakes.cache_server_messages import DONE, CommandReader, encode_server_answer

# Seconds by which the clock is stepped.
STEPS_S = (-3600.0, -5.0, 5.0, 3600.0)

# Seconds by which an answer, or another event with an expected time, may be early or late.
TOLERANCE_S = 0.15

# Durations of a cache's slow start and of a purge's propagation.
SLOW_START_S = 0.6
PURGE_PROPAGATION_S = 0.6

# Time limit of a test.
TEST_TIMEOUT_S = 60.0

# Time within which a process becomes ready.
READY_TIMEOUT_S = 30.0

READ_BYTES = 65_536

# The clock is a callable object, since a function would become a method as the attribute of a class.
SITE_CUSTOMIZE = """
import os, time
true_time, path = time.time, {path!r}
class SteppedClock:
    def __call__(self):
        with open(path) as file:
            return true_time() + float(file.read() or 0)
time.time = SteppedClock()
with open(path + ".pids", "a") as pids:
    print(os.getpid(), file=pids)
"""


class SteppedClock:
    """The wall clock of the processes that one test starts."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "clock"
        self._offset_s = 0.0
        self._path.write_text("0")
        (folder / "sitecustomize.py").write_text(SITE_CUSTOMIZE.format(path=str(self._path)))

    def step(self, offset_s: float) -> None:
        """Step the clock for all processes at once."""
        self._offset_s += offset_s
        new_file = self._path.with_suffix(".part")
        new_file.write_text(str(self._offset_s))
        new_file.rename(self._path)

    def is_seen_by(self, pid: int) -> bool:
        """Whether a process uses this clock."""
        return str(pid) in self._path.with_suffix(".pids").read_text().split()


class RecordingCacheServer(FakeCacheServer):
    """A cache server that records the description of each request, and answers none while it ``hangs``."""

    def __init__(self, name: str, kind: str = "box") -> None:
        super().__init__(name, kind)
        self.hangs = False
        self.descriptions: list[str] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection."""
        commands = CommandReader()
        while data := await reader.read(READ_BYTES):
            for command in commands.feed(data):
                if not command.is_request:
                    continue
                self.descriptions.append(command.arguments[0].decode())
                if not self.hangs:
                    answer = encode_server_answer(command.request_id, DONE, b"rev=1", self.name.encode())
                    writer.write(answer)


class SilentDiscovery(LoopbackServer):
    """A discovery that reads polls and answers none."""

    def __init__(self) -> None:
        super().__init__()
        self.poll_count = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Count the polls of one connection."""
        while await reader.read(READ_BYTES):
            self.poll_count += 1


class SteppedRouter:
    """A router with a discovery, an edge and the origin; ``step`` steps its clock by ``step_s`` each time."""

    def __init__(self, environment: Environment, clock: SteppedClock, step_s: float) -> None:
        self.environment = environment
        self.clock = clock
        self.step_s = step_s
        self.edge = RecordingCacheServer("edge")
        self.origin = RecordingCacheServer("origin", "root")
        self.router = environment.add_router("router")

    async def start(self, channel: str) -> None:
        """Start the cache servers, publish them, and start the router, which polls ``channel``."""
        servers = (self.edge, self.origin)
        for server in servers:
            self.environment.cache_servers.append(server)
            await server.start()
        hosts = [server.host_entry() for server in servers]
        await self.environment.discovery.publish_hosts(hosts, complete=True)
        self.router.configure_without_relays(channel)
        self._shorten_intervals()
        self.router.start()

    def _shorten_intervals(self) -> None:
        path = self.router.folder / "config.json"
        config = json.loads(path.read_text())
        config["settings"]["safety"]["coldMs"] = SLOW_START_S * 1000.0
        config["settings"]["specifics"]["purgeTakesMs"] = PURGE_PROPAGATION_S * 1000.0
        path.write_text(json.dumps(config))

    def step(self) -> None:
        """Step the router's clock by ``step_s``."""
        assert self.clock.is_seen_by(self.router.pid)
        self.clock.step(self.step_s)

    async def wait_until_ready(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until the router is ready."""
        await wait_for_reply(self.environment, self.router, "check", "ACK", timeout_s)

    async def start_hanging_request(self, ttl_s: float) -> Callable[[], Awaitable[None]]:
        """Send a request to caches that hang; return a function that awaits and checks the answer."""
        self.edge.hangs = True
        self.origin.hangs = True
        request_count = len(self.edge.descriptions)
        started_s = time.monotonic()
        answer = asyncio.create_task(self.router.request(ttl_ms=int(ttl_s * 1000)))
        await self.environment.wait_until(
            lambda: len(self.edge.descriptions) > request_count, "the edge receives the request"
        )

        async def check_answer() -> None:
            assert (await answer).startswith("Status: 50")
            assert_duration(time.monotonic() - started_s, ttl_s)
            self.edge.hangs = False
            self.origin.hangs = False

        return check_answer


def assert_duration(elapsed_s: float, expected_s: float) -> None:
    """Assert that a duration equals the expected one within the tolerance."""
    message = f"took {elapsed_s:.3f} s instead of {expected_s:.3f} s"
    assert expected_s - TOLERANCE_S <= elapsed_s <= expected_s + TOLERANCE_S, message


async def wait_for_reply(
    environment: Environment, participant: Participant, call: str, line: str, timeout_s: float
) -> None:
    """Wait until the admin endpoint's reply to a call contains this line."""

    async def has_line() -> bool:
        return line in await participant.call_admin(call)

    await environment.wait_until(has_line, f"{participant.name} replies {line}", timeout_s)


async def wait_for_exit(environment: Environment, participant: Participant, timeout_s: float) -> None:
    """Wait until a process has exited, and assert that its exit code is 0."""
    await environment.wait_until(
        lambda: participant.exit_code is not None, f"{participant.name} exits", timeout_s + TOLERANCE_S
    )
    assert participant.exit_code == 0


def run_scenario(folder: Path, scenario: Callable[[Environment], Awaitable[None]]) -> None:
    """Run a scenario in a new environment, whose processes are ended afterwards."""

    async def run() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S), Environment(folder) as environment:
            await scenario(environment)

    asyncio.run(run())
