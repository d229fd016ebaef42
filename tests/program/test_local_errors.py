"""Socket calls that fail for this machine's own reasons, or for those of the way there, in the real program:
``tests/program/errno_launcher.py`` makes them fail, and a server closes its connection after each answer."""

from __future__ import annotations

import errno
import json
import select
import socket
import threading
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from types import SimpleNamespace
from typing import Any
from unittest.mock import patch

import pytest
from fakes.config import platform_config
from fakes.raw_socket import RawSocketClient, bound_address, encode_request
from twisted.internet.defer import fail
from twisted.internet.error import getConnectError
from twisted.trial.unittest import TestCase

from tests.loopback import make_loopback_environment
from tests.runtime.test_handover import Program
from thornjunction import interface as api
from thornjunction.core.counters import Counters
from thornjunction.core.ports import ClientRequest, UpstreamRequest
from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.gossip.replay_gossip import GossipGroup, ReplayGossip
from thornjunction.net.telemetry.metrics_exporter import MetricsExporter, MetricsSource
from thornjunction.net.upstream import connect_attempt
from thornjunction.net.wire import fastcgi
from thornjunction.net.wire.resp import ArrayReader, encode_array
from thornjunction.signing.replay import ReplayEntry, ReplayWindow

WAIT_S = 5.0  # for one answer
LOCAL = "EADDRNOTAVAIL", "EAGAIN", "EINTR", "ENOBUFS"
PATH = "ENETUNREACH", "EHOSTUNREACH", "ETIMEDOUT"


class ClosingServer:
    """Answers one request a connection, then closes it; one thread, which ends with its listening socket."""

    def __init__(self) -> None:
        self.listening = socket.create_server(("127.0.0.1", 0))
        self.thread = threading.Thread(target=self._serve, daemon=True)
        self.thread.start()

    def _serve(self) -> None:
        while True:
            try:
                connection, _ = self.listening.accept()
            except OSError:
                return
            with connection:
                connection.settimeout(20.0)
                reader, wants = ArrayReader(), []
                while not wants and (data := connection.recv(65_536)):
                    wants = [items for items in reader.feed(data) if items[0] == b"want"]
                for want in wants:
                    connection.sendall(encode_array((want[1], b"DONE", b"rev=t1,since=5", b"x")))

    def close(self) -> None:
        self.listening.shutdown(socket.SHUT_RDWR)
        self.listening.close()
        self.thread.join(20.0)


@contextmanager
def program(folder: Path, *faults: dict[str, Any]) -> Iterator[int]:
    """The real program under these faults, before a server; the port of its front."""
    server = ClosingServer()
    with (
        socket.create_server(("127.0.0.1", 0)) as shared,
        socket.create_server(("127.0.0.1", 0)) as channel,
    ):
        config = platform_config(
            bound_address(shared),
            bound_address(channel),
            bound_address(server.listening),
            client_timeout_ms=1500.0,
        )
        run = Program(
            folder, shared, config, "tests.program.errno_launcher", SOCKET_FAULTS=json.dumps(faults)
        )
        try:
            yield shared.getsockname()[1]
        finally:
            run.process.kill()
            run.process.wait()
            server.close()


def wait_for_answer(client: RawSocketClient) -> None:
    end = time.monotonic() + WAIT_S
    while not client.answer_count() and not client.connection_end and time.monotonic() < end:
        select.select([client.socket], [], [], 0.1)


def status_of(port: int, number: int, class_name: str = "clips") -> bytes:
    """The status of one request on a connection of its own."""
    client = RawSocketClient(port)
    client.send(encode_request(number, class_name))
    wait_for_answer(client)
    client.close()
    records = fastcgi.RecordReader().feed(bytes(client.received))
    return next((record.content[8:11] for record in records if record.content), b"")


@pytest.mark.parametrize("call", [*LOCAL, *PATH])
def test_a_connect_that_fails_now_and_then_refuses_nothing(tmp_path: Path, call: str) -> None:
    with program(tmp_path, {"call": "connect_ex", "errno": call, "every": 2}) as port:
        assert [status_of(port, number) for number in range(1, 13)] == [b"200"] * 12


@pytest.mark.parametrize("name", ["EMFILE", "ENFILE", "ENOBUFS"])
def test_a_request_behind_failing_accepts_is_served(tmp_path: Path, name: str) -> None:
    flag = tmp_path / "failing"
    with program(tmp_path, {"call": "accept", "errno": name, "flag": str(flag)}) as port:
        assert status_of(port, 1) == b"200"
        flag.touch()
        client = RawSocketClient(port)
        client.send(encode_request(2, "clips"))
        end = time.monotonic() + 1.2
        while time.monotonic() < end:
            assert not client.has_ended()
            time.sleep(0.01)
        flag.unlink()
        assert status_of(port, 3) == b"200"
        wait_for_answer(client)
        assert client.answer_count() == 1
        client.close()


class SocketWithoutWay:
    """A datagram transport whose every write fails."""

    def write(self, datagram: bytes, peer: tuple[str, int]) -> None:
        raise OSError(errno.ENOBUFS, "no buffer")


def test_datagrams_that_cannot_be_sent_are_lost_and_nothing_else() -> None:
    """Raised out of a deadline, the error would end the figures, and the deadlines that are due with it."""
    deadlines, window = Deadlines(), ReplayWindow()
    group = GossipGroup((("127.0.0.1", 9),), b"secret" * 8)
    gossip = ReplayGossip(window, group, deadlines, lambda: 0.0, lambda: 0.0)
    gossip.transport = SocketWithoutWay()
    gossip.announce(ReplayEntry(b"k" * 16, 99.0))
    source = MetricsSource(Counters(Counter(a=1)), "n1", 10.0)
    reactor: Any = None
    metrics = MetricsExporter(reactor, deadlines, lambda: 0.0, lambda: 0.0, source)
    metrics.set_collectd_port(SocketWithoutWay(), ("127.0.0.1", 9))
    metrics.start()
    deadlines.run_due(10_000.0)
    assert gossip.counts["unsent"] == 1 and deadlines.next_due() == 10_000.0


class DialTest(TestCase):
    timeout = 30

    def test_who_is_blamed_for_dials_that_go_on_failing(self) -> None:
        """No way there is a dial that never came up, once its time is over; our own lack is nobody's."""
        rig, told = make_loopback_environment(), list[api.AttemptStatus]()
        self.addCleanup(rig.stop)
        pool = rig.pool
        pool.report_to(SimpleNamespace(attempt_ended=lambda _, status, *more: told.append(status)))
        ends = {
            errno.ENETUNREACH: [api.AttemptStatus.CONNECTION_REFUSED],
            errno.EADDRNOTAVAIL: [],
            errno.EMFILE: [],
        }
        for number, end in ends.items():
            failed = getConnectError((number, "failed"))
            with patch.object(connect_attempt, "connect_by_deadline", lambda *_, failed=failed: fail(failed)):
                call = ClientRequest("t1", "films", "00000000000000ff", 900.0)
                pool.send(UpstreamRequest(1, call, api.StartAttempt("r", "edge1", 900.0, "origin")))
                self.assertEqual(told, [])
                rig.run_pool_deadlines(400.0)
                self.assertEqual(told, end)
                self.assertEqual(pool.withdraw(1), not end)
                rig.run_pool_deadlines(900.0)  # nobody waits any more
            self.assertIsNone(pool.upstreams["edge1"].connect_attempt)
            told.clear()
