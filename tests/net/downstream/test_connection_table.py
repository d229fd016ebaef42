"""A full table of client connections: which are evicted and which are rejected, with a fake clock."""

from __future__ import annotations

from typing import Any

from tests.net.downstream.builders import ClientConnections, Front, both_fronts
from thornjunction.core.ports import Rejected
from thornjunction.net.downstream.connection_state import ConnectionState


def fill_with_open_requests(clients: ClientConnections, front: Front) -> list[Any]:
    """Return connections in all slots, each with an open request."""
    connections = [clients.connect(front) for _ in range(3)]
    for connection in connections:
        connection.dataReceived(front.request())
    return connections


def assert_first_request_is_rejected(clients: ClientConnections, front: Front) -> None:
    """Check that a connection over capacity stays until its request is received and rejected, then ends."""
    connection = clients.connect(front)
    request = front.request()
    connection.dataReceived(request[:20])
    assert connection.state is ConnectionState.OVER_CAPACITY
    assert connection.end_reason == ""
    assert not connection.transport.is_write_shut
    connection.dataReceived(request[20:])
    assert connection.state is ConnectionState.LINGERING
    assert connection.end_reason == "table-full"
    assert connection.transport.is_write_shut
    assert front.rejected_response in connection.transport.value()


@both_fronts
def test_a_full_table_rejects_a_new_connection_and_evicts_the_longest_idle_one(
    clients: ClientConnections, front: Front
) -> None:
    connections = fill_with_open_requests(clients, front)
    assert_first_request_is_rejected(clients, front)
    for place in (2, 0, 1):
        clients.core.replies[place](Rejected(0.0))
    connections[2].dataReceived(front.request())
    assert clients.connect(front).end_reason == ""
    assert [connection.end_reason for connection in connections] == ["evicted", "", ""]
    assert clients.connect(front).end_reason == ""
    assert [connection.end_reason for connection in connections] == ["evicted", "evicted", ""]
    assert len(clients.table) == 3
