"""Socket calls that fail because of this machine's state, or because there is no route to the server.

``tests/program/errno_launcher.py`` makes calls fail in the real program.  The server closes its connection
after each answer, so that every request needs a new connect.
"""

from __future__ import annotations

import contextlib
import errno
import json
import select
import socket
import threading
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import closing, contextmanager
from pathlib import Path
from types import SimpleNamespace
from typing import Any
from unittest.mock import patch

import pytest
from fakes.cache_server_messages import DONE, CommandReader, encode_server_answer
from fakes.loopback_environment import LoopbackEnvironment
from fakes.raw_socket import RawSocketClient, encode_request
from twisted.internet.defer import fail
from twisted.internet.error import getConnectError
from twisted.trial.unittest import TestCase

from tests.loopback import make_loopback_environment
from tests.program.router_program import RouterProgram, listen_on_loopback, loopback_config
from thornjunction import interface as api
from thornjunction.core.counters import Counters
from thornjunction.core.ports import ClientRequest, UpstreamRequest
from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.gossip.replay_gossip import GossipGroup, ReplayGossip
from thornjunction.net.telemetry.metrics_exporter import MetricsExporter, MetricsSource
from thornjunction.net.upstream import connect_attempt
from thornjunction.net.wire import fastcgi
from thornjunction.signing.replay import ReplayEntry, ReplayWindow

# Time to wait for one answer.
ANSWER_TIMEOUT_S = 5.0

# Duration for which accepts fail while a request waits.
FAILING_ACCEPTS_S = 1.2

# Time limit of a blocking call in the server's thread.
SERVER_TIMEOUT_S = 20.0

READ_BYTES = 65_536

# Position of the status code in the first record of an answer.
STATUS_SLICE = slice(8, 11)

# Connect errors caused by this machine, and those caused by the route to the server.
LOCAL_ERRORS = ("EADDRNOTAVAIL", "EAGAIN", "EINTR", "ENOBUFS")
ROUTE_ERRORS = ("ENETUNREACH", "EHOSTUNREACH", "ETIMEDOUT")


