"""The ends of attempts on real sockets, the metrics on the wire, and the program from start to drain."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any
from unittest.mock import patch

from fakes.clients import HttpClient
from fakes.raw_socket import bound_address, call_admin, connect_when_listening
from twisted.internet import protocol, reactor
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.trial.unittest import TestCase

from tests.core.test_engine import CONFIG
from tests.loopback import make_loopback_environment
from tests.net.wire.test_codecs import asked, collectd_values
from thornjunction import interface as api
from thornjunction.core.counters import Counters
from thornjunction.core.ports import ClientRequest, UpstreamRequest
from thornjunction.net.event_loop.timer_service import core_ms
from thornjunction.net.event_loop.transport import BuildFactory
from thornjunction.net.telemetry.graphite_client import ConnectionState
from thornjunction.net.telemetry.metrics_exporter import MetricsExporter, MetricsSource
from thornjunction.net.upstream.dispatcher import MAX_CONNECTIONS_IF_EXHAUSTED
from thornjunction.net.upstream.stream_ids import MAX_CANCELLED_IDS
from thornjunction.net.wire import fastcgi

ROOT = Path(__file__).resolve().parents[2]


class PoolTest(TestCase):
    timeout = 20

    def setUp(self) -> None:
        self.rig = make_loopback_environment()
        self.addCleanup(self.rig.stop)
        self.rig.pool.report_to(self)
        self.told: list[Any] = []

    def attempt_ended(
        self, number: int, status: api.AttemptStatus, content: Any = None, report: Any = None
    ) -> None:
        self.told.append((number, status, content.body if content else None))

    def send(self, number: int, name: str, **more: Any) -> None:
        call = ClientRequest(name, "films", "00000000000000ff", 900.0, **more)
        self.rig.pool.send(UpstreamRequest(number, call, api.StartAttempt("r", "edge1", 900.0, "origin")))

    @inlineCallbacks
    def test_each_word_has_its_end(self) -> Any:
        words = [
            (b"DONE", b"x"),
            (b"LACK", b""),
            (b"WAIT", b""),
            (b"BROKE", b""),
            (b"PAST", b""),
            (b"KEEP", b""),
        ]
        ends = [
            "SUCCEEDED",
            "CACHE_MISS",
            "OVERLOADED",
            "ERROR",
            "NOT_STARTED",
            "ERROR",
        ]  # the client of the last one has no copy
        words += [(b"KEEP", b""), (b"KEEP", b"x")]  # naming no copy, and naming the client's own: t1
        ends += ["ERROR", "SUCCEEDED"]
        for number, (word, end) in enumerate(zip(words, ends, strict=True)):
            self.rig.script = [word]
            self.send(number, f"t{number}", if_none_match="t1" if number > 5 else "")
            yield self.rig.wait_until(lambda number=number: len(self.told) > number)
            self.assertEqual(self.told[number][:2], (number, api.AttemptStatus[end]))

    @inlineCallbacks
    def test_a_broken_connection_may_have_run_and_a_refused_one_did_not(self) -> Any:
        self.rig.script, wanted = [None], self.rig.next_request()
        self.send(1, "a")
        yield wanted
        yield self.rig.ports[0].stopListening()
        self.rig.server_connections[0].transport.abortConnection()
        yield self.rig.wait_until(lambda: len(self.told) == 1)
        self.send(2, "b")
        yield self.rig.wait_until(lambda: len(self.told) == 2)
        self.assertEqual(
            [status for _, status, _ in self.told],
            [api.AttemptStatus.CONNECTION_RESET, api.AttemptStatus.CONNECTION_REFUSED],
        )

    @inlineCallbacks
    def test_a_late_answer_is_not_taken_for_the_next_attempt_of_its_name(self) -> Any:
        self.rig.script, wanted = [None], self.rig.next_request()
        self.send(1, "same")
        yield wanted
        self.rig.pool.cancel(1)
        late, ident = self.rig.received_requests[0]
        self.rig.script, wanted = [None], self.rig.next_request()
        self.send(2, "same")
        late.send_answer(ident, b"DONE", b"late")
        yield wanted
        link, ident = self.rig.received_requests[1]
        self.assertIsNot(link, late)
        link.send_answer(ident, b"DONE", b"right")
        yield self.rig.wait_until(lambda: self.told)
        self.assertEqual(self.told, [(2, api.AttemptStatus.SUCCEEDED, b"right")])

    @inlineCallbacks
    def test_garbage_from_a_shelf_ends_its_connection(self) -> Any:
        self.rig.script, wanted = [None], self.rig.next_request()
        self.send(1, "a")
        yield wanted
        self.rig.server_connections[0].transport.write(b"*9999\r\n")
        yield self.rig.wait_until(lambda: self.told)
        self.assertEqual(self.told, [(1, api.AttemptStatus.CONNECTION_RESET, None)])

    @inlineCallbacks
    def test_a_length_that_swallows_the_answers_behind_it_ends_the_connection(self) -> Any:
        """Bytes that never make an answer are no sign of life; what was out there may have run."""
        self.rig.script = [None, None]
        for number, name in enumerate("ab"):
            self.send(number, name)
        yield self.rig.wait_until(lambda: len(self.rig.received_requests) == 2)
        link, _ = self.rig.received_requests[0]
        link.transport.write(b"*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$1\r\n-\r\n$99999\r\n")
        link.send_answer(b"b", b"DONE", b"swallowed")
        yield self.rig.wait_until(
            lambda: any(each.has_partial_response for each in self.rig.pool.connections)
        )
        with patch.object(self.rig.pool.context, "clock", lambda: core_ms() + 500.0):
            self.assertEqual(self.told, [])
            self.rig.timer_service.deadlines.run_due(core_ms() + 500.0)
        yield self.rig.wait_until(lambda: len(self.told) == 2)
        self.assertEqual({end[1:] for end in self.told}, {(api.AttemptStatus.CONNECTION_RESET, None)})

    @inlineCallbacks
    def test_connections_share_what_is_out(self) -> Any:
        """A spoilt answer ends its connection, so not all may be out on one."""
        self.rig.script = [None] * 8
        for number in range(8):
            self.send(number, f"t{number}")
            yield self.rig.wait_until(lambda number=number: len(self.rig.received_requests) == number + 1)
            yield self.rig.wait_until(lambda: self.rig.pool.upstreams["edge1"].connect_attempt is None)
        self.assertEqual(sorted(len(each.streams) for each in self.rig.pool.connections), [2, 3, 3])

    @inlineCallbacks
    def test_where_no_connection_has_room_more_are_opened_up_to_a_bound(self) -> Any:
        """Four of 32 streams are less than a large box's share at the peak: the rest was refused unsent."""
        streams = self.rig.pool.context.limits.max_streams
        room = streams * MAX_CONNECTIONS_IF_EXHAUSTED
        self.rig.script = [None] * (room + 1)
        for number in range(room):
            self.send(number, f"t{number}")
            yield self.rig.wait_until(lambda number=number: len(self.rig.received_requests) == number + 1)
            yield self.rig.wait_until(lambda: self.rig.pool.upstreams["edge1"].connect_attempt is None)
        self.assertEqual(
            [len(each.streams) for each in self.rig.pool.connections],
            [streams] * MAX_CONNECTIONS_IF_EXHAUSTED,
        )
        self.send(room, "past")
        self.assertEqual(self.told, [(room, api.AttemptStatus.NOT_STARTED, None)])

    @inlineCallbacks
    def test_a_connection_gets_worn_by_what_is_given_up_on_it(self) -> Any:
        """The idents of what was given up are kept, for its late answers; so many, and no more."""
        for number in range(MAX_CANCELLED_IDS + 1):
            self.rig.script = [None]
            self.send(number, f"t{number}")
            yield self.rig.wait_until(lambda number=number: len(self.rig.received_requests) == number + 1)
            if number:
                self.rig.pool.cancel(number)
        self.rig.script = [(b"DONE", b"x")]
        self.send(9999, "next")
        yield self.rig.wait_until(lambda: self.told)
        self.assertIsNot(self.rig.received_requests[-1][0], self.rig.received_requests[0][0])


