"""Handover between processes that share a listening socket: a process with a successor stops accepting."""

from __future__ import annotations

import errno
import signal
from pathlib import Path
from unittest.mock import patch

from fakes.raw_socket import bound_address, connect_when_listening

from tests.program.router_program import EXIT_TIMEOUT_S, RouterProgram, fetch_check, listen_on_loopback
from tests.runtime.test_config import CONFIG
from thornjunction.runtime.handover import Handover


def test_the_process_that_became_ready_last_has_no_successor(tmp_path: Path) -> None:
    first, second = (Handover(str(tmp_path), "n1") for _ in range(2))
    assert not first.has_successor()
    first.announce()
    assert not first.has_successor()
    second.announce()
    assert first.has_successor()
    assert not second.has_successor()
    assert [path.name for path in tmp_path.iterdir()] == ["thornjunction-n1.serving"]


def test_after_a_failed_write_an_earlier_token_is_not_taken_for_a_successor(
    tmp_path: Path,
) -> None:
    """If a full disk or a kill prevents the write, no other process accepts the connections after SIGTERM."""
    first, second, third = (Handover(str(tmp_path), "n1") for _ in range(3))
    first.announce()
    with patch("os.replace", side_effect=OSError(errno.ENOSPC, "full")):
        second.announce()
    assert not first.has_successor()
    assert not second.has_successor()
    assert [path.name for path in tmp_path.iterdir()] == ["thornjunction-n1.serving"]
    (tmp_path / "thornjunction-n1.serving").write_text(third.token[:3])
    assert not first.has_successor()
    assert not second.has_successor()
    third.announce()
    assert first.has_successor()
    assert second.has_successor()
    assert not third.has_successor()


def test_without_a_common_folder_no_process_has_a_successor(tmp_path: Path) -> None:
    for folder in ("", str(tmp_path / "none")):
        handover = Handover(folder, "n1")
        handover.announce()
        assert not handover.has_successor()


def test_a_process_is_replaced_on_its_listening_socket(tmp_path: Path) -> None:
    """The old process exits and closes its open connection in order; the socket stays open."""
    with listen_on_loopback() as shared, listen_on_loopback() as channel:
        config = CONFIG | {"listen": bound_address(shared), "channel": bound_address(channel)}
        with RouterProgram(tmp_path, shared, config) as old:
            open_connection = connect_when_listening(bound_address(shared))
            assert fetch_check(open_connection) == b"Status: 200\r\n\r\n"
            with RouterProgram(tmp_path, shared, config) as new:
                old.process.send_signal(signal.SIGTERM)
                assert open_connection.recv(1) == b""
                open_connection.close()
                assert old.process.wait(EXIT_TIMEOUT_S) == 0
                with connect_when_listening(bound_address(shared)) as client:
                    assert fetch_check(client) == b"Status: 200\r\n\r\n"
                assert new.process.poll() is None
