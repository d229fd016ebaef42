"""The relays and request routers of a test: their processes, files and admin endpoints."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Mapping, Sequence
from contextlib import ExitStack
from pathlib import Path
from random import Random
from socket import socket
from typing import Any

from fakes.clients import encode_fastcgi_request
from fakes.config import SETTINGS

from control_harness.process import OPERATORS_FILE, ProgramProcess
from thornjunction.net.wire import fastcgi

CALL_TIMEOUT_S = 5.0
"""Seconds that a call to an endpoint may take; enough for a busy machine."""

REQUEST_TTL_MS = 1500
"""Default time to live of a request (ms)."""

MAX_SOCKETS = 90
"""Upper bound on the sockets of each router; all processes of a test share the limit of one user."""

RELAY_JOIN_MS = 20
"""Milliseconds that a relay waits for more events before it answers a poll; small to keep tests fast."""

READ_BYTES = 65_536
"""Upper bound on the bytes of one read."""

REQUEST_PARAMS = {"SCRIPT_NAME": "/do/clips", "HTTP_X_WORKING_SET_KB": "412.5"}
"""FastCGI parameters that are the same in all requests."""


def free_addresses(count: int) -> list[str]:
    """Return addresses with a free port each.

    They are on a loopback host drawn for this call, so that another process is unlikely to take the ports.
    """
    random = Random()
    host = ".".join(["127", *(str(random.randint(1, 254)) for _ in range(3))])
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket()) for _ in range(count)]
        for free_socket in sockets:
            free_socket.bind((host, 0))
        return [f"{host}:{free_socket.getsockname()[1]}" for free_socket in sockets]


class Participant(ProgramProcess):
    """A process with an admin endpoint."""

    def __init__(self, folder: Path, name: str, admin_address: str, config: Path | None = None) -> None:
        super().__init__(folder, config)
        self.name = name
        self.admin_address = admin_address

    async def call_admin(self, line: str) -> list[str]:
        """Return the lines of the admin endpoint's reply; an empty list if it does not answer in time."""
        host, _, port = self.admin_address.rpartition(":")
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(line.encode() + b"\n")
                reply = await reader.read(-1)
                writer.close()
        except (OSError, TimeoutError):
            return []
        return reply.decode().splitlines()

    def _write_operators_file(self, section: str, values: Mapping[str, object]) -> None:
        lines = [f"{key} = {json.dumps(value)}" for key, value in values.items()]
        (self.folder / OPERATORS_FILE).write_text("\n".join([f"[{section}]", *lines, ""]))


class RelayParticipant(Participant):
    """A relay, which accepts polls at ``listen_address``."""

    def __init__(self, folder: Path, name: str) -> None:
        self.listen_address, admin_address = free_addresses(2)
        super().__init__(folder, name, admin_address)

    def configure(self, upstreams: Sequence[str], **settings: object) -> None:
        """Write the operators' file; ``settings`` are added to its section ``[relay]``."""
        values = {
            "listen": self.listen_address,
            "admin_addr": self.admin_address,
            "name": self.name,
            "join_ms": RELAY_JOIN_MS,
            "upstreams": list(upstreams),
            **settings,
        }
        self._write_operators_file("relay", values)

    async def status(self) -> dict[str, str]:
        """Return the values of the admin call ``relay`` by name; empty if the relay does not answer."""
        values = _parse_values(await self.call_admin("relay"))
        return {key.removeprefix("relay."): value for key, value in values.items()}

    async def purge_lines(self) -> list[str]:
        """Return the lines of the admin call ``purges``, one for each purge."""
        return [line for line in await self.call_admin("purges") if line.startswith("purge ")]


class RouterParticipant(Participant):
    """A request router, which accepts requests at ``front_address``."""

    def __init__(self, folder: Path, name: str) -> None:
        self.front_address, admin_address, unused_address = free_addresses(3)
        super().__init__(folder, name, admin_address, folder / "config.json")
        self._write_platform_config(unused_address)

    def configure_without_relays(self, channel: str) -> None:
        """Write an empty operators' file, so that the router polls the platform configuration's channel."""
        self._write_platform_config(channel)
        (self.folder / OPERATORS_FILE).write_text("")

    def configure(self, sources: Sequence[str]) -> None:
        """Write the operators' file with these sources of the control plane."""
        self._write_operators_file("control", {"name": self.name, "sources": list(sources)})

    async def metrics(self) -> dict[str, int]:
        """Return the values of the admin call ``vars`` by name; empty if the router does not answer."""
        values = _parse_values(await self.call_admin("vars"))
        return {key.removeprefix("router."): int(value) for key, value in values.items()}

    async def request(
        self, object_number: int = 1, timeout_s: float = CALL_TIMEOUT_S, ttl_ms: int = REQUEST_TTL_MS
    ) -> str:
        """Request an object; return the name of the cache server that served it, or the failure's status."""
        host, _, port = self.front_address.rpartition(":")
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(_encode_request(object_number, ttl_ms))
            output = await _read_output(reader)
            writer.close()
        head, _, body = output.partition(b"\r\n\r\n")
        if head.startswith(b"Status: 200"):
            return body.decode()
        return head.decode().partition("\r\n")[0]

    def _write_platform_config(self, channel: str) -> None:
        config: dict[str, Any] = {
            "name": self.name,
            "listen": self.front_address,
            "admin_addr": self.admin_address,
            "channel": channel,
            "settings": SETTINGS,
            "limits": {"sockets": MAX_SOCKETS},
            "known": {"cursor": 0, "cmds": []},
        }
        (self.folder / "config.json").write_text(json.dumps(config))


def _encode_request(object_number: int, ttl_ms: int) -> bytes:
    headers = {
        "HTTP_X_TXN": f"{time.monotonic_ns():016x}",
        "HTTP_X_ROW": f"{object_number:016x}",
        "HTTP_X_TTL_MS": str(ttl_ms),
    }
    return encode_fastcgi_request(1, REQUEST_PARAMS | headers)


async def _read_output(reader: asyncio.StreamReader) -> bytes:
    """Return the output of one FastCGI request, read until the request or the connection ends."""
    output = b""
    records = fastcgi.RecordReader()
    ended = False
    while not ended and (data := await reader.read(READ_BYTES)):
        for record in records.feed(data):
            if record.kind == fastcgi.RecordType.STDOUT:
                output += record.content
            elif record.kind == fastcgi.RecordType.END:
                ended = True
    return output


def _parse_values(lines: Sequence[str]) -> dict[str, str]:
    """Parse ``NAME=VALUE`` lines; other lines are ignored."""
    pairs = (line.partition("=") for line in lines)
    return {name: value for name, separator, value in pairs if separator}
