"""A reactor that handles the events of clients before those of servers.

A server's response may cause a retry, and a newly established connection a first attempt, while the client's
disconnect is still unread on another socket.  Each iteration therefore handles the events of accepted
connections first, then spends a bounded time on all others; late timers run only after the accepted
connections have been polled again.
"""

from __future__ import annotations

import errno
import time
from typing import Any

from twisted.internet import tcp
from twisted.internet.epollreactor import EPollReactor
from twisted.python import log

# Time for events of other sockets in one iteration.  No attempt may start 0.1 s after its client has left.
MAX_OTHER_EVENTS_S = 0.03

# Age of the last poll of the accepted connections up to which timers run without another poll.
MAX_POLL_AGE_S = 0.03


class ClientPriorityReactor(EPollReactor):
    """Twisted's epoll reactor, which handles the events of clients first.

    The next iteration handles the events left over from this one right after those of clients.
    """

    clock = staticmethod(time.monotonic)
    _polled_at_s = 0.0

    def __init__(self) -> None:
        self._deferred_descriptors: list[int] = []
        super().__init__()  # type: ignore[no-untyped-call]

    def doPoll(self, timeout: float | None) -> None:  # noqa: N802
        """Wait for events and handle them by priority (called by Twisted)."""
        events = self._poll(timeout)
        if events:  # most iterations of an idle process only run timers
            self._handle_clients(events)
            self._handle_others(events)
        else:
            self._deferred_descriptors.clear()

    doIteration = doPoll  # noqa: N815

    def runUntilCurrent(self) -> None:  # noqa: N802
        """Run due timers; if the last poll is old, handle the clients' events first (called by Twisted)."""
        if self.clock() - self._polled_at_s > MAX_POLL_AGE_S:
            self._handle_clients(self._poll(0.0))
        super().runUntilCurrent()

    def _poll(self, timeout: float | None) -> dict[int, int]:
        """Return the events by descriptor, deferred descriptors first."""
        wait_s = -1 if timeout is None else timeout
        try:
            ready = dict(self._poller.poll(wait_s, max(len(self._selectables), 1)))
        except OSError as error:
            if error.errno != errno.EINTR:
                raise
            ready = {}
        self._polled_at_s = self.clock()
        if not self._deferred_descriptors:
            return ready
        deferred = {
            descriptor: ready[descriptor] for descriptor in self._deferred_descriptors if descriptor in ready
        }
        return deferred | ready

    def _handle_clients(self, events: dict[int, int]) -> None:
        selectables = self._selectables
        clients = [descriptor for descriptor in events if isinstance(selectables.get(descriptor), tcp.Server)]
        for descriptor in clients:
            self._handle(descriptor, events.pop(descriptor))

    def _handle_others(self, events: dict[int, int]) -> None:
        end_s = self.clock() + MAX_OTHER_EVENTS_S
        while events:
            descriptor = next(iter(events))
            self._handle(descriptor, events.pop(descriptor))
            if self.clock() > end_s:
                break
        self._deferred_descriptors = list(events)

    def _handle(self, descriptor: int, event: int) -> None:
        selectable = self._selectables.get(descriptor)
        if selectable is not None:
            call_with_logger: Any = log.callWithLogger
            call_with_logger(selectable, self._doReadOrWrite, selectable, descriptor, event)