class MetricsTest(TestCase):
    timeout = 20

    @inlineCallbacks
    def test_figures_arrive_at_both(self) -> Any:
        rig, lines, packets, counters = make_loopback_environment(), Deferred(), Deferred(), Counters()
        self.addCleanup(rig.stop)
        counters.attempt_ended(api.AttemptStatus.SUCCEEDED, 12.5)

        class Graphite(HttpClient):
            def dataReceived(self, data: bytes) -> None:  # noqa: N802
                lines.callback(data.decode())
                self.transport.loseConnection()

        class Collectd(protocol.DatagramProtocol):
            def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
                packets.callback(datagram)

        tcp = reactor.listenTCP(0, BuildFactory(Graphite), interface="127.0.0.1")
        udp = reactor.listenUDP(0, Collectd(), interface="127.0.0.1")
        source = MetricsSource(counters, "n1", 10.0)
        deadlines = rig.timer_service.deadlines
        metrics = MetricsExporter(reactor, deadlines, core_ms, lambda: 10.5, source)
        metrics.add_graphite(("127.0.0.1", tcp.getHost().port), "tj")
        metrics.add_collectd(("127.0.0.1", udp.getHost().port))
        metrics.start()
        yield rig.wait_until(lambda: metrics.graphite.state is ConnectionState.CONNECTED)
        metrics.export()
        told = yield lines
        self.assertIn("tj.n1.attempts.done.count 1 10\n", told)
        self.assertIn("tj.n1.attempts.done.mean_ms 12.5 10\n", told)
        packet = yield packets
        self.assertEqual(collectd_values(packet), [1, 12.5, 12.5])
        yield rig.wait_until(lambda: metrics.graphite.state is ConnectionState.DISCONNECTED)
        for port in (tcp, udp, metrics.collectd_port):
            yield port.stopListening()