class ClosingServer:
    """Answers one request per connection and closes it, in a thread that ends with the listening socket."""

    def __init__(self) -> None:
        self.listening = listen_on_loopback()
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Close the listening socket, and wait for the thread."""
        self.listening.shutdown(socket.SHUT_RDWR)
        self.listening.close()
        self._thread.join(SERVER_TIMEOUT_S)

    def _serve(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listening.accept()
                with connection:
                    self._answer(connection)

    def _answer(self, connection: socket.socket) -> None:
        connection.settimeout(SERVER_TIMEOUT_S)
        reader = CommandReader()
        while data := connection.recv(READ_BYTES):
            requests = [command for command in reader.feed(data) if command.is_request]
            for request in requests:
                connection.sendall(encode_server_answer(request.request_id, DONE, b"rev=t1,since=5", b"x"))
            if requests:
                return


@contextmanager
def program_with_faults(folder: Path, **fault: object) -> Iterator[int]:
    """Run the real program under a fault, with one cache server; yields the port of its front."""
    with (
        closing(ClosingServer()) as server,
        listen_on_loopback() as shared,
        listen_on_loopback() as channel,
    ):
        config = loopback_config(shared, channel, server.listening, client_timeout_ms=1500.0)
        faults = json.dumps([fault])
        module = "tests.program.errno_launcher"
        with RouterProgram(folder, shared, config, module, SOCKET_FAULTS=faults):
            yield shared.getsockname()[1]


def wait_for_answer(client: RawSocketClient) -> None:
    """Wait until the client has received an answer, its connection has ended, or the timeout has passed."""
    deadline_s = time.monotonic() + ANSWER_TIMEOUT_S
    while not client.answer_count() and not client.connection_end and time.monotonic() < deadline_s:
        select.select([client.socket], [], [], 0.1)


def fetch_status(port: int, request_id: int, class_name: str = "clips") -> bytes:
    """Send a request on a new connection, and return the status; empty if none was received."""
    client = RawSocketClient(port)
    client.send(encode_request(request_id, class_name))
    wait_for_answer(client)
    client.close()
    records = fastcgi.RecordReader().feed(bytes(client.received))
    return next((record.content[STATUS_SLICE] for record in records if record.content), b"")


@pytest.mark.parametrize("error", [*LOCAL_ERRORS, *ROUTE_ERRORS])
def test_intermittent_connect_failures_fail_no_request(tmp_path: Path, error: str) -> None:
    with program_with_faults(tmp_path, call="connect_ex", errno=error, every=2) as port:
        assert [fetch_status(port, number) for number in range(1, 13)] == [b"200"] * 12


@pytest.mark.parametrize("error", ["EMFILE", "ENFILE", "ENOBUFS"])
def test_a_request_is_served_after_accepts_have_failed(tmp_path: Path, error: str) -> None:
    flag = tmp_path / "failing"
    with program_with_faults(tmp_path, call="accept", errno=error, flag=str(flag)) as port:
        assert fetch_status(port, 1) == b"200"
        flag.touch()
        client = RawSocketClient(port)
        client.send(encode_request(2, "clips"))
        deadline_s = time.monotonic() + FAILING_ACCEPTS_S
        while time.monotonic() < deadline_s:
            assert not client.has_ended()
            time.sleep(0.01)
        flag.unlink()
        assert fetch_status(port, 3) == b"200"
        wait_for_answer(client)
        assert client.answer_count() == 1
        client.close()


class FailingDatagramTransport:
    """A datagram transport whose every write fails."""

    def write(self, datagram: bytes, peer: tuple[str, int]) -> None:
        """Raise the error for a lack of buffers."""
        raise OSError(errno.ENOBUFS, "no buffer")


def test_a_failed_datagram_write_loses_only_the_datagram() -> None:
    """Raised from a deadline, the error would stop the export of metrics and skip other due deadlines."""
    deadlines = Deadlines()
    group = GossipGroup((("127.0.0.1", 9),), b"secret" * 8)
    gossip = ReplayGossip(ReplayWindow(), group, deadlines, lambda: 0.0, lambda: 0.0)
    gossip.transport = FailingDatagramTransport()
    gossip.announce(ReplayEntry(b"k" * 16, 99.0))
    source = MetricsSource(Counters(Counter(a=1)), "n1", 10.0)
    reactor: Any = None
    metrics = MetricsExporter(reactor, deadlines, lambda: 0.0, lambda: 0.0, source)
    metrics.set_collectd_port(FailingDatagramTransport(), ("127.0.0.1", 9))
    metrics.start()
    deadlines.run_due(10_000.0)
    assert gossip.counts["unsent"] == 1
    assert deadlines.next_due() == 10_000.0


# Status reported for an attempt whose connects keep failing until the connect timeout: a missing route is
# attributed to the server, a shortage on this machine is not.
FAULT_ATTRIBUTION = {
    errno.ENETUNREACH: [api.AttemptStatus.CONNECTION_REFUSED],
    errno.EADDRNOTAVAIL: [],
    errno.EMFILE: [],
}


class FailingConnectTest(TestCase):
    timeout = 30

    def setUp(self) -> None:
        self.environment: LoopbackEnvironment = make_loopback_environment()
        self.addCleanup(self.environment.stop)
        self.statuses: list[api.AttemptStatus] = []
        outcomes = SimpleNamespace(attempt_ended=lambda _, status, *_more: self.statuses.append(status))
        self.environment.pool.report_to(outcomes)

    def test_fault_attribution_of_persistent_connect_failures(self) -> None:
        for number, statuses in FAULT_ATTRIBUTION.items():
            self.check_failing_connects(number, statuses)

    def check_failing_connects(self, error_number: int, statuses: list[api.AttemptStatus]) -> None:
        """Make all connects of an attempt fail, and check the statuses that are reported for it."""
        pool = self.environment.pool
        self.statuses.clear()
        error = getConnectError((error_number, "failed"))
        with patch.object(connect_attempt, "connect_by_deadline", lambda *_: fail(error)):
            request = ClientRequest("t1", "films", "00000000000000ff", 900.0)
            pool.send(UpstreamRequest(1, request, api.StartAttempt("r", "edge1", 900.0, "origin")))
            assert self.statuses == []
            self.environment.run_pool_deadlines(400.0)
            assert self.statuses == statuses
            assert pool.withdraw(1) == (not statuses)
            # No attempt is waiting for a connect any more.
            self.environment.run_pool_deadlines(900.0)
        assert pool.upstreams["edge1"].connect_attempt is None
