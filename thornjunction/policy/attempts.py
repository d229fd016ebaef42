"""The lifecycle of attempts: sending, their end, and whether they may have been executed."""

from __future__ import annotations

from thornjunction import interface as api
from thornjunction.limits.idempotency import NEVER_EXECUTED, ExecutionTable
from thornjunction.limits.retry_budget import RetryBudget
from thornjunction.limits.sent_requests import SentRequests
from thornjunction.policy.context import DecisionContext
from thornjunction.policy.fetch_plan import FetchPlanner
from thornjunction.policy.placement import Placement
from thornjunction.policy.requests import Attempt, PendingRequest
from thornjunction.policy.upstreams import AttemptKey, Upstream


class AttemptLifecycle:
    """Sends attempts and tracks those that are in flight."""

    def __init__(
        self,
        context: DecisionContext,
        placement: Placement,
        planner: FetchPlanner,
        retry_budget: RetryBudget,
        executions: ExecutionTable,
        sent_requests: SentRequests,
    ) -> None:
        self._context = context
        self._placement = placement
        self._planner = planner
        self._retry_budget = retry_budget
        self._executions = executions
        self._sent_requests = sent_requests
        self.in_flight: dict[AttemptKey, Attempt] = {}

    def send(self, request: PendingRequest, server: Upstream, source: Upstream | None) -> None:
        """Send the next attempt of a request to a server; a miss there is filled from ``source``.

        A request's first attempt is free, and so is one for each peer lookup; every other attempt spends a
        token of the retry budget.
        """
        if request.attempts_started > request.peer_lookups:
            self._retry_budget.withdraw()
        fill = self._planner.plan_fill(request, server, source)
        now_ms = self._context.now_ms
        attempt = Attempt(
            request=request,
            number=request.attempts_started,
            server=server,
            source=fill.source,
            sent_at_ms=now_ms,
            execution=api.PossibleExecution(now_ms, server.entry.zone, server.entry.cell),
            cached_only=fill.cached_only,
        )
        self._register(attempt)
        self._placement.charge(server, request.cache_cost_ms, now_ms)
        if fill.source is not None:
            self._placement.charge(fill.source, request.fill_cost_ms, now_ms)
        self._record_fill(request, server if fill.source is None else fill.source)
        self._context.actions.append(self._planner.fetch_action(attempt))

    def _record_fill(self, request: PendingRequest, source: Upstream) -> None:
        """Count the attempt towards the parents' load, unless the origin alone may answer it."""
        if source.entry.role is not api.Role.EDGE and not request.request_class.uncacheable:
            self._placement.slow_start.record_fill(request.fill_cost_ms)

    def end(self, event: api.AttemptEnded) -> Attempt | None:
        """Stop tracking the attempt that ended and return it; None if it was not in flight."""
        key = (event.request_id, event.attempt_number)
        attempt = self.in_flight.pop(key, None)
        if attempt is not None:
            attempt.server.in_flight.pop(key, None)
        return attempt

    def withdraw_execution(self, attempt: Attempt, status: api.AttemptStatus) -> None:
        """Withdraw an ended attempt's possible execution if its status proves that it was not executed."""
        if status not in NEVER_EXECUTED:
            return
        request = attempt.request
        self._sent_requests.withdraw(request.transaction_id, attempt.execution)
        if request.idempotency_key:
            self._executions.withdraw(request.idempotency_key, attempt.execution)

    def _register(self, attempt: Attempt) -> None:
        """Track an attempt until it ends."""
        request = attempt.request
        key = (request.id, attempt.number)
        self.in_flight[key] = attempt
        attempt.server.in_flight[key] = attempt
        request.in_flight.append(attempt)
        request.attempts_started += 1
        if request.idempotency_key:
            self._executions.record(request.idempotency_key, attempt.execution)
        self._sent_requests.record(request.transaction_id, attempt.execution)
