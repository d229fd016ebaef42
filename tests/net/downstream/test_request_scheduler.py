"""Connections that take turns at the core, with a fake clock."""

from __future__ import annotations

from unittest.mock import patch

from tests.net.downstream.builders import FASTCGI, ClientConnections
from thornjunction.net.downstream.request_scheduler import TIME_SLICE_MS


def test_a_queued_dispatch_that_raises_ends_its_connection_and_no_other(clients: ClientConnections) -> None:
    failing = clients.connect(FASTCGI)
    other = clients.connect(FASTCGI)
    clients.table.scheduler._slice_used_ms = TIME_SLICE_MS  # both wait for the next slice
    for connection in (failing, other):
        connection.dataReceived(FASTCGI.request())
    with patch.object(failing, "dispatch_next", side_effect=RuntimeError("a fault in the core")):
        clients.clock.advance(1.0)
    assert failing.end_reason == "failed"
    assert other.end_reason == ""
    assert len(clients.core.replies) == 1
