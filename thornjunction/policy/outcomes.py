"""Outcome learning: updates the estimates and limits of caches and sources when attempts end."""

from __future__ import annotations

import math

from thornjunction import interface as api
from thornjunction.estimates import RequestSizes
from thornjunction.limits.fault_attribution import SOURCE_FAULTS
from thornjunction.policy.context import DecisionContext
from thornjunction.policy.fill_ranking import FillRanking
from thornjunction.policy.requests import Attempt
from thornjunction.policy.shared_gates import SharedGates

# Statuses that say nothing about the server, since this router ended the attempt itself.
ENDED_BY_ROUTER = (api.AttemptStatus.CANCELLED, api.AttemptStatus.NOT_STARTED)
# Statuses that show that a cache works: it served, or answered that it does not have the object.
HEALTHY_STATUSES = (api.AttemptStatus.SUCCEEDED, api.AttemptStatus.CACHE_MISS)
# Fill results of a fill that succeeded.
FILLED = frozenset({api.FillResult.FILLED, api.FillResult.FILLED_FROM_ORIGIN})
# Fill results that show whether the origin worked.
FROM_ORIGIN = frozenset({api.FillResult.FILLED_FROM_ORIGIN, api.FillResult.ORIGIN_FAILED})


class OutcomeLearning:
    """Updates all estimates and limits that depend on the outcomes of attempts."""

    def __init__(
        self,
        context: DecisionContext,
        gates: SharedGates,
        ranking: FillRanking,
        sizes: RequestSizes,
    ) -> None:
        self._context = context
        self._gates = gates
        self._ranking = ranking
        self._sizes = sizes

    def learn(self, event: api.AttemptEnded, attempt: Attempt) -> None:
        """Learn from the end of an attempt."""
        self._learn_load(event, attempt)
        if event.status in ENDED_BY_ROUTER:
            return
        source_failed = event.fill_result in SOURCE_FAULTS
        if self._context.fills_unreported and event.status is api.AttemptStatus.OVERLOADED:
            source_failed = True
        self._learn_server(event, attempt, source_failed=source_failed)
        if event.size_kb > 0 and not attempt.request.event.size_kb > 0:
            self._sizes.add(attempt.request_class.name, event.size_kb)
        if event.status is api.AttemptStatus.SUCCEEDED:
            self._learn_success(attempt)
        self._learn_timeliness(event, attempt, source_failed=source_failed)
        self._learn_source(event, attempt, source_failed=source_failed)

    def _learn_load(self, event: api.AttemptEnded, attempt: Attempt) -> None:
        """Learn the utilization of the server and its link from a load report, if one came."""
        report = event.report
        if report is None:
            return
        if attempt.server.entry.role is api.Role.EDGE and report.link_utilization is not None:
            self._ranking.link_load.add(report.link_utilization)
        attempt.server.record_report(report)

    def _learn_server(self, event: api.AttemptEnded, attempt: Attempt, *, source_failed: bool) -> None:
        """Learn whether the server works; a rejection for overload gives no evidence of that."""
        server = attempt.server
        status = event.status
        now_ms = self._context.now_ms
        timed_out = status is api.AttemptStatus.TIMEOUT
        unreachable = status is api.AttemptStatus.CONNECTION_REFUSED or (server.is_unreachable and timed_out)
        if status is api.AttemptStatus.ERROR and not source_failed:
            # The request itself may be the cause: ``_learn_success`` records a failure of this server once
            # another one has served the request.
            attempt.request.faulty_servers.append(server)
        elif status is api.AttemptStatus.CONNECTION_RESET and not source_failed:
            server.outliers.record_reset(now_ms)
        elif status is api.AttemptStatus.OVERLOADED:
            pass
        elif source_failed or status in HEALTHY_STATUSES:
            server.record_success(now_ms)
        elif unreachable:
            server.outliers.record_refused_connection(now_ms)
        else:
            server.outliers.record_failure(now_ms)
        server.is_unreachable = unreachable
        if not unreachable and not timed_out:
            server.last_contact_at_ms = now_ms

    def _learn_success(self, attempt: Attempt) -> None:
        """Record a failure of each other server that answered this request with an error.

        The request itself is not the cause, since another server has served it.
        """
        request = attempt.request
        while request.faulty_servers:
            faulty = request.faulty_servers.pop()
            if faulty is not attempt.server:
                faulty.outliers.record_failure(self._context.now_ms)
        if not attempt.exceeded_typical_latency:
            request.typical_latency.record(exceeded=False)

    def _learn_timeliness(self, event: api.AttemptEnded, attempt: Attempt, *, source_failed: bool) -> None:
        """Record in the admission gates whether the answer came in time."""
        served = event.status is api.AttemptStatus.SUCCEEDED
        if event.fill_result in FROM_ORIGIN:
            late = not served or event.elapsed_ms > attempt.request.objective_ms
            self._gates.origin.record(self._context.now_ms, late=late)
        if served:
            self._gates.record_end(attempt, event.elapsed_ms, event.fill_result)
        elif source_failed:
            self._gates.record_end(attempt, math.inf, event.fill_result)

    def _learn_source(self, event: api.AttemptEnded, attempt: Attempt, *, source_failed: bool) -> None:
        """Learn a source's health and first-byte time, if the outcome reports a fill or makes one likely."""
        source = attempt.source
        request = attempt.request
        if source is None or source is attempt.server:
            return
        served = event.status is api.AttemptStatus.SUCCEEDED
        likely_filled = self._context.fills_unreported and served and request.is_likely_miss
        if not (source_failed or likely_filled or event.fill_result in FILLED):
            return
        now_ms = self._context.now_ms
        if served:
            source.record_success(now_ms)
            first_byte_ms = event.fill_first_byte_ms or max(event.elapsed_ms - request.transfer_ms, 0.0)
            source.first_byte_ms.add(first_byte_ms)
            self._ranking.record_fill(request.object_hash, first_byte_ms)
        else:
            # A failure must not lower the source's time to the first byte, however early it was.
            source.outliers.record_failure(now_ms)
            failed_after_ms = event.fill_first_byte_ms or max(event.elapsed_ms, 0.0)
            source.first_byte_ms.add(max(failed_after_ms, source.first_byte_ms.get(0.0)))
