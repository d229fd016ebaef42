"""Time slices of connections whose requests wait for the core, with a fake clock."""

from __future__ import annotations

from unittest.mock import patch

from tests.net.downstream.builders import FASTCGI, ClientConnections
from thornjunction.net.downstream.request_scheduler import TIME_SLICE_MS


def test_an_exception_in_a_queued_dispatch_ends_only_its_connection(clients: ClientConnections) -> None:
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
