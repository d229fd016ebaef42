"""Silence detection: ejects servers that hang or are unreachable, and cancels their attempts."""

from __future__ import annotations

from thornjunction import interface as api
from thornjunction.limits.retry_budget import RetryBudget
from thornjunction.policy.attempts import AttemptLifecycle
from thornjunction.policy.context import DecisionContext
from thornjunction.policy.requests import RequestTable
from thornjunction.policy.upstreams import Upstream


class SilenceDetector:
    """Detects servers that answer no attempt although several are in flight there.

    A server whose attempts are all slow fills cannot be distinguished from a hung one, so these may be
    cancelled too early; the retry budget bounds how often.
    """

    def __init__(
        self,
        context: DecisionContext,
        requests: RequestTable,
        attempts: AttemptLifecycle,
        retry_budget: RetryBudget,
    ) -> None:
        self._context = context
        self._requests = requests
        self._attempts = attempts
        self._retry_budget = retry_budget

    def check(self) -> None:
        """Eject each silent server and cancel its attempts that may be repeated."""
        servers = dict.fromkeys(attempt.server for attempt in self._attempts.in_flight.values())
        for server in servers:
            if not server.outliers.is_ejected and server.is_silent(self._context.now_ms):
                server.outliers.eject(self._context.now_ms)
                self._cancel_attempts(server)

    def _cancel_attempts(self, server: Upstream) -> None:
        """Cancel the idempotent attempts at a server, if the settings and the retry budget allow it."""
        if not self._context.settings.may_cancel or not self._retry_budget.has_token:
            return
        for (request_id, number), attempt in server.in_flight.items():
            is_safe = attempt.request_class.idempotency is api.Idempotency.IDEMPOTENT
            if is_safe and request_id in self._requests.open:
                self._context.actions.append(api.CancelAttempt(request_id, number))
