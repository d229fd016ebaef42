"""Runs a router process with a fake discovery, fake cache servers and client connections."""

from __future__ import annotations

import asyncio
import subprocess
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from control_harness.fake_discovery import FakeDiscovery
from control_harness.participants import free_addresses

from benchmark_tools.front_connection import connect_all
from benchmark_tools.loaded_router import LoadedRouter
from benchmark_tools.router_program import kill_all, start_helper, start_program, write_config

SERVER_SCRIPT = Path(__file__).with_name("sized_cache_server.py")
CONNECTIONS = 16

BuildConfig = Callable[[str, str], dict[str, Any]]
"""Builds the router's configuration from the addresses of its front and of discovery."""


class CacheServerProcess:
    """The process that runs all fake cache servers, which share one address."""

    def __init__(self, delay_ms: float) -> None:
        self.process = start_helper(SERVER_SCRIPT, f"{delay_ms}")

    async def _read_number(self) -> int:
        output = self.process.stdout
        assert output is not None
        return int(await asyncio.get_running_loop().run_in_executor(None, output.readline))

    async def address(self) -> str:
        """Return the address once the process listens; has to be called once, before the other methods."""
        return f"127.0.0.1:{await self._read_number()}"

    async def accepted_connections(self) -> int:
        """Return how many connections the servers have accepted."""
        commands = self.process.stdin
        assert commands is not None
        commands.write(b"\n")
        commands.flush()
        return await self._read_number()


@dataclass(frozen=True, slots=True)
class RouterEnvironment:
    """The router under load and its fake cache servers."""

    router: LoadedRouter
    cache_servers: CacheServerProcess


@asynccontextmanager
async def start_environment(
    folder: Path,
    discovery: FakeDiscovery,
    cache_servers: CacheServerProcess,
    build_config: BuildConfig,
) -> AsyncIterator[RouterEnvironment]:
    """Start discovery, a router and its clients; stop them and the cache servers afterwards."""
    running: list[subprocess.Popen[bytes]] = [cache_servers.process]
    await discovery.start()
    try:
        (front,) = free_addresses(1)
        config = write_config(folder, build_config(front, discovery.address))
        process = start_program(config, log=folder / "router.log")
        running.append(process)
        connections = await connect_all(front, CONNECTIONS)
        yield RouterEnvironment(LoadedRouter(process, connections), cache_servers)
    finally:
        kill_all(running)
        await discovery.stop()
