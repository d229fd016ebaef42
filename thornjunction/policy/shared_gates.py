"""The two admission gates shared by all servers: one for fills, one for requests to the origin."""

from __future__ import annotations

import math

from thornjunction import interface as api
from thornjunction.limits.admission_gates import AdmissionGate
from thornjunction.limits.fault_attribution import is_cache_responsible
from thornjunction.policy.context import DecisionContext
from thornjunction.policy.requests import Attempt

# Share of the latency objective after which the answer of an uncacheable request counts as late.
ORIGIN_LATE_SHARE = 0.5


class SharedGates:
    """Records each attempt as late or in time, in the shared gates or in the gate of its cache."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.fills = AdmissionGate()
        self.origin = AdmissionGate()

    @property
    def lowest_share(self) -> float:
        """The lower of the two gates' admitted shares, as of their last update."""
        return min(self.fills.share, self.origin.share)

    def record_end(self, attempt: Attempt, elapsed_ms: float, fill_result: api.FillResult) -> None:
        """Record an attempt that ended; ``elapsed_ms`` is infinite if its source failed."""
        late = elapsed_ms > self._late_after_ms(attempt)
        self._record(attempt, fill_result, elapsed_ms=elapsed_ms, late=late)

    def record_if_late(self, attempt: Attempt) -> None:
        """Record an attempt in flight as late once its latency objective has passed."""
        waited_ms = self._context.now_ms - attempt.sent_at_ms
        if waited_ms > self._late_after_ms(attempt):
            self._record(attempt, api.FillResult.NONE, elapsed_ms=waited_ms, late=True)

    def _late_after_ms(self, attempt: Attempt) -> float:
        """Return how long an attempt may take before it counts as late."""
        request = attempt.request
        if request.request_class.uncacheable:
            return request.objective_ms * ORIGIN_LATE_SHARE
        return request.objective_ms

    def _record(
        self, attempt: Attempt, fill_result: api.FillResult, *, elapsed_ms: float, late: bool
    ) -> None:
        """Record an attempt in the gates that its outcome concerns, but only once."""
        if attempt.timeliness_recorded:
            return
        attempt.timeliness_recorded = True
        now_ms = self._context.now_ms
        is_uncacheable = attempt.request.request_class.uncacheable
        gate = self._gate_of(attempt, fill_result, late=late)
        # If outcomes do not report fills, the origin may have delayed each fill, unless the source answered
        # from its own cache alone. A rejected fill is then counted against the origin, not the source.
        origin_may_be_cause = (
            self._context.fills_unreported and gate is self.fills and not attempt.cached_only
        )
        if is_uncacheable or origin_may_be_cause:
            self.origin.record(now_ms, late=late)
        if is_uncacheable or (origin_may_be_cause and elapsed_ms == math.inf):
            return
        gate.record(now_ms, late=late)

    def _gate_of(self, attempt: Attempt, fill_result: api.FillResult, *, late: bool) -> AdmissionGate:
        """Return the gate that an answer is recorded in: its cache's for a hit, that of fills for a miss."""
        server = attempt.server
        if attempt.source is None:
            return server.gate
        if fill_result is api.FillResult.NONE:
            likely_hit = not attempt.request.is_likely_miss
            is_hit = is_cache_responsible(likely_hit=likely_hit, late=late, load=server.load)
        else:
            is_hit = fill_result is api.FillResult.HIT
        return server.gate if is_hit else self.fills
