"""Puts processes, shelfs, links and a discovery together, and takes them down."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from random import Random
from socket import socket
from typing import Any, Self, TypeVar

from standins.clients import fastcgi_request
from standins.config import SETTINGS

from control_rig.discovery import Discovery
from control_rig.link import Link
from control_rig.process import Process
from control_rig.shelf import Shelf
from thornjunction.net.wire import fastcgi

WITHIN_S = 30.0  # for a thing that has to happen; on an idle machine most take well under one
AGAIN_S = 0.02
CALL_S = 5.0
TTL_MS = 1500  # of a request that names none
PARAMS = {"SCRIPT_NAME": "/do/clips", "HTTP_X_WORKING_SET_KB": "412.5"}


def free_addresses(count: int) -> list[str]:
    """Addresses with a free port each, on a loopback host drawn for this call, where nothing else is likely
    to take them."""
    draw = Random()
    host = ".".join(["127", *(str(draw.randint(1, 254)) for _ in range(3))])
    probes = [socket() for _ in range(count)]
    for probe in probes:
        probe.bind((host, 0))
    found = [f"{host}:{probe.getsockname()[1]}" for probe in probes]
    for probe in probes:
        probe.close()
    return found


class Member(Process):
    """A process with an operators' door."""

    def __init__(self, folder: Path, name: str, door: str, config: Path | None = None) -> None:
        super().__init__(folder, config)
        self.name, self.door = name, door

    async def call(self, line: str) -> list[str]:
        """The lines of the door's reply; none while nobody answers there."""
        host, _, port = self.door.rpartition(":")
        try:
            async with asyncio.timeout(CALL_S):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(line.encode() + b"\n")
                told = await reader.read(-1)
                writer.close()
        except (OSError, TimeoutError):
            return []
        return told.decode().splitlines()


M = TypeVar("M", bound=Member)


class Relay(Member):
    """``listen``: where it is polled."""

    def __init__(self, folder: Path, name: str) -> None:
        self.listen, door = free_addresses(2)
        super().__init__(folder, name, door)

    def settle(self, upstreams: Sequence[str], **more: object) -> None:
        """Write its operators' file."""
        told = {"listen": self.listen, "admin_addr": self.door, "name": self.name, "join_ms": 20}
        _write_toml(self.folder, "relay", told | {"upstreams": list(upstreams)} | more)

    async def status(self) -> dict[str, str]:
        """``relay``, by name."""
        told = _pairs(await self.call("relay"))
        return {key.removeprefix("relay."): value for key, value in told.items()}

    async def purges(self) -> list[str]:
        """``purges``, a line each."""
        return [line for line in await self.call("purges") if line.startswith("purge ")]


class Router(Member):
    """A request router with ``[control]``."""

    def __init__(self, folder: Path, name: str) -> None:
        self.front, door, channel = free_addresses(3)
        super().__init__(folder, name, door, folder / "config.json")
        told: dict[str, Any] = {"name": name, "listen": self.front, "admin_addr": door, "channel": channel}
        told |= {"settings": SETTINGS, "limits": {"sockets": 90}, "known": {"cursor": 0, "cmds": []}}
        (folder / "config.json").write_text(json.dumps(told))

    def settle_plain(self, channel: str) -> None:
        """Nothing of the operators': it polls what the platform's file names."""
        told = json.loads((self.folder / "config.json").read_text())
        (self.folder / "config.json").write_text(json.dumps(told | {"channel": channel}))
        (self.folder / "extras.toml").write_text("")

    def settle(self, sources: Sequence[str]) -> None:
        """Write its operators' file."""
        _write_toml(self.folder, "control", {"name": self.name, "sources": list(sources)})

    async def figures(self) -> dict[str, int]:
        """``vars``, by name."""
        told = _pairs(await self.call("vars"))
        return {key.removeprefix("router."): int(value) for key, value in told.items()}

    async def get(self, name: int = 1, timeout_s: float = CALL_S, ttl_ms: int = TTL_MS) -> str:
        """One request for an object through the front: the shelf that served it; else the answer's status."""
        host, _, port = self.front.rpartition(":")
        body, told, records = b"", b"", fastcgi.RecordReader()
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(_request(name, ttl_ms))
            ended = False
            while not ended and (data := await reader.read(65_536)):
                for record in records.feed(data):
                    body += record.content if record.kind == fastcgi.RecordType.STDOUT else b""
                    ended |= record.kind == fastcgi.RecordType.END
            writer.close()
        head, _, told = body.partition(b"\r\n\r\n")
        return told.decode() if head.startswith(b"Status: 200") else head.decode().partition("\r\n")[0]


class Rig:
    """All of a test's processes.  ``async with``: what was started ends, also where the test fails."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.discovery = folder, Discovery()
        self.members: list[Member] = []
        self.shelves: list[Shelf] = []
        self.links: list[Link] = []

    async def __aenter__(self) -> Self:
        await self.discovery.up()
        return self

    async def __aexit__(self, *_: object) -> None:
        for member in self.members:
            member.kill()
        for part in (*self.links, *self.shelves, self.discovery):
            await part.down()

    async def shelf(self, name: str, kind: str = "box") -> Shelf:
        shelf = Shelf(name, kind)
        self.shelves.append(shelf)
        await shelf.up()
        return shelf

    async def link(self, target: str) -> Link:
        link = Link(target)
        self.links.append(link)
        await link.up()
        return link

    def relay(self, name: str) -> Relay:
        """To be settled and started."""
        return self._added(Relay(self._folder(name), name))

    def router(self, name: str) -> Router:
        """To be settled and started."""
        return self._added(Router(self._folder(name), name))

    def _folder(self, name: str) -> Path:
        folder = self.folder / name
        folder.mkdir()
        return folder

    def _added(self, member: M) -> M:
        self.members.append(member)
        return member

    async def until(
        self, holds: Callable[[], bool | Awaitable[bool]], what: str, within_s: float = WITHIN_S
    ) -> None:
        """Wait for something that a process knows; AssertionError, with all logs, past the bound."""
        end = time.monotonic() + within_s
        while True:
            held = holds()
            if held if isinstance(held, bool) else await held:
                return
            if time.monotonic() > end:
                raise AssertionError(f"never: {what}\n{self.logs()}")
            await asyncio.sleep(AGAIN_S)

    def logs(self) -> str:
        return "\n".join(f"== {member.name}\n{member.log()[-6000:]}" for member in self.members)

    async def ended(self, *members: Member) -> None:
        await self.until(lambda: all(member.code is not None for member in members), "processes end")

    def signal(self, number: signal.Signals, *members: Member) -> None:
        for member in members:
            member.signal(number)


def _request(name: int, ttl_ms: int) -> bytes:
    more = {"HTTP_X_TXN": f"{time.monotonic_ns():016x}", "HTTP_X_ROW": f"{name:016x}"}
    return fastcgi_request(1, PARAMS | more | {"HTTP_X_TTL_MS": str(ttl_ms)})


def _pairs(lines: Sequence[str]) -> dict[str, str]:
    """``NAME=VALUE`` lines."""
    return {name: value for name, mark, value in (line.partition("=") for line in lines) if mark}


def _write_toml(folder: Path, section: str, told: dict[str, Any]) -> None:
    lines = [f"{key} = {json.dumps(value)}" for key, value in told.items()]
    (folder / "extras.toml").write_text("\n".join([f"[{section}]", *lines, ""]))
