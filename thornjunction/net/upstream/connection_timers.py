"""Time limits of one connection, for its unsent bytes and for the rest of an incomplete response."""

from __future__ import annotations

import math
from collections.abc import Callable

from thornjunction.memory.deadlines import Deadline
from thornjunction.net.event_loop.disconnect_reasons import DisconnectReason
from thornjunction.net.upstream.context import PoolContext

Abort = Callable[[str], None]


class StalledWriteTimer:
    """Guards against a server that does not read and would later receive requests that were cancelled.

    Args:
        context: shared objects of the pool's parts.
        abort: resets the connection for the given reason.
    """

    __slots__ = ("_abort", "_context", "_deadline", "_due_ms")

    def __init__(self, context: PoolContext, abort: Abort) -> None:
        self._context = context
        self._abort = abort
        self._deadline: Deadline | None = None
        self._due_ms = math.inf

    def abort_by(self, due_ms: float) -> None:
        """Abort at ``due_ms`` unless the timer is stopped before; an earlier time already set is kept."""
        if due_ms < self._due_ms:
            deadlines = self._context.deadlines
            deadlines.cancel(self._deadline)
            self._due_ms = due_ms
            self._deadline = deadlines.add(due_ms, lambda: self._abort(DisconnectReason.WRITE_STALLED))

    def stop(self) -> None:
        """Stop the timer, after all bytes were sent or the connection has ended."""
        self._context.deadlines.cancel(self._deadline)
        self._due_ms = math.inf


class PartialResponseTimer:
    """Bounds an incomplete response in time, and in size by the budget for buffered bytes.

    Guards against a response whose stated length is too large, so that it includes the following responses,
    and against a response that is cut short.

    Args:
        context: shared objects of the pool's parts.
        abort: resets the connection for the given reason.
    """

    __slots__ = ("_abort", "_context", "_deadline")

    def __init__(self, context: PoolContext, abort: Abort) -> None:
        self._context = context
        self._abort = abort
        self._deadline: Deadline | None = None

    @property
    def is_running(self) -> bool:
        """Whether a response is incomplete."""
        return self._deadline is not None

    def bound(self, buffered_bytes: int) -> None:
        """Start the timer at the first part of a response, and reserve the bytes buffered so far."""
        context = self._context
        if self._deadline is None:
            due_ms = context.clock() + context.limits.partial_response_timeout_ms
            self._deadline = context.deadlines.add(
                due_ms, lambda: self._abort(DisconnectReason.PARTIAL_RESPONSE)
            )
        context.buffer_budget.reserve(self._abort, buffered_bytes)

    def stop(self) -> None:
        """Stop the timer, after the response is complete or the connection has ended."""
        if self._deadline is not None:
            self._context.deadlines.cancel(self._deadline)
            self._context.buffer_budget.reserve(self._abort, 0)
            self._deadline = None
