"""The admission gates that all servers have in common: of fills, and of what the origin is asked for."""

from __future__ import annotations

import math

from thornjunction import interface as api
from thornjunction.limits.admission_gates import AdmissionGate
from thornjunction.limits.fault_attribution import is_cache_responsible
from thornjunction.policy.context import DecisionContext
from thornjunction.policy.requests import Attempt

# Share of the objective past which an answer of what runs at the origin tells of its queue.
ORIGIN_LATE_SHARE = 0.5


class SharedGates:
    """Learns from answers in time and late ones, for these gates and those of the caches."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.fills = AdmissionGate()
        self.origin = AdmissionGate()

    @property
    def lowest_share(self) -> float:
        """The share of work that the tighter of both gates admitted last."""
        return min(self.fills.share, self.origin.share)

    def record_end(self, attempt: Attempt, took_ms: float, note: api.FillResult) -> None:
        """Learn from an attempt that ended; ``took_ms`` is infinite where its source failed."""
        late = took_ms > self._late_after_ms(attempt)
        self._record(attempt, note, took_ms=took_ms, late=late)

    def record_if_late(self, attempt: Attempt) -> None:
        """Learn from an attempt in flight as soon as its objective has passed."""
        waited_ms = self._context.now_ms - attempt.sent_at_ms
        if waited_ms > self._late_after_ms(attempt):
            self._record(attempt, api.FillResult.NONE, took_ms=waited_ms, late=True)

    def _late_after_ms(self, attempt: Attempt) -> float:
        request = attempt.request
        if request.request_class.uncacheable:
            return request.objective_ms * ORIGIN_LATE_SHARE
        return request.objective_ms

    def _record(self, attempt: Attempt, note: api.FillResult, *, took_ms: float, late: bool) -> None:
        """Learn from an attempt, once."""
        if attempt.timeliness_recorded:
            return
        attempt.timeliness_recorded = True
        now_ms = self._context.now_ms
        passes = attempt.request.request_class.uncacheable
        gate = self._gate_of(attempt, note, late=late)
        # Where outcomes do not tell, the origin is among the suspects of each fill, unless only what its
        # parent had cached was asked for; for a rejection it is the one at fault.
        suspects_origin = self._context.fills_unreported and gate is self.fills and not attempt.cached_only
        if passes or suspects_origin:
            self.origin.record(now_ms, late=late)
        if passes or (suspects_origin and took_ms == math.inf):
            return
        gate.record(now_ms, late=late)

    def _gate_of(self, attempt: Attempt, note: api.FillResult, *, late: bool) -> AdmissionGate:
        """Return the gate that an answer speaks of: its cache's, or that of fills."""
        server = attempt.server
        if attempt.source is None:
            return server.gate
        if note is api.FillResult.NONE:
            likely_hit = not attempt.request.is_likely_miss
            is_hit = is_cache_responsible(likely_hit=likely_hit, late=late, load=server.load)
        else:
            is_hit = note is api.FillResult.HIT
        return server.gate if is_hit else self.fills
