"""Hedged requests: a second attempt while the answer of the first may be lost (Dean and Barroso, 2013)."""

from __future__ import annotations

from thornjunction import interface as api
from thornjunction.limits.admission_gates import AdmissionGate
from thornjunction.limits.retry_budget import RetryBudget
from thornjunction.policy.attempts import AttemptLifecycle
from thornjunction.policy.context import DecisionContext
from thornjunction.policy.placement import Placement
from thornjunction.policy.requests import Attempt, PendingRequest, RequestState
from thornjunction.policy.shared_gates import SharedGates

# Admitted share of a gate below which no hedge is sent: if all answers are slow, a hedge only adds load.
MIN_GATE_SHARE = 0.8


class Hedging:
    """Decides which requests get a second attempt: few, and none while an admission gate is shutting."""

    def __init__(
        self,
        context: DecisionContext,
        attempts: AttemptLifecycle,
        placement: Placement,
        gates: SharedGates,
        retry_budget: RetryBudget,
    ) -> None:
        self._context = context
        self._attempts = attempts
        self._placement = placement
        self._gates = gates
        self._retry_budget = retry_budget
        # Shuts while the first attempt is answered before the hedge: hedges help if answers are lost, not if
        # all answers are slow.
        self.gate = AdmissionGate(recovery_per_ms=0.0)

    def send_due(self) -> None:
        """Send a hedge for each request whose attempt exceeds the typical latency of its class."""
        due = [attempt.request for attempt in self._attempts.in_flight.values() if self._needs_hedge(attempt)]
        for request in due:
            self._hedge(request)

    def record_race(self, *, winner: Attempt, loser: Attempt) -> None:
        """Learn from a hedged request that was answered while its other attempt was in flight."""
        first_attempt_won = winner.number < loser.number
        self.gate.record(self._context.now_ms, late=first_attempt_won)

    def _hedge(self, request: PendingRequest) -> None:
        """Send a second attempt of a request if the gate admits it and a cache can take it."""
        now_ms = self._context.now_ms
        if not self.gate.admits(now_ms, self._context.draw):
            return
        server = self._placement.choose_cache(request, now_ms)
        if server is not None:
            source = self._placement.choose_source(request, now_ms)
            self._attempts.send(request, server, source)

    def _needs_hedge(self, attempt: Attempt) -> bool:
        """Return whether an attempt's answer may be lost.

        If the attempt exceeds the typical latency of its class, the estimate records that, but only once.
        """
        if not self._may_hedge(attempt) or attempt.exceeded_typical_latency:
            return False
        request = attempt.request
        typical = request.typical_latency
        waited_ms = self._context.now_ms - attempt.sent_at_ms
        if waited_ms <= typical.objective_share * request.objective_ms:
            return False
        attempt.exceeded_typical_latency = True
        typical.record(exceeded=True)
        if attempt.server.last_contact_at_ms <= attempt.sent_at_ms:
            return False  # the server may be unreachable, which ``silence`` detects
        return min(self._gates.lowest_share, attempt.server.gate.share) >= MIN_GATE_SHARE

    def _may_hedge(self, attempt: Attempt) -> bool:
        """Return whether an attempt is the first and only one of a request that may be executed twice."""
        request = attempt.request
        return (
            self._context.settings.may_hedge
            and request.state is not RequestState.CLOSED
            and request.attempts_started == 1
            and request.in_flight == [attempt]
            and request.request_class.idempotency is api.Idempotency.IDEMPOTENT
            and self._retry_budget.has_token
        )
