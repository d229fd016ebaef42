"""The drain of client connections, tested with a fake clock, core and transport."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.net.downstream.builders import FASTCGI, SERVED, ClientConnections, Front, both_fronts
from thornjunction.net.event_loop.disconnect_reasons import DisconnectReason
from thornjunction.runtime.drain import ANSWER_DELAY_MS, REFUSE_AFTER_MS, SWEEP_INTERVAL_MS, Drain

# Delay from the start of the drain until it begins to close connections.
START_DELAY_MS = 100.0


@pytest.fixture
def clients() -> ClientConnections:
    return ClientConnections()


def make_drain(clients: ClientConnections, answer_all_now: Callable[[], None] = lambda: None) -> Drain:
    return Drain(clients.table, clients.clock.deadlines, clients.clock, answer_all_now)


@both_fronts
def test_a_drain_closes_idle_connections_first_and_busy_ones_after_their_response(
    front: Front, clients: ClientConnections
) -> None:
    """An idle connection closes at the first sweep, a busy one once its request is answered.

    A new connection stays open until its first request is answered.
    """
    drain = make_drain(clients)
    idle, busy, new = (clients.connect(front) for _ in range(3))
    idle.dataReceived(front.request())
    clients.core.replies[0](SERVED)
    busy.dataReceived(front.request())
    drain.start(START_DELAY_MS)
    assert drain.is_active
    assert [connection.end_reason for connection in (idle, busy, new)] == ["", "", ""]
    clients.clock.advance(START_DELAY_MS)
    assert [connection.end_reason for connection in (idle, busy, new)] == [DisconnectReason.DRAINED, "", ""]
    assert not drain.is_refusing
    clients.clock.advance(REFUSE_AFTER_MS - START_DELAY_MS)
    assert drain.is_refusing
    clients.core.replies[1](SERVED)
    clients.clock.advance(SWEEP_INTERVAL_MS)
    assert busy.end_reason == DisconnectReason.DRAINED
    assert new.end_reason == ""
    drain.stop()
    new.dataReceived(front.request())
    clients.core.replies[2](SERVED)
    clients.clock.advance(5 * SWEEP_INTERVAL_MS)
    assert new.end_reason == ""
    assert not drain.is_active
    assert not drain.is_refusing


def test_a_drain_answers_open_requests_after_the_answer_delay(clients: ClientConnections) -> None:
    """Guards against a request whose answer is lost: its connection refused all others until its deadline."""
    answered_at_ms: list[float] = []
    drain = make_drain(clients, lambda: answered_at_ms.append(clients.clock.now_ms))
    started_ms = clients.clock.now_ms
    drain.start(0.0)
    clients.clock.advance(REFUSE_AFTER_MS + ANSWER_DELAY_MS - 1.0)
    assert drain.is_refusing
    assert not answered_at_ms
    clients.clock.advance(SWEEP_INTERVAL_MS + 1.0)
    assert answered_at_ms
    assert answered_at_ms[0] >= started_ms + REFUSE_AFTER_MS + ANSWER_DELAY_MS


@pytest.mark.parametrize("answered", [False, True])
def test_starting_an_active_drain_restarts_it(answered: bool, clients: ClientConnections) -> None:
    drain = make_drain(clients)
    drain.start(500.0)
    drain.start(0.0 if answered else 900.0)
    connection = clients.connect(FASTCGI)
    connection.dataReceived(FASTCGI.request())
    clients.core.replies[0](SERVED)
    clients.clock.advance(600.0)
    assert (connection.end_reason == DisconnectReason.DRAINED) is answered
