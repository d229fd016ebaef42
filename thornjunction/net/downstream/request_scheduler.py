"""Divides the core's time among client connections, so that the event loop detects disconnects in time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from thornjunction.log_events import LogEvent
from thornjunction.logs import get_logger
from thornjunction.memory.deadlines import Deadline, Deadlines
from thornjunction.net.event_loop.disconnect_reasons import DisconnectReason

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

    def abort(self, reason: str) -> None:
        """Reset the connection."""


class RequestScheduler:
    """Dispatches the queued requests of all connections in time slices.

    Guards against bursts of requests that keep the process from polling its sockets, so that requests are
    served whose clients have left in the meantime.
    """

    def __init__(self) -> None:
        # The time at which each connection began to wait, in ms of the core's clock.
        self._waiting_since: dict[SchedulableConnection, float] = {}
        self._slice_used_ms = 0.0
        self._next_slice: Deadline | None = None

    def longest_wait_ms(self, now_ms: float) -> float:
        """Return the longest time for which a connection has been waiting, in ms; 0 if none waits."""
        return now_ms - min(self._waiting_since.values(), default=now_ms)

    def submit(self, connection: SchedulableConnection) -> None:
        """Dispatch a connection's requests if none waits, until the time slice is used up; else queue it."""
        if connection in self._waiting_since:
            return
        if self._waiting_since:
            self._waiting_since[connection] = connection.clock()
        else:
            self._dispatch(connection, connection.clock())

    def remove(self, connection: SchedulableConnection) -> None:
        """Remove a connection that has ended."""
        self._waiting_since.pop(connection, None)

    def _dispatch(self, connection: SchedulableConnection, waiting_since_ms: float) -> None:
        began_ms = connection.clock()
        has_more = True
        connection.queue_pending_input()
        while has_more and self._slice_used_ms < TIME_SLICE_MS:
            has_more = connection.dispatch_next()
            now_ms = connection.clock()
            self._slice_used_ms += now_ms - began_ms
            began_ms = now_ms
        if has_more:
            self._waiting_since[connection] = waiting_since_ms
            self._schedule_slice(connection)

    def _schedule_slice(self, connection: SchedulableConnection) -> None:
        if self._next_slice is None:
            self._next_slice = connection.deadlines.add(connection.clock(), self._run_slice)

    def _run_slice(self) -> None:
        """Use the next time slice, after the event loop has polled its sockets."""
        self._next_slice = None
        self._slice_used_ms = 0.0
        for connection, waiting_since_ms in list(self._waiting_since.items()):
            if self._slice_used_ms >= TIME_SLICE_MS:
                self._schedule_slice(connection)
                return
            if self._waiting_since.pop(connection, None) is None:  # it ended during this slice
                continue
            try:
                self._dispatch(connection, waiting_since_ms)
            except Exception:  # ends this connection, as Twisted would, and not the others in this slice
                log.exception(LogEvent.QUEUED_REQUEST_FAILED)
                connection.abort(DisconnectReason.HANDLER_FAILED)
