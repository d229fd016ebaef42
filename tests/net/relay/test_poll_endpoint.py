"""A relay's listening side on real loopback connections: what a poll may be, and what a peer may cost."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import pytest
from fakes.event_loop import wait_until
from twisted.internet import reactor as _reactor
from twisted.internet.defer import inlineCallbacks
from twisted.trial.unittest import TestCase

from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.event_loop.transport import BuildFactory
from thornjunction.net.relay.poll_endpoint import LOOK_MS, MAX_HEAD, PIECE, SILENT_MS, UNREAD_MS, PollerTable
from thornjunction.net.wire import ProtocolError
from thornjunction.net.wire.commands import encode_host, parse_commands
from thornjunction.net.wire.polls import MAX_PAIRS, Poll, decode_poll

reactor: Any = _reactor
POLL = b"GET /cmd/next?resume=3&block=1200 HTTP/1.1\r\nHost: x\r\n\r\n"


def test_a_poll_is_read() -> None:
    assert decode_poll("/cmd/next?resume=3&block=1200") == Poll(3, 1200)
    assert decode_poll("/cmd/next?resume=3&block=99999&more=1") == Poll(3, 5000)
    told = decode_poll(
        "/cmd/next?resume=3&block=5&epoch=e-1.x&as=relay&name=r_1&done=2&behind=7&names=a%2Cb,c"
    )
    assert told == Poll(3, 5, "e-1.x", "relay", "r_1", 2, 7, ("a", "b", "c"))
    assert told.without_waiting().block_ms == 0


BAD = {
    "resume=": "poll-resume",
    "block=5": "poll-resume",
    "resume=-1": "poll-resume",
    "resume=1.5": "poll-resume",
    "resume=٣": "poll-resume",
    "resume=9999999999999999": "poll-resume",
    "resume=1&block=x": "poll-block",
    "resume=1&resume=2": "poll-pairs",
    "resume=1&as=king": "poll-as",
    "resume=1&epoch=a%20b": "poll-epoch",
    "resume=1&name=" + "x" * 33: "poll-name",
    "resume=1&done=x": "poll-done",
    "resume=1&behind=x": "poll-behind",
    "resume=1&names=" + ",".join("abcdefghi"): "poll-names",
    "resume=1&names=a,,b": "poll-names",
    "resume=1&x=" + "x" * 1024: "poll-size",
    "&".join(["resume=1", *(f"k{number}=1" for number in range(MAX_PAIRS))]): "poll-pairs",
}


@pytest.mark.parametrize("query", BAD)
def test_what_is_no_poll_is_named(query: str) -> None:
    with pytest.raises(ProtocolError, match=BAD[query]):
        decode_poll(f"/cmd/next?{query}")
    with pytest.raises(ProtocolError, match="poll-path"):
        decode_poll(f"/cmd/nex?{query}")


def heard(line: dict[str, Any]) -> Any:
    told = {"cursor": 1, "cmds": [{"cursor": 1, "nodes": {"seq": 1, "whole": True, "hosts": [line]}}]}
    return parse_commands(told)


@pytest.mark.parametrize(
    "more",
    [
        {},
        {"dial": ""},
        {"dial": "nowhere"},
        {"health": "leaving", "share": 0.5, "born_ms": 1764576000123},
        {"health": "left"},
        {"health": "unwell"},
        {"health": None, "share": "much"},
        {"block": "x", "born_ms": -5},
        {"site": "east", "more": 7},
    ],
)
def test_a_line_goes_on_as_it_was_understood(more: dict[str, Any]) -> None:
    """One with faults too: who reads it next finds the same shelf, and no fault."""
    line = {"host": "s1", "dial": "127.0.0.1:9", "site": "z", "class": "box", "health": "active", "block": 2}
    (change,) = heard(line | more).events
    told = heard(encode_host(change.hosts[0]))
    assert told.events == (change,) and not told.faults


class EndpointTest(TestCase):
    """A PollerTable on a real port, with a core that answers on command and a clock set by hand."""

    timeout = 20

    def setUp(self) -> None:
        self.now, self.deadlines = 1000.0, Deadlines()
        self.asked: list[tuple[int, Poll]] = []
        self.gone: list[int] = []
        self.clients: list[socket.socket] = []
        self.pollers = PollerTable(3, self.deadlines, lambda: self.now, self.ask, self.gone.append)
        self.port = reactor.listenTCP(0, BuildFactory(self.pollers.build), interface="127.0.0.1")
        self.addCleanup(self.stop)

    def ask(self, poller: int, poll: Poll) -> None:
        self.asked.append((poller, poll))
        if poll.block_ms == 0:
            self.pollers.answer(poller, b"{}")

    @inlineCallbacks
    def stop(self) -> Any:
        for client in self.clients:
            client.close()
        yield self.port.stopListening()
        yield wait_until(lambda: not self.pollers.links)

    def connect(self, data: bytes = b"", receive_buffer: int = 0) -> socket.socket:
        client = socket.socket()
        if receive_buffer:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        client.connect(("127.0.0.1", self.port.getHost().port))
        client.setblocking(False)
        client.sendall(data)
        self.clients.append(client)
        return client

    @inlineCallbacks
    def connected(self, data: bytes = b"", **more: int) -> Any:
        """A client that is connected and, with a poll, was heard."""
        known, asked = set(self.pollers.links), len(self.asked)
        client = self.connect(data, **more)
        yield wait_until(lambda: set(self.pollers.links) - known)
        yield wait_until(lambda: len(self.asked) > asked or data != POLL)
        (number,) = set(self.pollers.links) - known
        return client, self.pollers.links[number]

    @inlineCallbacks
    def heard(self, client: socket.socket, ends: Callable[[bytes], bool]) -> Any:
        """What comes until it ends so, or the connection does."""
        got = bytearray()

        def read() -> bool:
            try:
                data = client.recv(65_536)
            except BlockingIOError:
                return False
            except ConnectionError:
                return True
            got.extend(data)
            return not data or ends(bytes(got))

        yield wait_until(read)
        return bytes(got)

    @inlineCallbacks
    def closed(self, client: socket.socket) -> Any:
        return (yield self.heard(client, lambda _: False))

    def pass_time(self, ms: float) -> None:
        self.now += ms
        self.deadlines.run_due(self.now)

    @inlineCallbacks
    def test_polls_are_answered_one_after_another(self) -> Any:
        client, link = yield self.connected(POLL)
        for number in range(3):
            self.assertEqual(self.asked[-1], (link.number, Poll(3, 1200)))
            self.pollers.answer(link.number, b'{"n":%d}' % number)
            got = yield self.heard(client, lambda told, number=number: told.endswith(b'{"n":%d}' % number))
            self.assertTrue(got.startswith(b"HTTP/1.1 200 OK\r\n") and b"Connection" not in got)
            client.sendall(POLL)
            yield wait_until(lambda number=number: len(self.asked) == number + 2)
        self.pollers.answer(99, b"{}")  # to one that has left
        client.close()
        yield wait_until(lambda: self.gone)
        self.assertEqual((self.gone, self.pollers.budget.reserved_bytes), ([link.number or 1], 0))

    @inlineCallbacks
    def test_an_answer_of_many_pieces_comes_whole_and_the_next_poll_after_it(self) -> Any:
        client, link = yield self.connected(POLL)
        for size in (PIECE - 1, PIECE, 3 * PIECE + 1, 0):
            body = bytes(number % 251 for number in range(size))
            self.pollers.answer(link.number, body)
            told = yield self.heard(client, lambda got, body=body: got.endswith(b"\r\n\r\n" + body))
            self.assertIn(b"Content-Length: %d\r\n" % size, told)
            asked = len(self.asked)
            client.sendall(POLL)
            yield wait_until(lambda asked=asked: len(self.asked) > asked)
        self.assertEqual(self.pollers.budget.reserved_bytes, 0)

    @inlineCallbacks
    def test_no_state_is_told_and_the_connection_ends(self) -> Any:
        client, link = yield self.connected(POLL)
        self.pollers.refuse(link.number, "no-state")
        got = yield self.closed(client)
        self.assertTrue(got.startswith(b"HTTP/1.1 503 ") and b"Connection: close" in got)
        self.assertEqual(self.pollers.ends["status-503"], 1)

    @inlineCallbacks
    def test_what_is_no_poll_has_its_status_and_the_connection_ends(self) -> Any:
        bad = {
            b"GET /cmd HTTP/1.1\r\n\r\n": b"404",
            b"GET /cmd/next?resume=x HTTP/1.1\r\n\r\n": b"400",
            b"POST /cmd/next?resume=1 HTTP/1.1\r\n\r\n": b"405",
            b"GET /cmd/next?resume=1 HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello": b"413",
            b"\x00\xff\r\n\r\n": b"400",
            POLL + POLL: b"400",
            b"GET /cmd/next?resume=1 HTTP/1.1\r\na: " + b"b" * MAX_HEAD: b"431",
        }
        for data, status in bad.items():
            got = yield self.closed(self.connect(data))
            self.assertEqual((got[9:12], data), (status, data))
        self.assertEqual((self.asked, self.pollers.links), ([], {}))

    @inlineCallbacks
    def test_a_poll_before_the_answer_ends_the_connection(self) -> Any:
        client, link = yield self.connected(POLL)
        client.sendall(POLL)
        yield self.closed(client)
        self.assertEqual((link.code, self.gone, len(self.asked)), ("unanswered-poll", [1], 1))

    @inlineCallbacks
    def test_who_does_not_read_its_answer_costs_one_answer_and_is_closed(self) -> Any:
        client, link = yield self.connected(POLL, receive_buffer=4096)
        body = b"x" * 8_000_000
        self.pollers.answer(link.number, body)
        self.pass_time(LOOK_MS)
        self.assertGreater(self.pollers.budget.reserved_bytes, len(body))
        self.pass_time(UNREAD_MS)
        yield wait_until(lambda: self.gone)
        self.assertEqual((link.code, self.pollers.budget.reserved_bytes), ("unread", 0))

    @inlineCallbacks
    def test_who_does_not_read_and_asks_again_is_closed(self) -> Any:
        client, link = yield self.connected(POLL, receive_buffer=4096)
        self.pollers.answer(link.number, b"x" * 8_000_000)
        client.sendall(POLL)
        yield wait_until(lambda: self.gone)
        self.assertEqual((link.code, len(self.asked)), ("unanswered-poll", 1))

    @inlineCallbacks
    def test_unread_answers_share_a_budget(self) -> Any:
        self.pollers.budget.limit_bytes = 10_000_000
        _, first = yield self.connected(POLL, receive_buffer=4096)
        _, second = yield self.connected(POLL, receive_buffer=4096)
        self.pollers.answer(first.number, b"x" * 6_000_000)
        self.pollers.answer(second.number, b"x" * 8_000_000)
        yield wait_until(lambda: self.gone)
        self.assertEqual((first.code, second.code), ("", "memory"))

    @inlineCallbacks
    def test_who_asks_nothing_is_closed(self) -> Any:
        _, silent = yield self.connected()
        _, half = yield self.connected(POLL[:-2])
        _, asks = yield self.connected(POLL)
        self.pass_time(SILENT_MS + LOOK_MS)
        yield wait_until(lambda: len(self.gone) == 2)
        self.assertEqual((silent.code, half.code, asks.code), ("silent", "silent", ""))

    @inlineCallbacks
    def test_where_all_are_taken_the_longest_silent_one_goes_and_none_that_waits(self) -> Any:
        _, first = yield self.connected()
        self.now += 1.0
        _, second = yield self.connected()
        _, third = yield self.connected(POLL)
        _, fourth = yield self.connected(POLL)
        yield wait_until(lambda: first.code)
        _, fifth = yield self.connected(POLL)
        self.assertEqual((first.code, second.code, third.code), ("evicted", "evicted", ""))
        yield self.closed(self.connect(POLL))
        self.assertEqual(self.pollers.ends["table-full"], 1)
        self.assertEqual((third.code, fourth.code, fifth.code), ("", "", ""))

    @inlineCallbacks
    def test_at_the_end_who_waits_is_answered_with_what_there_is(self) -> Any:
        client, _ = yield self.connected(POLL)
        _, silent = yield self.connected()
        self.pollers.end()
        got = yield self.closed(client)
        self.assertTrue(got.startswith(b"HTTP/1.1 200 ") and got.endswith(b"{}"))
        self.assertIn(b"Connection: close", got)
        yield wait_until(lambda: not self.pollers.links)
        self.assertEqual(silent.code, "ending")
