"""Timeout of a response, extended by delays of this process itself."""

from __future__ import annotations

from collections.abc import Callable

from thornjunction.memory.deadlines import Deadline
from thornjunction.net.discovery.watch_context import WatchContext

# Longest extension of a response's deadline because this process handled the deadline late.
MAX_LOCAL_DELAY_MS = 800.0


class ResponseTimeout:
    """Calls back if no response has arrived by its deadline.

    Attributes:
        due_ms: deadline of the response, on the core's clock.
    """

    def __init__(self, context: WatchContext, on_timeout: Callable[[], None]) -> None:
        self.due_ms = 0.0
        self._clock = context.clock
        self._deadlines = context.deadlines
        self._on_timeout = on_timeout
        self._timer: Deadline | None = None

    def start(self, due_ms: float) -> None:
        """Start the timeout with this deadline; an earlier one must have been cancelled."""
        self.due_ms = due_ms
        self._timer = self._deadlines.add(due_ms, self._wait_for_local_delay)

    def cancel(self) -> None:
        """Cancel the timeout."""
        self._deadlines.cancel(self._timer)

    def _wait_for_local_delay(self) -> None:
        """Extend the deadline by the time that this process handled it late.

        If this process was delayed, the poll may have been sent late or the response may not have been read
        yet, although the source has responded in time.
        """
        now_ms = self._clock()
        local_delay_ms = min(now_ms - self.due_ms, MAX_LOCAL_DELAY_MS)
        self._timer = self._deadlines.add(now_ms + local_delay_ms, self._wait_for_sockets)

    def _wait_for_sockets(self) -> None:
        """Wait for one more iteration of the event loop, which runs deadlines before it reads sockets."""
        self._timer = self._deadlines.add(self._clock(), self._on_timeout)
