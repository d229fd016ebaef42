"""The environment of a test: its processes, fake servers and proxies, which all end with it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Self, TypeVar

from control_harness.fake_cache_server import FakeCacheServer
from control_harness.fake_discovery import FakeDiscovery
from control_harness.fault_proxy import FaultProxy
from control_harness.participants import Participant, RelayParticipant, RouterParticipant

CONDITION_TIMEOUT_S = 30.0
"""Seconds within which a condition must hold; on an idle machine most hold in less than one."""

CHECK_INTERVAL_S = 0.02
"""Seconds between two checks of a condition."""

MAX_LOG_CHARACTERS = 6000
"""The last characters of each process's log that a failure message includes."""

ParticipantT = TypeVar("ParticipantT", bound=Participant)

Condition = Callable[[], bool | Awaitable[bool]]
"""Returns whether a condition holds now; awaitable if it has to ask a process."""


class Environment:
    """All processes and servers of a test.

    As an asynchronous context manager it ends all of them on exit, also if the test fails.
    """

    def __init__(self, folder: Path) -> None:
        self.discovery = FakeDiscovery()
        self.participants: list[Participant] = []
        self.cache_servers: list[FakeCacheServer] = []
        self._folder = folder
        self._proxies: list[FaultProxy] = []

    async def __aenter__(self) -> Self:
        await self.discovery.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        for participant in self.participants:
            participant.kill()
        for server in (*self._proxies, *self.cache_servers, self.discovery):
            await server.stop()

    async def start_cache_server(self, name: str, kind: str = "box") -> FakeCacheServer:
        """Start a fake cache server; ``kind`` is its machine type in the platform's settings."""
        server = FakeCacheServer(name, kind)
        self.cache_servers.append(server)
        await server.start()
        return server

    async def start_proxy(self, target: str) -> FaultProxy:
        """Start a proxy that forwards connections to the address ``target``."""
        proxy = FaultProxy(target)
        self._proxies.append(proxy)
        await proxy.start()
        return proxy

    def add_relay(self, name: str) -> RelayParticipant:
        """Return a relay that is still to be configured and started."""
        return self._add(RelayParticipant(self._make_folder(name), name))

    def add_router(self, name: str) -> RouterParticipant:
        """Return a router that is still to be configured and started."""
        return self._add(RouterParticipant(self._make_folder(name), name))

    async def wait_until(
        self, condition: Condition, description: str, timeout_s: float = CONDITION_TIMEOUT_S
    ) -> None:
        """Wait until a condition holds; raises AssertionError with the logs after the timeout."""
        deadline_s = time.monotonic() + timeout_s
        while not await _holds(condition):
            if time.monotonic() > deadline_s:
                message = f"condition not met: {description}\n{self.logs()}"
                raise AssertionError(message)
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def wait_for_exit(self, *participants: Participant) -> None:
        """Wait until these processes have ended; raises AssertionError after the timeout."""
        await self.wait_until(
            lambda: all(participant.exit_code is not None for participant in participants),
            "all processes have ended",
        )

    def logs(self) -> str:
        """Return the last ``MAX_LOG_CHARACTERS`` of each process's log."""
        return "\n".join(
            f"== {participant.name}\n{participant.log_text()[-MAX_LOG_CHARACTERS:]}"
            for participant in self.participants
        )

    def _make_folder(self, name: str) -> Path:
        folder = self._folder / name
        folder.mkdir()
        return folder

    def _add(self, participant: ParticipantT) -> ParticipantT:
        self.participants.append(participant)
        return participant


async def _holds(condition: Condition) -> bool:
    result = condition()
    if isinstance(result, bool):
        return result
    return await result
