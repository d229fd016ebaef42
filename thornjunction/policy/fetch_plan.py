"""Plans the fetch of an attempt: the source of its fill, and the limits in its action."""

from __future__ import annotations

from dataclasses import dataclass

from thornjunction import interface as api
from thornjunction.limits.attempt_start import start_limit_ms
from thornjunction.limits.fault_attribution import has_capacity_for_lookup
from thornjunction.limits.idempotency import repeat_window_ms
from thornjunction.limits.purges import Purges
from thornjunction.policy.context import DecisionContext
from thornjunction.policy.fill_ranking import FillRanking
from thornjunction.policy.placement import Placement
from thornjunction.policy.requests import Attempt, PendingRequest
from thornjunction.policy.shared_gates import SharedGates
from thornjunction.policy.timing import ANSWER_MARGIN_MS
from thornjunction.policy.upstreams import Upstream

# Maximum of peer lookups for one request: a third would rarely find an object that two did not.
MAX_PEER_LOOKUPS = 2
# Retention rank of an uncacheable object, which passes through a cache and is not kept.
NO_RANK = 0


@dataclass(frozen=True, slots=True)
class FillPlan:
    """The source that a miss may be filled from."""

    source: Upstream | None  # None: no fill, the server answers from its own cache alone
    cached_only: bool  # whether the source answers from its own cache alone


class FetchPlanner:
    """Plans the fetch of each attempt under the gates, the purges and the settings."""

    def __init__(
        self,
        context: DecisionContext,
        placement: Placement,
        gates: SharedGates,
        purges: Purges,
        ranking: FillRanking,
    ) -> None:
        self._context = context
        self._placement = placement
        self._gates = gates
        self._purges = purges
        self._ranking = ranking

    def plan_fill(self, request: PendingRequest, server: Upstream, source: Upstream | None) -> FillPlan:
        """Decide whether a miss may be filled from the chosen source, and restrict the request if not.

        If the gate of fills is shut, the cache must answer from its own copy; if the origin's gate is shut,
        the parent must. The request is sent nevertheless, as only caches and parents know what they store.
        Misses are then rejected, and still are for a short time after the overload has ended.
        """
        if request.request_class.uncacheable:
            return FillPlan(source, cached_only=False)
        now_ms = self._context.now_ms
        draw = self._context.draw
        cached_only = request.cached_only or not self._gates.origin.admits(now_ms, draw)
        may_fill = self._gates.fills.admits(now_ms, draw, request.size_weight, request.class_size_weight)
        if may_fill and not cached_only:
            return FillPlan(source, cached_only=False)
        if source is not None and self._placement.fills_from_origin(source):
            return self._plan_peer_lookup(request, server, may_fill=may_fill, cached_only=cached_only)
        return FillPlan(source if may_fill else None, cached_only)

    def _plan_peer_lookup(
        self, request: PendingRequest, server: Upstream, *, may_fill: bool, cached_only: bool
    ) -> FillPlan:
        """Choose another cache as the source in place of the origin, if one is likely to have the object."""
        peer = None
        if request.peer_lookups < MAX_PEER_LOOKUPS:
            link_load = self._ranking.link_load.value
            if may_fill or has_capacity_for_lookup(server.load, link_load):
                peer = self._placement.choose_peer(request, server, self._context.now_ms)
        if peer is None:
            request.cached_only = cached_only
            return FillPlan(None, cached_only)
        request.cached_only = True
        request.peer_lookups += 1
        return FillPlan(peer, cached_only=True)

    def fetch_action(self, attempt: Attempt) -> api.StartAttempt:
        """Return the action that starts an attempt.

        Its timeout is the time left until the request's deadline: a fill that is cancelled early is fetched
        again and adds to an overload. ``silence`` detects servers that do not answer at all.
        """
        request = attempt.request
        request_class = request.request_class
        settings = self._context.settings
        now_ms = self._context.now_ms
        is_uncacheable = request_class.uncacheable
        rank = NO_RANK
        if not is_uncacheable:
            rank = self._ranking.rank(request.object_hash, request.transfer_ms)
        may_be_stale = not is_uncacheable and (attempt.cached_only or attempt.source is None)
        grace_ms = request_class.stale_grace_ms if may_be_stale else 0.0
        window_ms = repeat_window_ms(request_class, request.possible_execution, now_ms)
        source = attempt.source or attempt.server
        return api.StartAttempt(
            request_id=request.id,
            server=attempt.server.id,
            timeout_ms=request.deadline_ms - now_ms,
            source=source.id,
            retention_rank=rank,
            max_age_ms=self._purges.max_age_ms(request.event, request_class.freshness_ms, now_ms, grace_ms),
            coalesce=settings.may_coalesce and not is_uncacheable,
            refresh_in_background=request_class.freshness_ms > 0,
            cached_only=attempt.cached_only,
            start_within_ms=start_limit_ms(settings, window_ms - ANSWER_MARGIN_MS),
            execution=attempt.execution if request.idempotency_key else None,
        )
