"""Retry policy: decides whether a request is sent, waits, or is given up."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from thornjunction.limits.idempotency import ExecutionTable
from thornjunction.limits.retry_budget import RetryBudget
from thornjunction.limits.sent_requests import SentRequests
from thornjunction.policy.context import DecisionContext
from thornjunction.policy.placement import Placement
from thornjunction.policy.requests import PendingRequest
from thornjunction.policy.upstreams import Upstream


@dataclass(frozen=True, slots=True)
class Send:
    """Send an attempt to a server, with a source for its fill if there is one."""

    server: Upstream
    source: Upstream | None


class NoAttempt(Enum):
    """Why no attempt is sent now."""

    WAIT = auto()  # the backoff has not ended, or a server may take the request later
    GIVE_UP = auto()  # no further attempt is allowed, or it could not succeed in time


NextStep = Send | NoAttempt


class RetryPolicy:
    """Decides the next step of a request that has no attempt in flight."""

    def __init__(
        self,
        context: DecisionContext,
        placement: Placement,
        retry_budget: RetryBudget,
        executions: ExecutionTable,
        sent_requests: SentRequests,
    ) -> None:
        self._context = context
        self._placement = placement
        self._retry_budget = retry_budget
        self._executions = executions
        self._sent_requests = sent_requests

    def next_step(self, request: PendingRequest) -> NextStep:
        """Decide on a request's next attempt."""
        if request.possible_execution is None:
            # Another request under the same idempotency key or transaction id may have been executed.
            request.possible_execution = self._executions.get(
                request.idempotency_key
            ) or self._sent_requests.get(request.transaction_id)
        now_ms = self._context.now_ms
        if self._has_no_attempts_left(request) or now_ms >= request.deadline_ms:
            return NoAttempt.GIVE_UP
        if request.retry_at_ms > now_ms:
            # An attempt after the backoff would have no value any more.
            if request.retry_at_ms < request.useful_until_ms:
                return NoAttempt.WAIT
            return NoAttempt.GIVE_UP
        return self._place(request)

    def _has_no_attempts_left(self, request: PendingRequest) -> bool:
        """Return whether the request is allowed no further attempt."""
        if request.attempts_started >= request.attempt_limit:
            return True
        is_retry = request.attempts_started > request.peer_lookups
        if is_retry and not self._retry_budget.has_token:
            return True
        return not self._executions.has_capacity_for(request.idempotency_key, self._context.now_ms)

    def _place(self, request: PendingRequest) -> NextStep:
        """Choose the server and source of an attempt."""
        now_ms = self._context.now_ms
        source = self._placement.choose_source(request, now_ms)
        bypasses_caches = request.request_class.uncacheable and self._context.settings.may_bypass_caches
        if bypasses_caches and source is not None:
            server: Upstream | None = source
        else:
            server = self._placement.choose_cache(request, now_ms)
        if server is not None and self._placement.may_repeat_at(request, server, now_ms):
            return Send(server, source)
        if self._placement.is_worth_waiting(request, now_ms):
            return NoAttempt.WAIT
        return NoAttempt.GIVE_UP
