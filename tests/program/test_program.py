"""The real program from its start to its exit after draining."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest
from fakes.raw_socket import bound_address, call_admin, connect_when_listening

from tests.program.router_program import (
    EXIT_TIMEOUT_S,
    ROOT,
    fetch_check,
    free_address,
    listen_on_loopback,
)
from tests.runtime.test_config import CONFIG

PROGRAM = [sys.executable, "-m", "thornjunction"]

# Time within which a start with an invalid configuration fails.
START_TIMEOUT_S = 60

# The beginning of the program's first poll if its configuration contains the events up to cursor 3.
FIRST_POLL = b"GET /cmd/next?resume=3&bl"

# The log event of a configuration that was rejected.
RELOAD_REJECTED_EVENT = b"reload_rejected"

# Libraries and modules that a router without extras must not import.
EXTRA_LIBRARIES = {"click", "ijson", "joserfc", "msgspec", "re2"}
EXTRA_PREFIXES = ("fleet_", "control_", "sortedcontainers")
EXTRA_SUFFIXES = (".fleet", "net.relay", "runtime.relay", "relay_status", "control_settings", "wire.polls")

LIST_MODULES = "import sys, thornjunction.program, thornjunction.runtime.service; print(*sys.modules)"


class ServingProgram:
    """A running program and its connection to ``channel``, on which it polls."""

    def __init__(self, folder: Path, channel: socket.socket) -> None:
        self.listen_address = free_address()
        self.admin_address = free_address()
        self.config_path = folder / "config.json"
        self.config = CONFIG | {
            "listen": self.listen_address,
            "channel": bound_address(channel),
            "known": {"cursor": 3, "cmds": []},
            "admin_addr": self.admin_address,
        }
        self.config_path.write_text(json.dumps(self.config))
        environment = os.environ | {"PROXY_CONFIG": str(self.config_path)}
        self.process = subprocess.Popen(PROGRAM, env=environment, cwd=ROOT, stderr=subprocess.PIPE)
        # The program connects to the channel just before it listens.
        self.channel_connection = channel.accept()[0]

    def call(self, line: str) -> str:
        """Make a call to the admin endpoint, and return its reply."""
        return call_admin(self.admin_address, line)

    def reload(self, text: str) -> None:
        """Write another configuration, and signal the program to reload it."""
        self.config_path.write_text(text)
        self.process.send_signal(signal.SIGHUP)

    def wait_for_log(self, event: bytes) -> bytes:
        """Return the next log line that contains the event."""
        assert self.process.stderr is not None
        while event not in (line := self.process.stderr.readline()):
            assert line, "the program has closed its log"
        return line

    def close(self) -> None:
        """Kill the program if it is still running, and close its connection."""
        self.process.kill()
        self.process.communicate()
        self.channel_connection.close()


@pytest.fixture
def program(tmp_path: Path) -> Iterator[ServingProgram]:
    """A running program that has sent its first poll."""
    with listen_on_loopback() as channel:
        serving = ServingProgram(tmp_path, channel)
        try:
            assert serving.channel_connection.recv(len(FIRST_POLL)) == FIRST_POLL
            yield serving
        finally:
            serving.close()


def udp_sockets(pid: int) -> set[str]:
    """Return the UDP sockets of a process, as ``socket:[inode]``."""
    open_files = {os.readlink(entry) for entry in Path(f"/proc/{pid}/fd").iterdir() if entry.is_symlink()}
    rows = Path(f"/proc/{pid}/net/udp").read_text().splitlines()[1:]
    return {f"socket:[{row.split()[9]}]" for row in rows} & open_files


def test_the_program_serves_check_reloads_and_drains(program: ServingProgram) -> None:
    client = connect_when_listening(program.listen_address)
    assert fetch_check(client) == b"Status: 200\r\n\r\n"
    check_admin_calls(program)
    assert not udp_sockets(program.process.pid)
    check_reload(program)
    program.process.send_signal(signal.SIGTERM)
    assert client.recv(1) == b""
    assert program.process.wait(EXIT_TIMEOUT_S) == 0
    client.close()


def check_admin_calls(program: ServingProgram) -> None:
    """Check the admin calls of a router without fleet membership."""
    assert program.call("check") == "ACK\n"
    assert program.call("drain-on") == "ACK\n"
    assert program.call("check") == "NAK\n"
    assert program.call("drain-off") == "ACK\n"
    assert "router.cfg_invalid=0\n" in program.call("vars")
    assert program.call("fleet").startswith("NAK")


def check_reload(program: ServingProgram) -> None:
    """Check that an invalid file is rejected with its name in the log, and that a new channel is polled."""
    program.reload("{")
    assert str(program.config_path).encode() in program.wait_for_log(RELOAD_REJECTED_EVENT)
    with listen_on_loopback() as moved_channel:
        moved_channel.settimeout(EXIT_TIMEOUT_S)
        program.reload(json.dumps(program.config | {"channel": bound_address(moved_channel)}))
        assert "router.cfg_invalid=1\n" in program.call("vars")
        assert moved_channel.accept()[0].recv(len(FIRST_POLL)) == FIRST_POLL


def test_an_invalid_configuration_is_reported_with_exit_code_2(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text("{}")
    environment = os.environ | {"PROXY_CONFIG": str(path)}
    completed = subprocess.run(
        PROGRAM, env=environment, cwd=ROOT, capture_output=True, text=True, timeout=START_TIMEOUT_S
    )
    assert completed.returncode == 2
    assert "'limits' is missing" in completed.stderr


def test_a_router_without_extras_imports_none_of_their_libraries() -> None:
    command = [sys.executable, "-c", LIST_MODULES]
    modules = subprocess.run(command, capture_output=True, check=True, text=True).stdout.split()
    assert "twisted" in modules
    assert not EXTRA_LIBRARIES & set(modules)
    assert not [name for name in modules if name.startswith(EXTRA_PREFIXES)]
    assert not [name for name in modules if name.endswith(EXTRA_SUFFIXES)]
