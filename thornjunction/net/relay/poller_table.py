"""The bounded table of the connections that poll a relay."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from http import HTTPStatus

from twisted.internet import protocol

from thornjunction.log_events import LogEvent
from thornjunction.log_thinning import is_power_of_two
from thornjunction.logs import get_logger
from thornjunction.memory.budget import ByteBudget
from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.event_loop.disconnect_reasons import ConnectionKind, DisconnectReason
from thornjunction.net.relay.poller_connection import PollerConnection, PollerState
from thornjunction.net.wire.polls import Poll

# Time between two checks of all connections' timeouts.
CHECK_INTERVAL_MS = 1_000.0
# Bytes of responses buffered for all connections; beyond it, the connection with the most is evicted.  A
# complete list of 440 servers for 1,200 routers that poll at once is 94 MB, most of which is shared.
MAX_BUFFERED_BYTES = 128 << 20

log = get_logger(__name__)

HandlePoll = Callable[[int, Poll], None]
HandleDisconnect = Callable[[int], None]


class PollerTable:
    """The open connections of a relay.

    Attributes:
        max_connections: largest number of open connections.
        connections: the open connections by number.
        budget: budget for the bytes that all connections buffer.
        end_counts: numbers of ended connections and of rejected polls, by reason.
        is_draining: whether the relay is shutting down.
    """

    def __init__(
        self,
        max_connections: int,
        deadlines: Deadlines,
        clock: Callable[[], float],
        handle_poll: HandlePoll,
        handle_disconnect: HandleDisconnect,
    ) -> None:
        self.max_connections = max_connections
        self.clock = clock
        self.connections: dict[int, PollerConnection] = {}
        self.budget = ByteBudget(MAX_BUFFERED_BYTES)
        self.end_counts = Counter[str]()
        self.is_draining = False
        self._deadlines = deadlines
        self._handle_poll = handle_poll
        self._handle_disconnect = handle_disconnect
        self._last_number = 0
        self._check_timeouts()

    def build_connection(self) -> protocol.Protocol:
        """Return the protocol of a new connection, for a listening port."""
        return PollerConnection(self)

    def add(self, connection: PollerConnection) -> int | None:
        """Add a connection, and return its number; None if there is no slot for it."""
        if len(self.connections) >= self.max_connections and not self._evict_idle():
            return None
        self._last_number += 1
        self.connections[self._last_number] = connection
        return self._last_number

    def remove(self, number: int) -> None:
        """Remove a connection, and release its slot."""
        self.connections.pop(number, None)
        self._handle_disconnect(number)

    def handle_poll(self, number: int, poll: Poll) -> None:
        """Pass a poll to the relay's engine."""
        self._handle_poll(number, poll)

    def respond(self, poller: int, body: bytes) -> None:
        """Send the response to a connection's poll, unless the connection has ended."""
        connection = self.connections.get(poller)
        if connection is not None:
            connection.respond(HTTPStatus.OK, body)

    def reject(self, poller: int, reason: str) -> None:
        """Reject the poll of a connection with 503, so that the poller switches to another source."""
        self.end_counts[f"refused-{reason}"] += 1
        connection = self.connections.get(poller)
        if connection is not None:
            connection.respond(HTTPStatus.SERVICE_UNAVAILABLE, b"")

    def drain(self) -> None:
        """Close connections without a pending poll, and answer pending polls with the current state."""
        self.is_draining = True
        for number, connection in list(self.connections.items()):
            if connection.poll is None:
                connection.close_gracefully(DisconnectReason.RELAY_ENDING)
            else:
                self._handle_poll(number, connection.poll.without_waiting())

    def record_end(self, reason: str) -> None:
        """Count the end of a connection, and log the first, second, fourth, eighth and so on of its reason.

        The thinning protects the log from a flood of such connections.
        """
        self.end_counts[reason] += 1
        count = self.end_counts[reason]
        if is_power_of_two(count):
            log.info(
                LogEvent.CONNECTION_CLOSED,
                kind=ConnectionKind.POLLER,
                code=str(reason),
                count=count,
                open_connections=len(self.connections),
            )

    def _evict_idle(self) -> bool:
        """Close the longest idle connection without a poll, and return whether there was one.

        Without eviction, callers that connect and never poll could take all slots from the routers.
        """
        longest_idle = min(self.connections.values(), key=_eviction_order)
        if longest_idle.state is PollerState.AWAITING_RESPONSE:
            return False
        longest_idle.close(DisconnectReason.EVICTED)
        return True

    def _check_timeouts(self) -> None:
        now_ms = self.clock()
        for connection in list(self.connections.values()):
            connection.check_timeouts(now_ms)
        self._deadlines.add(now_ms + CHECK_INTERVAL_MS, self._check_timeouts)


def _eviction_order(connection: PollerConnection) -> tuple[bool, float]:
    """Sort key: connections without a pending poll first, and among them the longest idle one."""
    return connection.state is PollerState.AWAITING_RESPONSE, connection.last_activity_ms
