"""Limits on the bytes that connections buffer: partial requests and unread responses, with a fake clock."""

from __future__ import annotations

import pytest

from tests.net.downstream.builders import SERVED, SIGNED, ClientConnections, Front, both_fronts
from thornjunction.core.ports import Content, Served
from thornjunction.net.downstream.lingering_close import MAX_DISCARDED_BYTES
from thornjunction.net.wire import fastcgi

LIMIT_BYTES = 5000
GARBAGE = b"no request\r\n\r\n"


@both_fronts
def test_partial_requests_and_unread_responses_share_one_budget(front: Front) -> None:
    clients = ClientConnections(limit_bytes=LIMIT_BYTES)
    small = clients.connect(front)
    large = clients.connect(front)
    reader = clients.connect(front)
    partial_request = front.request()[:30]
    small.dataReceived(partial_request)
    reader.dataReceived(front.request())
    reader.transport.stop_reading()
    clients.core.replies[0](Served(Content(bytes(2000))))
    assert clients.table.budget.reserved_bytes > 2000
    large.dataReceived(
        partial_request + b"x" * 4000
        if front is SIGNED
        else fastcgi.HEADER.pack(1, fastcgi.RecordType.PARAMS, 1, 65_535, 0) + bytes(4000)
    )
    assert small.end_reason == ""
    assert large.end_reason == "memory"
    assert reader.end_reason == ""
    reader.transport.read_all()
    small.abort("done")
    for connection in (small, large, reader):
        connection.connectionLost()
    assert clients.table.budget.reserved_bytes == 0
    assert len(clients.table) == 0


@both_fronts
@pytest.mark.parametrize("extra_input", ["part", "garbage"])
def test_a_client_that_sends_endlessly_gets_the_response_to_its_complete_request(
    front: Front, extra_input: str
) -> None:
    """A partial request that exceeds the byte budget, and garbage that exceeds the discard limit."""
    clients = ClientConnections(limit_bytes=LIMIT_BYTES)
    connection = clients.connect(front)
    connection.dataReceived(front.request())
    connection.dataReceived(front.partial_request + bytes(6000) if extra_input == "part" else GARBAGE)
    connection.dataReceived(bytes(MAX_DISCARDED_BYTES))
    assert connection.transport.value() == b"" or extra_input == "part"
    connection.dataReceived(b"x")
    assert connection.transport.is_write_shut
    assert connection.transport.value().count(front.failed_response) == 1
    assert not connection.has_open_request()
    assert clients.table.budget.reserved_bytes == 0


@both_fronts
def test_a_client_that_never_reads_is_disconnected_although_it_sends_requests(
    clients: ClientConnections, front: Front
) -> None:
    connection = clients.connect(front)
    connection.transport.stop_reading()
    for _ in range(5):
        connection.dataReceived(front.request())
        clients.core.replies[-1](SERVED)
        connection.pauseProducing()
        clients.clock.advance(2500.0)
    assert connection.end_reason == "stalled"
