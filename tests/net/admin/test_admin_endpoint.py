"""The admin endpoint with a fake clock and transport: one call per connection, limits on time and number."""

from __future__ import annotations

from itertools import pairwise
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.net.downstream.builders import FakeClock, FakeTransport
from tests.net.wire.builders import reproducible
from thornjunction.net.admin.admin_endpoint import (
    CALL_TIMEOUT_MS,
    MAX_CONNECTIONS,
    AdminConnection,
    AdminEndpoint,
)
from thornjunction.net.event_loop.disconnect_reasons import DisconnectReason
from thornjunction.net.wire import ProtocolError
from thornjunction.net.wire.admin import MAX_LINE_BYTES, LineReader, encode_reply

PARTIAL_CALL = b"che"


def read_error(data: bytes) -> ProtocolError | None:
    """Return the error that reading the bytes raises; None if there is none."""
    try:
        LineReader().feed(data)
    except ProtocolError as error:
        return error
    return None


@given(split_points=st.lists(st.integers(0, 9), max_size=5), junk=st.binary(max_size=200))
@reproducible
def test_a_line_is_read_however_it_is_split(split_points: list[int], junk: bytes) -> None:
    data = b"drain-on\r\n"
    reader = LineReader()
    bounds = [0, *sorted(split_points), len(data)]
    *incomplete, line = [reader.feed(data[start:end]) for start, end in pairwise(bounds)]
    assert line == "drain-on"
    assert set(incomplete) <= {None}
    error = read_error(junk)
    assert error is None or (str(error) and len(junk) > MAX_LINE_BYTES)


class Callers:
    """Connections of callers to an endpoint that has the call ``check``."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        calls = {"check": lambda: encode_reply(True)}
        self.endpoint = AdminEndpoint(calls, self.clock.deadlines, self.clock)

    def connect(self, data: bytes = b"") -> Any:
        """Return a new connection that has received ``data``."""
        connection: Any = AdminConnection(self.endpoint)
        connection.makeConnection(FakeTransport())
        if data:
            connection.dataReceived(data)
        return connection


@pytest.fixture
def callers() -> Callers:
    return Callers()


def test_each_connection_carries_one_call(callers: Callers) -> None:
    connection = callers.connect(PARTIAL_CALL)
    assert connection.transport.value() == b""
    connection.dataReceived(b"ck\n")
    connection.dataReceived(b"check\n")
    assert connection.transport.value() == b"ACK\n"
    assert connection.transport.disconnecting
    assert callers.connect(b"drain\n").transport.value().startswith(b"NAK")
    assert callers.connect(b"x" * 500).code == "line-size"


def test_silent_callers_time_out_and_do_not_block_others(callers: Callers) -> None:
    silent = [callers.connect(PARTIAL_CALL if number % 2 else b"") for number in range(MAX_CONNECTIONS)]
    assert callers.connect(b"check\n").transport.value() == b"ACK\n"
    assert silent[0].code == DisconnectReason.EVICTED
    callers.clock.advance(CALL_TIMEOUT_MS)
    assert {connection.code for connection in silent[1:]} == {DisconnectReason.SILENT}
    assert not callers.endpoint.connections