def test_the_program_serves_check_reloads_and_drains(tmp_path: Path) -> None:
    with (
        socket.socket() as free,
        socket.socket() as second,
        socket.create_server(("127.0.0.1", 0)) as channel,
        socket.create_server(("127.0.0.1", 0)) as moved,
    ):
        free.bind(("127.0.0.1", 0))
        second.bind(("127.0.0.1", 0))
        listen, door = bound_address(free), bound_address(second)
        free.close()
        second.close()
        config = CONFIG | {
            "listen": listen,
            "channel": bound_address(channel),
            "known": {"cursor": 3, "cmds": []},
        }
        config["admin_addr"] = door
        path = tmp_path / "config.json"
        path.write_text(json.dumps(config))
        command = [sys.executable, "-m", "thornjunction"]
        env = os.environ | {"PROXY_CONFIG": str(path)}
        program = subprocess.Popen(command, env=env, cwd=ROOT, stderr=subprocess.PIPE)
        try:
            told = channel.accept()[0]  # it dials the channel just before it listens
            assert told.recv(25) == b"GET /cmd/next?resume=3&bl"
            client = connect_when_listening(listen)
            client.sendall(asked(1, {"SCRIPT_NAME": "/check"}, b""))
            records, reader = [], fastcgi.RecordReader()
            while not records or records[-1].kind != fastcgi.RecordType.END:
                records += reader.feed(client.recv(4096))
            assert records[0].content == b"Status: 200\r\n\r\n"
            assert call_admin(door, "check") == "ACK\n" and call_admin(door, "drain-on") == "ACK\n"
            assert call_admin(door, "check") == "NAK\n" and call_admin(door, "drain-off") == "ACK\n"
            assert "router.cfg_invalid=0\n" in call_admin(door, "vars")
            assert call_admin(door, "fleet").startswith("NAK") and not udp_sockets(program.pid)
            path.write_text("{")
            program.send_signal(signal.SIGHUP)
            assert program.stderr is not None
            while b"reload_rejected" not in (line := program.stderr.readline()):
                assert line, "ended on SIGHUP"
            assert str(path).encode() in line
            moved.settimeout(20)
            path.write_text(json.dumps(config | {"channel": bound_address(moved)}))
            program.send_signal(signal.SIGHUP)
            assert "router.cfg_invalid=1\n" in call_admin(door, "vars")
            assert moved.accept()[0].recv(25) == b"GET /cmd/next?resume=3&bl"
            told.close()
            program.send_signal(signal.SIGTERM)
            assert client.recv(1) == b"" and program.wait(20) == 0
            client.close()
        finally:
            program.kill()
            program.communicate()


def udp_sockets(pid: int) -> set[str]:
    """What a process holds of them, by inode."""
    held = {os.readlink(fd) for fd in Path(f"/proc/{pid}/fd").iterdir() if fd.is_symlink()}
    rows = Path(f"/proc/{pid}/net/udp").read_text().splitlines()[1:]
    return {f"socket:[{row.split()[9]}]" for row in rows} & held


def test_a_faulty_configuration_is_named_and_ends_with_two(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text("{}")
    command, env = [sys.executable, "-m", "thornjunction"], os.environ | {"PROXY_CONFIG": str(path)}
    ended = subprocess.run(command, env=env, cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert ended.returncode == 2 and "'limits' is missing" in ended.stderr


def test_a_router_without_extras_pays_for_none_of_their_libraries() -> None:
    code = "import sys, thornjunction.program, thornjunction.runtime.service; print(*sys.modules)"
    loaded = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True, text=True).stdout
    assert "twisted" in loaded.split()
    assert not {"click", "ijson", "joserfc", "msgspec", "re2"} & set(loaded.split())
    assert not [name for name in loaded.split() if name.startswith("fleet_") or name.endswith(".fleet")]
    assert not [name for name in loaded.split() if name.startswith(("control_", "sortedcontainers"))]
    of_control = "net.relay", "runtime.relay", "relay_status", "control_settings", "wire.polls"
    assert not [name for name in loaded.split() if name.endswith(of_control)]
