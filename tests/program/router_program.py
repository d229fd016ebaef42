"""Runs the real program on an inherited listening socket."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
from collections.abc import Mapping
from pathlib import Path
from types import TracebackType
from typing import Self

from fakes.clients import encode_fastcgi_request
from fakes.config import LOOPBACK_HOST, platform_config
from fakes.raw_socket import bound_address, call_admin, connect_when_listening

from thornjunction.net.wire import fastcgi

ROOT = Path(__file__).resolve().parents[2]

# Time within which a program exits after SIGTERM.
EXIT_TIMEOUT_S = 20

READ_BYTES = 4096


def listen_on_loopback() -> socket.socket:
    """Return a socket that listens on a free loopback port."""
    return socket.create_server((LOOPBACK_HOST, 0))


def free_address() -> str:
    """Return a loopback address whose port is currently free; another process may take it."""
    with listen_on_loopback() as unused_socket:
        return bound_address(unused_socket)


def fetch_check(connection: socket.socket) -> bytes:
    """Request ``/check`` on this connection, and return the content of the first record of the response."""
    connection.sendall(encode_fastcgi_request(1, {"SCRIPT_NAME": "/check"}))
    reader = fastcgi.RecordReader()
    records: list[fastcgi.Record] = []
    while not records or records[-1].kind != fastcgi.RecordType.END:
        records += reader.feed(connection.recv(READ_BYTES))
    return records[0].content


def loopback_config(
    shared: socket.socket, channel: socket.socket, cache_server: socket.socket, client_timeout_ms: float
) -> dict[str, object]:
    """Return the configuration of a program with these listening sockets."""
    addresses = [bound_address(listening) for listening in (shared, channel, cache_server)]
    return platform_config(*addresses, client_timeout_ms=client_timeout_ms)


class RouterProgram:
    """A running program with an admin endpoint; the context manager kills it on exit.

    The constructor returns once the program is ready, which requires no answer on its command channel.
    """

    def __init__(
        self,
        folder: Path,
        shared: socket.socket,
        config: Mapping[str, object],
        module: str = "thornjunction",
        **environment: str,
    ) -> None:
        self.admin_address = free_address()
        path = folder / "config.json"
        path.write_text(json.dumps(config))
        settings = {
            "PROXY_CONFIG": str(path),
            "PROXY_ADMIN_ADDR": self.admin_address,
            "TMPDIR": str(folder),
            "PROXY_SOCKET_FD": str(shared.fileno()),
        }
        self.process = subprocess.Popen(
            [sys.executable, "-m", module],
            env=os.environ | settings | environment,
            cwd=ROOT,
            pass_fds=[shared.fileno()],
            stderr=subprocess.DEVNULL,
        )
        connect_when_listening(self.admin_address).close()
        while self.call("check") != "ACK\n":
            pass

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self, _type: type[BaseException] | None, _error: BaseException | None, _trace: TracebackType | None
    ) -> None:
        self.kill()

    def call(self, line: str) -> str:
        """Make a call to the admin endpoint, and return its reply."""
        return call_admin(self.admin_address, line)

    def kill(self) -> None:
        """Kill the program if it is still running, and wait for its exit."""
        self.process.kill()
        self.process.wait()
