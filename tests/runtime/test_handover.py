"""Two processes on one listening socket: who has a successor leaves new connections to it."""

from __future__ import annotations

import errno
import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from unittest.mock import patch

from fakes.raw_socket import bound_address, call_admin, connect_when_listening

from tests.core.test_engine import CONFIG
from tests.net.wire.test_codecs import asked
from tests.program.test_program import ROOT
from thornjunction.net.wire import fastcgi
from thornjunction.runtime.handover import Handover


def test_the_last_to_get_ready_has_no_successor(tmp_path: Path) -> None:
    first, second = (Handover(str(tmp_path), "n1") for _ in range(2))
    assert not first.has_successor()
    first.announce()
    assert not first.has_successor()
    second.announce()
    assert first.has_successor() and not second.has_successor()
    assert [path.name for path in tmp_path.iterdir()] == ["thornjunction-n1.serving"]


def test_who_could_not_write_its_mark_takes_the_one_before_it_for_no_successor(tmp_path: Path) -> None:
    """A disk that is full, or a kill in the middle: on SIGTERM nobody else takes its connections."""
    first, second, third = (Handover(str(tmp_path), "n1") for _ in range(3))
    first.announce()
    with patch("os.replace", side_effect=OSError(errno.ENOSPC, "full")):
        second.announce()
    assert not first.has_successor() and not second.has_successor()
    assert [path.name for path in tmp_path.iterdir()] == ["thornjunction-n1.serving"]
    (tmp_path / "thornjunction-n1.serving").write_text(third.token[:3])
    assert not first.has_successor() and not second.has_successor()
    third.announce()
    assert first.has_successor() and second.has_successor() and not third.has_successor()


def test_without_a_folder_that_both_see_nobody_is_succeeded(tmp_path: Path) -> None:
    for folder in ("", str(tmp_path / "none")):
        alone = Handover(folder, "n1")
        alone.announce()
        assert not alone.has_successor()


def check(client: socket.socket) -> bytes:
    """What /check says on this connection."""
    client.sendall(asked(1, {"SCRIPT_NAME": "/check"}, b""))
    records, reader = [], fastcgi.RecordReader()
    while not records or records[-1].kind != fastcgi.RecordType.END:
        records += reader.feed(client.recv(4096))
    return records[0].content


class Program:
    """The program on a listening socket that it inherits, with a door of its own."""

    def __init__(
        self,
        folder: Path,
        shared: socket.socket,
        config: dict[str, object],
        module: str = "thornjunction",
        **environ: str,
    ) -> None:
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.door = bound_address(free)
        path = folder / "config.json"
        path.write_text(json.dumps(config))
        env = os.environ | {"PROXY_CONFIG": str(path), "PROXY_ADMIN_ADDR": self.door, "TMPDIR": str(folder)}
        self.process = subprocess.Popen(
            [sys.executable, "-m", module],
            env=env | {"PROXY_SOCKET_FD": str(shared.fileno())} | environ,
            cwd=ROOT,
            pass_fds=[shared.fileno()],
            stderr=subprocess.DEVNULL,
        )
        connect_when_listening(self.door).close()
        while call_admin(self.door, "check") != "ACK\n":  # the command channel never answers here
            pass


def test_a_process_is_replaced_on_its_listening_socket(tmp_path: Path) -> None:
    """The old one exits, the socket stays, and a connection that it still holds hears no 'no'."""
    with (
        socket.create_server(("127.0.0.1", 0)) as shared,
        socket.create_server(("127.0.0.1", 0)) as channel,
    ):
        config = CONFIG | {"listen": bound_address(shared), "channel": bound_address(channel)}
        old = Program(tmp_path, shared, config)
        programs = [old.process]
        try:
            kept = connect_when_listening(bound_address(shared))
            assert check(kept) == b"Status: 200\r\n\r\n"
            new = Program(tmp_path, shared, config)
            programs.append(new.process)
            old.process.send_signal(signal.SIGTERM)
            assert kept.recv(1) == b""
            kept.close()
            assert old.process.wait(20) == 0
            with connect_when_listening(bound_address(shared)) as client:
                assert check(client) == b"Status: 200\r\n\r\n"
            assert new.process.poll() is None
        finally:
            for process in programs:
                process.kill()
                process.wait()
