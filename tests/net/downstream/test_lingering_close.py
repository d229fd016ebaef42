"""Lingering close of client connections, with a fake clock and transport."""

from __future__ import annotations

from tests.net.downstream.builders import ClientConnections, Front, both_fronts
from thornjunction.net.downstream.lingering_close import LINGER_TIMEOUT_MS, MAX_DISCARDED_BYTES


@both_fronts
def test_a_close_discards_a_late_request_without_losing_the_last_response(
    clients: ClientConnections, front: Front
) -> None:
    """A request left unread would reset the connection, and the client would lose a response in transit."""
    connection = clients.connect_served(front)
    connection.close_if_idle()
    connection.close_if_idle()
    transport = connection.transport
    assert transport.is_write_shut
    assert not transport.disconnecting
    assert not transport.disconnected
    written = transport.value()
    connection.dataReceived(front.request())
    assert transport.value() == written
    assert len(clients.core.replies) == 1
    assert connection.partial_request_bytes() == 0
    clients.clock.advance(LINGER_TIMEOUT_MS)
    assert transport.disconnected
    assert connection.end_reason == "drained"


@both_fronts
def test_a_client_that_keeps_sending_after_a_close_is_disconnected(
    clients: ClientConnections, front: Front
) -> None:
    connection = clients.connect_served(front)
    connection.close_if_idle()
    connection.dataReceived(bytes(MAX_DISCARDED_BYTES))
    assert not connection.transport.disconnected
    connection.dataReceived(b"x")
    assert connection.transport.disconnected
