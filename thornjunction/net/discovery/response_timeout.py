"""The deadline of a response, which allows for delays of this process."""

from __future__ import annotations

from collections.abc import Callable

from thornjunction.memory.deadlines import Deadline
from thornjunction.net.discovery.watch_context import WatchContext

# A response may be late by this much more where this process was late itself.
MAX_LOCAL_DELAY_MS = 800.0


class ResponseTimeout:
    """Reports that a response did not come in time.

    Attributes:
        due_ms: when the response is due, on the core's clock.
    """

    def __init__(self, context: WatchContext, on_timeout: Callable[[], None]) -> None:
        self.due_ms = 0.0
        self._clock = context.clock
        self._deadlines = context.deadlines
        self._on_timeout = on_timeout
        self._timer: Deadline | None = None

    def start(self, due_ms: float) -> None:
        """Expect a response by that time; an earlier deadline must have been cancelled."""
        self.due_ms = due_ms
        self._timer = self._deadlines.add(due_ms, self._wait_for_local_delay)

    def cancel(self) -> None:
        """Expect no response any more."""
        self._deadlines.cancel(self._timer)

    def _wait_for_local_delay(self) -> None:
        """Wait as long again as this process was late.

        Guards a source that has responded against a delay of this process, by which the poll went out late or
        the response was not read yet.
        """
        now_ms = self._clock()
        local_delay_ms = min(now_ms - self.due_ms, MAX_LOCAL_DELAY_MS)
        self._timer = self._deadlines.add(now_ms + local_delay_ms, self._wait_for_sockets)

    def _wait_for_sockets(self) -> None:
        """Wait one more turn of the event loop, for it runs deadlines before it reads sockets."""
        self._timer = self._deadlines.add(self._clock(), self._on_timeout)
