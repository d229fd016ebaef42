"""A reactor that hears clients before servers.

An answer of a server may lead to a retry, and a finished dial to a first attempt, while the end of the client
that asked for it lies unread in another socket.  So each turn first handles the events of accepted
connections, then spends a bounded time on all others; late timers wait for one more look at the clients."""

from __future__ import annotations

import errno
import time
from typing import Any

from twisted.internet import tcp
from twisted.internet.epollreactor import EPollReactor
from twisted.python import log

OTHERS_S = 0.03  # spent on other events in a turn; no attempt may begin 0.1 s after its client has left
FRESH_S = 0.03  # since accepted connections were looked at: timers run without another look


class ClientPriorityReactor(EPollReactor):
    """Twisted's epoll reactor; what is left over of a turn comes first in the next one, behind clients."""

    clock = staticmethod(time.monotonic)
    _looked_at = 0.0  # at accepted connections

    def __init__(self) -> None:
        self._left_over: list[int] = []
        super().__init__()  # type: ignore[no-untyped-call]

    def doPoll(self, timeout: float | None) -> None:  # noqa: N802
        """Wait for events, and handle them by priority."""
        events = self._poll(timeout)
        if events:  # most turns of an idle process only run timers
            self._handle_clients(events)
            self._handle_others(events)
        else:
            self._left_over.clear()

    doIteration = doPoll  # noqa: N815

    def runUntilCurrent(self) -> None:  # noqa: N802
        """Run timers, behind the clients' events where the turn before was long."""
        if self.clock() - self._looked_at > FRESH_S:
            self._handle_clients(self._poll(0.0))
        super().runUntilCurrent()

    def _poll(self, timeout: float | None) -> dict[int, int]:
        """Events by descriptor, with those left over at the front."""
        try:
            ready = dict(
                self._poller.poll(-1 if timeout is None else timeout, max(len(self._selectables), 1))
            )
        except OSError as error:
            if error.errno != errno.EINTR:
                raise
            ready = {}
        self._looked_at = self.clock()
        if not self._left_over:
            return ready
        first = {fd: ready[fd] for fd in self._left_over if fd in ready}
        return first | ready

    def _handle_clients(self, events: dict[int, int]) -> None:
        for fd in [fd for fd in events if isinstance(self._selectables.get(fd), tcp.Server)]:
            self._handle(fd, events.pop(fd))

    def _handle_others(self, events: dict[int, int]) -> None:
        until = self.clock() + OTHERS_S
        while events:
            fd = next(iter(events))
            self._handle(fd, events.pop(fd))
            if self.clock() > until:
                break
        self._left_over = list(events)

    def _handle(self, fd: int, event: int) -> None:
        selectable = self._selectables.get(fd)
        if selectable is not None:
            call_logged: Any = log.callWithLogger
            call_logged(selectable, self._doReadOrWrite, selectable, fd, event)
