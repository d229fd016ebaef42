"""What clients' connections may cost, with a fake clock and transport; the same for both fronts."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from unittest.mock import patch

import pytest
from twisted.internet.testing import StringTransport

from tests.loopback import BASE, CLIP, TRUST
from tests.net.wire.test_codecs import PARAMS, asked
from thornjunction import interface as api
from thornjunction.core.ports import (
    Answer,
    ClientRequest,
    Content,
    Rejected,
    ReplyCallback,
    RequestTableFullError,
    Served,
)
from thornjunction.memory.budget import ByteBudget
from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.downstream.connection import DownstreamConnection
from thornjunction.net.downstream.connection_table import DownstreamTable
from thornjunction.net.downstream.fastcgi_front import MAX_MALFORMED_REQUESTS as MISUSES
from thornjunction.net.downstream.fastcgi_front import FastCgiConnection, FastCgiRequestContext
from thornjunction.net.downstream.lingering_close import LINGER_TIMEOUT_MS as LINGER_MS
from thornjunction.net.downstream.lingering_close import MAX_DISCARDED_BYTES as MAX_CROSSED
from thornjunction.net.downstream.request_scheduler import TIME_SLICE_MS as SLICE_MS
from thornjunction.net.downstream.signed_front import MAX_QUEUED_REQUESTS as MAX_WAITING
from thornjunction.net.downstream.signed_front import SignedConnection, SignedRequestContext
from thornjunction.net.wire import fastcgi
from thornjunction.signing import tokens
from thornjunction.signing.replay import ReplayWindow

FILMS = api.RequestClass("films", 500.0, 5000.0, api.Idempotency.IDEMPOTENT)


class Transport(StringTransport):
    ended = False

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        pass

    def getHandle(self) -> None:  # noqa: N802
        pass

    def loseWriteConnection(self) -> None:  # noqa: N802
        self.ended = True


class Hall:
    """A table of connections, their clock, and a core that answers when told."""

    def __init__(self, capacity: int = 3, limit: int = 1_000_000) -> None:
        self.now, self.deadlines, self.replies = 1000.0, Deadlines(), []  # type: ignore[var-annotated]
        self.turned_away: list[tuple[str, Answer]] = []
        self.full = False
        self.table = DownstreamTable(capacity, ByteBudget(limit))
        self.door = SignedRequestContext(self, {"films": FILMS}, BASE, TRUST, ReplayWindow(), lambda: 5.0)

    def open(self, call: ClientRequest, reply: ReplyCallback) -> int:
        if self.full:
            raise RequestTableFullError
        self.replies.append(reply)
        return len(self.replies)

    def turn_away(self, class_name: str, answer: Answer) -> None:
        self.turned_away.append((class_name, answer))

    def abandon(self, number: int) -> None:
        pass

    def connect(self, kind: str) -> DownstreamConnection:
        link: DownstreamConnection
        if kind == "fastcgi":
            context = FastCgiRequestContext(self, lambda: True, bytes, self.turn_away, lambda: 0.0)
            link = FastCgiConnection(self.table, self.deadlines, lambda: self.now, context)
        else:
            link = SignedConnection(self.table, self.deadlines, lambda: self.now, self.door)
        link.makeConnection(Transport())
        return link

    def wait(self, ms: float) -> None:
        end = self.now + ms
        while (due := self.deadlines.next_due()) <= end:
            self.now = max(due, self.now)
            self.deadlines.run_due(self.now)
        self.now = end


def http_request() -> bytes:
    token = tokens.issue(TRUST, "hash:" + tokens.uri_hash(BASE + CLIP), 5.0, 60)
    return f"GET {CLIP}?URISigningPackage={token} HTTP/1.1\r\nHost: h\r\n\r\n".encode()


REQUESTS: dict[str, Callable[[], bytes]] = {"fastcgi": asked, "signed": http_request}
REFUSED = {"fastcgi": fastcgi.encode_end(7, fastcgi.ProtocolStatus.OVERLOADED), "signed": b"HTTP/1.1 503"}
FAILED = {"fastcgi": b"Status: 502", "signed": b"HTTP/1.1 502"}
PART = {
    "fastcgi": fastcgi.HEADER.pack(1, fastcgi.RecordType.STDIN, 1, 65_535, 0),
    "signed": http_request()[:30],
}
both = pytest.mark.parametrize("kind", list(REQUESTS))


@both
def test_silence_and_half_a_request_end_within_three_seconds(kind: str) -> None:
    hall = Hall()
    silent, half, used = (hall.connect(kind) for _ in range(3))
    used.dataReceived(REQUESTS[kind]())
    hall.replies[0](Served(Content(b"x")))
    for _ in range(4):  # a byte now and then is no progress
        half.dataReceived(REQUESTS[kind]()[:1] if half.half_received_bytes() == 0 else REQUESTS[kind]()[1:2])
        hall.wait(625.0)
    assert (silent.end_reason, half.end_reason, used.end_reason) == ("silent", "half-request", "")
    used.dataReceived(REQUESTS[kind]()[:-1])
    hall.wait(2500.0)
    assert used.end_reason == "half-request"


@both
def test_a_full_core_rejects(kind: str) -> None:
    hall = Hall()
    hall.full = True
    link = hall.connect(kind)
    link.dataReceived(REQUESTS[kind]())
    rejected = {
        "fastcgi": fastcgi.encode_end(7, fastcgi.ProtocolStatus.OVERLOADED),
        "signed": b"HTTP/1.1 503 ",
    }
    assert rejected[kind] in link.transport.value() and not link.has_open_request() and link.end_reason == ""  # type: ignore[attr-defined]


@both
def test_where_the_table_is_full_the_longest_idle_goes(kind: str) -> None:
    hall = Hall()
    links = [hall.connect(kind) for _ in range(3)]
    for link in links:
        link.dataReceived(REQUESTS[kind]())
    late: Any = hall.connect(kind)  # each of them has an open request
    late.dataReceived(REQUESTS[kind]()[:20])
    assert late.end_reason == "" and not late.transport.ended
    late.dataReceived(REQUESTS[kind]()[20:])
    assert (
        late.end_reason == "table-full" and late.transport.ended and REFUSED[kind] in late.transport.value()
    )
    for place in (2, 0, 1):
        hall.replies[place](Rejected(0.0))
    links[2].dataReceived(REQUESTS[kind]())
    assert hall.connect(kind).end_reason == "" and [link.end_reason for link in links] == ["evicted", "", ""]
    assert hall.connect(kind).end_reason == "" and [link.end_reason for link in links] == [
        "evicted",
        "evicted",
        "",
    ]
    assert len(hall.table) == 3


@both
def test_parts_and_unread_answers_share_one_budget(kind: str) -> None:
    hall = Hall(limit=5000)
    small, large, reader = (hall.connect(kind) for _ in range(3))
    part = REQUESTS[kind]()[:30]
    small.dataReceived(part)
    reader.dataReceived(REQUESTS[kind]())
    reader.pauseProducing()
    hall.replies[0](Served(Content(bytes(2000))))
    assert hall.table.budget.reserved_bytes > 2000
    large.dataReceived(
        part + b"x" * 4000 if kind == "signed" else b"\x01\x04\x00\x01\xff\xff\x00\x00" + bytes(4000)
    )
    assert (small.end_reason, large.end_reason, reader.end_reason) == ("", "memory", "")
    reader.resumeProducing()
    small.abort("done")
    for link in (small, large, reader):
        link.connectionLost()
    assert hall.table.budget.reserved_bytes == 0 and len(hall.table) == 0


@both
@pytest.mark.parametrize("more", ["part", "garbage"])
def test_who_sends_without_end_gets_the_answer_to_what_came_whole(kind: str, more: str) -> None:
    """A part that takes up the memory; garbage beyond what may cross a close."""
    hall = Hall(limit=5000)
    link: Any = hall.connect(kind)
    link.dataReceived(REQUESTS[kind]())
    link.dataReceived(PART[kind] + bytes(6000) if more == "part" else b"no request\r\n\r\n")
    link.dataReceived(bytes(MAX_CROSSED))
    assert link.transport.value() == b"" or more == "part"
    link.dataReceived(b"x")
    assert link.transport.ended and link.transport.value().count(FAILED[kind]) == 1
    assert not link.has_open_request() and hall.table.budget.reserved_bytes == 0


def test_requests_behind_one_another_are_answered_up_to_a_bound_and_then_refused() -> None:
    hall = Hall()
    link: Any = hall.connect("signed")
    link.dataReceived(http_request() * (MAX_WAITING + 3))
    while link._current is not None:
        hall.replies[-1](Served(Content(b"x")))
    said = link.transport.value()
    assert (said.count(b"HTTP/1.1 200"), said.count(b"HTTP/1.1 503")) == (MAX_WAITING, 1)
    assert link.end_reason == "pipeline" and b"Connection: close" in said[said.index(b"HTTP/1.1 503") :]


def test_a_queued_turn_that_fails_ends_its_connection_and_no_other() -> None:
    hall = Hall()
    failing, other = (hall.connect("fastcgi") for _ in range(2))
    hall.table.scheduler._slice_used_ms = SLICE_MS  # of this turn: both wait for the next one
    for link in (failing, other):
        link.dataReceived(REQUESTS["fastcgi"]())
    with patch.object(failing, "dispatch_next", side_effect=RuntimeError("a fault in the core")):
        hall.wait(1.0)
    assert (failing.end_reason, other.end_reason, len(hall.replies)) == ("failed", "", 1)


@both
def test_a_client_that_never_reads_is_cut_off_though_it_keeps_asking(kind: str) -> None:
    hall = Hall()
    link = hall.connect(kind)
    for _ in range(5):
        link.dataReceived(REQUESTS[kind]())
        hall.replies[-1](Served(Content(b"x")))
        link.pauseProducing()
        hall.wait(2500.0)
    assert link.end_reason == "stalled"


def test_the_same_misuse_again_and_again_ends_the_connection() -> None:
    hall = Hall()
    link, bad = hall.connect("fastcgi"), asked(params=PARAMS | {"HTTP_X_ROW": "no object"})
    for _ in range(MISUSES - 1):
        link.dataReceived(bad)
    assert link.end_reason == ""
    link.dataReceived(asked())
    hall.replies[0](Served(Content(b"x")))
    for _ in range(MISUSES):
        link.dataReceived(bad * 2)
    transport: Any = link.transport
    assert link.end_reason == "misuse" and transport.value().count(b"Status: 400") == 2 * MISUSES - 1


@both
def test_a_close_reads_what_crosses_it_and_lets_the_last_answer_arrive(kind: str) -> None:
    """A request left unread would reset the connection, and the client would lose an answer on its way."""
    hall = Hall()
    link: Any = hall.connect(kind)
    link.dataReceived(REQUESTS[kind]())
    hall.replies[0](Served(Content(b"x")))
    link.close_if_idle()
    link.close_if_idle()
    assert link.transport.ended and not link.transport.disconnecting and not link.transport.disconnected
    said = link.transport.value()
    link.dataReceived(REQUESTS[kind]())
    assert link.transport.value() == said and len(hall.replies) == 1 and link.half_received_bytes() == 0
    hall.wait(LINGER_MS)
    assert link.transport.disconnected and link.end_reason == "drained"


@both
def test_a_client_that_goes_on_sending_behind_a_close_is_cut_off(kind: str) -> None:
    hall = Hall()
    link: Any = hall.connect(kind)
    link.dataReceived(REQUESTS[kind]())
    hall.replies[0](Served(Content(b"x")))
    link.close_if_idle()
    link.dataReceived(bytes(MAX_CROSSED))
    assert not link.transport.disconnected
    link.dataReceived(b"x")
    assert link.transport.disconnected


def test_an_answer_at_once_leaves_the_number_of_the_request_behind_it_alone() -> None:
    hall, gone = Hall(), []  # type: ignore[var-annotated]
    link, take, hall.abandon = hall.connect("signed"), hall.open, gone.append  # type: ignore[method-assign]

    def open_(call: ClientRequest, reply: ReplyCallback) -> int:
        number = take(call, reply)
        if number == 1:
            reply(Rejected(0.0))
        return number

    hall.open = open_  # type: ignore[method-assign]
    link.dataReceived(http_request() * 2)
    link.connectionLost()
    assert gone == [2]
