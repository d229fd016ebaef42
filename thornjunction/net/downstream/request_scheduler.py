"""Divides the core's time among client connections, so that the event loop detects disconnects in time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from thornjunction.log_events import LogEvent
from thornjunction.logs import get_logger
from thornjunction.memory.deadlines import Deadline, Deadlines
from thornjunction.net.event_loop.disconnect_reasons import DisconnectReason

# Requests of one connection that are dispatched before it is the next connection's turn.
REQUESTS_PER_TURN = 4

# Time for decisions between two polls of the sockets.  No request may begin 100 ms after its client has left.
TIME_SLICE_MS = 20.0

log = get_logger(__name__)


class SchedulableConnection(Protocol):
    """A connection with requests that are queued for the core."""

    deadlines: Deadlines
    clock: Callable[[], float]

    def queue_pending_input(self) -> None:
        """Read the bytes that arrived since the event loop last read, and queue their requests."""

    def dispatch_next(self) -> bool:
        """Give the next queued request to the core; return whether more are queued."""

    def queued_since_ms(self) -> float:
        """Return when the oldest queued request was queued, on the core's clock."""

    def abort(self, reason: str) -> None:
        """Reset the connection."""


class RequestScheduler:
    """Dispatches the queued requests of all connections in turns, within time slices.

    Guards against bursts of requests that keep the process from polling its sockets, so that requests are
    served whose clients have left in the meantime.
    """

    def __init__(self) -> None:
        # The time since when the oldest queued request of each connection waits, in ms of the core's clock.
        self._waiting_since: dict[SchedulableConnection, float] = {}
        self._slice_used_ms = 0.0
        self._next_slice: Deadline | None = None

    def longest_wait_ms(self, now_ms: float) -> float:
        """Return the longest time for which a request has been waiting, in ms; 0 if none waits."""
        return now_ms - min(self._waiting_since.values(), default=now_ms)

    def submit(self, connection: SchedulableConnection) -> None:
        """Dispatch a connection's first requests if none waits; queue it if it has more, or another waits."""
        if connection in self._waiting_since:
            return
        if self._waiting_since:
            self._waiting_since[connection] = connection.queued_since_ms()
        else:
            self._dispatch(connection)

    def remove(self, connection: SchedulableConnection) -> None:
        """Remove a connection that has ended."""
        self._waiting_since.pop(connection, None)

    def _dispatch(self, connection: SchedulableConnection) -> None:
        """Dispatch the requests of a connection's turn, unless the time slice is used up before."""
        began_ms = connection.clock()
        has_more = True
        connection.queue_pending_input()
        for _ in range(REQUESTS_PER_TURN):
            if not has_more or self._slice_used_ms >= TIME_SLICE_MS:
                break
            has_more = connection.dispatch_next()
            now_ms = connection.clock()
            self._slice_used_ms += now_ms - began_ms
            began_ms = now_ms
        if has_more:
            self._waiting_since[connection] = connection.queued_since_ms()
            self._schedule_slice(connection)

    def _schedule_slice(self, connection: SchedulableConnection) -> None:
        if self._next_slice is None:
            self._next_slice = connection.deadlines.add(connection.clock(), self._run_slice)

    def _run_slice(self) -> None:
        """Use the next time slice, after the event loop has polled its sockets."""
        self._next_slice = None
        self._slice_used_ms = 0.0
        while self._waiting_since and self._slice_used_ms < TIME_SLICE_MS:
            connection = next(iter(self._waiting_since))
            del self._waiting_since[connection]
            try:
                self._dispatch(connection)
            except Exception:  # ends this connection, as Twisted would, and not the others in this slice
                log.exception(LogEvent.QUEUED_REQUEST_FAILED)
                connection.abort(DisconnectReason.HANDLER_FAILED)
        if self._waiting_since:
            self._schedule_slice(next(iter(self._waiting_since)))
