"""Waiting for conditions, which are checked after each event that may have met one, without polling."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred

# Returns whether a condition holds now.
Condition = Callable[[], bool]


class NotObservedError(Exception):
    """An expected condition was not met in time, or waiting for it was aborted."""


@dataclass(eq=False, slots=True)
class _PendingWait:
    condition: Condition
    description: str
    fired: Deferred[None] = field(default_factory=Deferred)


class ConditionWaiter:
    """Waits for conditions; ``check`` must be called after each event that may have met one."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._pending: list[_PendingWait] = []
        self._abort_reason = ""

    async def wait_until(self, condition: Condition, timeout_ms: float, description: str) -> None:
        """Wait until a condition holds; raises NotObservedError after the timeout or an abort."""
        self.raise_if_aborted()
        if condition():
            return
        pending = _PendingWait(condition, description)
        self._pending.append(pending)
        timeout = self._reactor.callLater(timeout_ms / 1000.0, self._time_out, pending)
        try:
            await pending.fired
        finally:
            if timeout.active():
                timeout.cancel()

    def check(self) -> None:
        """Finish the waits whose conditions now hold."""
        for pending in list(self._pending):
            if pending.condition():
                self._pending.remove(pending)
                pending.fired.callback(None)

    def abort(self, reason: str) -> None:
        """Fail all present and later waits; of several reasons the first is kept."""
        if not self._abort_reason:
            self._abort_reason = reason
        aborted = self._pending
        self._pending = []
        for pending in aborted:
            pending.fired.errback(NotObservedError(reason))

    def raise_if_aborted(self) -> None:
        """Raise NotObservedError if waiting was aborted."""
        if self._abort_reason:
            raise NotObservedError(self._abort_reason)

    def _time_out(self, pending: _PendingWait) -> None:
        if pending in self._pending:
            self._pending.remove(pending)
            pending.fired.errback(NotObservedError(f"not observed in time: {pending.description}"))
