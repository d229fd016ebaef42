"""Time limits of connections that send no complete request, with a fake clock."""

from __future__ import annotations

from tests.net.downstream.builders import ClientConnections, Front, both_fronts


@both_fronts
def test_a_silent_connection_and_a_partial_request_end_within_three_seconds(
    clients: ClientConnections, front: Front
) -> None:
    silent = clients.connect(front)
    partial = clients.connect(front)
    served = clients.connect_served(front)
    request = front.request()
    for _ in range(4):  # single bytes of a partial request do not count as progress
        partial.dataReceived(request[:1] if partial.partial_request_bytes() == 0 else request[1:2])
        clients.clock.advance(625.0)
    assert silent.end_reason == "silent"
    assert partial.end_reason == "half-request"
    assert served.end_reason == ""
    served.dataReceived(front.request()[:-1])
    clients.clock.advance(2500.0)
    assert served.end_reason == "half-request"
