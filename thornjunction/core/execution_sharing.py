"""Shares possible executions under idempotency keys with the other processes of this router.

Two processes serve together while one replaces the other (``docs/design/shared-executions.md``).
"""

from __future__ import annotations

from collections.abc import Callable

from thornjunction import interface as api
from thornjunction.core.attempts import Attempt
from thornjunction.core.open_requests import OpenRequest
from thornjunction.core.ports import ExecutionStore
from thornjunction.limits.idempotency import NEVER_EXECUTED


class ExecutionSharing:
    """Reports other processes' possible executions to the router, and records those of this process.

    Args:
        store: the possible executions of all processes.
        feed: passes an event to the router.
    """

    def __init__(self, store: ExecutionStore, feed: Callable[[api.Event], None]) -> None:
        self._store = store
        self._feed = feed

    def report(self, request: OpenRequest) -> None:
        """Report what other processes may have executed under the request's key."""
        key = request.client_request.idempotency_key
        if not key:
            return
        executions = self._store.find(key)
        if executions is not None:
            request.known_executions = executions
            self._feed(api.ExecutionsReported(key, executions))

    def claim(self, request: OpenRequest, attempt: Attempt, start: api.StartAttempt) -> bool:
        """Record the possible execution of an attempt before it is sent; return whether it may be sent.

        If another process has sent an attempt that the router did not know of, the router is told and has to
        decide again.
        """
        if start.execution is None:
            return True
        key = request.client_request.idempotency_key
        attempt.execution_record = self._store.claim(key, start.execution, request.known_executions)
        if attempt.execution_record is not None:
            return True
        self.report(request)
        return False

    def attempt_ended(self, attempt: Attempt, status: api.AttemptStatus) -> None:
        """Remove the record of an attempt whose status proves that it was not executed."""
        if attempt.execution_record is not None and status in NEVER_EXECUTED:
            self._store.withdraw(attempt.execution_record)
