"""Shares the core's time between clients' connections, so that the event loop hears who leaves meanwhile."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from thornjunction.log_events import LogEvent
from thornjunction.logs import get_logger
from thornjunction.memory.deadlines import Deadline, Deadlines

SLICE_MS = 20.0  # of decisions between two looks at the sockets; 100 ms after a client left none may begin

log = get_logger(__name__)


class SchedulableConnection(Protocol):
    """A connection with requests that wait for the core."""

    deadlines: Deadlines
    clock: Callable[[], float]

    def look_again(self) -> None:
        """Read what has come since."""

    def step(self) -> bool:
        """Hand the next request to the core; False where none waits."""

    def close(self, code: str) -> None: ...


class RequestScheduler:
    """Connections take turns at the core.  Guards against bursts that keep the process from its sockets: a
    client that had gone by then was still served."""

    def __init__(self) -> None:
        self._waiting: dict[SchedulableConnection, float] = {}  # and since when
        self._spent = 0.0  # of this slice
        self._next: Deadline | None = None

    def late_ms(self, now: float) -> float:
        """How long the one that waits longest has waited."""
        return now - min(self._waiting.values(), default=now)

    def take(self, link: SchedulableConnection) -> None:
        """Its requests go to the core now, where no other waits and the slice allows; else in order."""
        if link in self._waiting:
            return
        if self._waiting:
            self._waiting[link] = link.clock()
        else:
            self._work(link, link.clock())

    def leave(self, link: SchedulableConnection) -> None:
        self._waiting.pop(link, None)

    def _work(self, link: SchedulableConnection, since: float) -> None:
        began, more = link.clock(), True
        link.look_again()
        while more and self._spent < SLICE_MS:
            more = link.step()
            now = link.clock()
            self._spent, began = self._spent + now - began, now
        if more:
            self._waiting[link] = since
            self._arm(link)

    def _arm(self, link: SchedulableConnection) -> None:
        if self._next is None:
            self._next = link.deadlines.add(link.clock(), self._go_on)

    def _go_on(self) -> None:
        """The next slice, after the event loop has been to its sockets."""
        self._next, self._spent = None, 0.0
        for link, since in list(self._waiting.items()):
            if self._spent >= SLICE_MS:
                return self._arm(link)
            if self._waiting.pop(link, None) is None:  # it has left meanwhile
                continue
            try:
                self._work(link, since)
            except Exception:  # ends its connection, as Twisted does, and not all that waits for this alarm
                log.exception(LogEvent.QUEUED_REQUEST_FAILED)
                link.close("failed")
