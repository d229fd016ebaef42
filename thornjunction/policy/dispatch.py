"""Carries out what a request does next, at its start and after each of its attempts."""

from __future__ import annotations

from thornjunction import interface as api
from thornjunction.limits.fault_attribution import SOURCE_FAULTS
from thornjunction.limits.idempotency import NEVER_EXECUTED
from thornjunction.limits.retry_budget import backoff_ms
from thornjunction.policy.attempts import AttemptLifecycle
from thornjunction.policy.completion import Completion
from thornjunction.policy.context import DecisionContext
from thornjunction.policy.fetch_plan import MOST_PEER_LOOKUPS
from thornjunction.policy.hedging import Hedging
from thornjunction.policy.requests import Attempt, PendingRequest, RequestState, RequestTable
from thornjunction.policy.retry_policy import NoAttempt, RetryPolicy, Send

# Errors after which the request itself is at fault: one bad request must not spend all its attempts.
MOST_ERRORS = 3
# Ends that say little of the server: one answer was lost, and what it holds is not.
LOST_ANSWERS = (api.AttemptStatus.CONNECTION_RESET, api.AttemptStatus.ERROR)


class Dispatcher:
    """Sends, holds or ends requests."""

    def __init__(
        self,
        context: DecisionContext,
        requests: RequestTable,
        retry_policy: RetryPolicy,
        attempts: AttemptLifecycle,
        completion: Completion,
        hedging: Hedging,
    ) -> None:
        self._context = context
        self._requests = requests
        self._retry_policy = retry_policy
        self._attempts = attempts
        self._completion = completion
        self._hedging = hedging

    def dispatch(self, request: PendingRequest) -> None:
        """Send the next attempt of a request, let it wait, or end it."""
        match self._retry_policy.next_step(request):
            case Send(server, source):
                self._attempts.send(request, server, source)
            case NoAttempt.WAIT:
                self._requests.wait(request)
            case NoAttempt.GIVE_UP:
                self._completion.give_up(request)

    def attempt_ended(self, event: api.AttemptEnded, attempt: Attempt) -> None:
        """Go on with a request after one of its attempts."""
        request = attempt.request
        if request.state is RequestState.CLOSED:
            return
        request.in_flight.remove(attempt)
        if request.in_flight and event.final:
            self._hedging.record_race(winner=attempt, loser=request.in_flight[0])
        if event.final or event.status is api.AttemptStatus.SUCCEEDED:
            self._completion.close(request)
            return
        if request.in_flight:  # the end of the other attempt decides
            return
        if event.status is api.AttemptStatus.CACHE_MISS and not request.request_class.uncacheable:
            self._after_cached_only_miss(request, attempt)
        else:
            self._after_failure(event, attempt)

    def _after_cached_only_miss(self, request: PendingRequest, attempt: Attempt) -> None:
        """Try another cache where a peer lookup found nothing; all else that is not cached is rejected.

        The lookup was never executed.
        """
        source = attempt.source
        if (
            source is None
            or source.entry.role is not api.Role.EDGE
            or request.peer_lookups >= MOST_PEER_LOOKUPS
        ):
            self._completion.give_up(request)
            return
        request.tried_servers.add(source.id)
        self.dispatch(request)

    def _after_failure(self, event: api.AttemptEnded, attempt: Attempt) -> None:
        """Retry a request, elsewhere if its server or source is at fault, and later if that is overloaded."""
        request = attempt.request
        if request.possible_execution is None and event.status not in NEVER_EXECUTED:
            request.possible_execution = attempt.execution
        self._note_tried(event, attempt)
        if len(request.faulty_servers) >= MOST_ERRORS:
            self._completion.give_up(request)
            return
        is_origin_full = self._context.fills_unreported or request.request_class.uncacheable
        if event.status is api.AttemptStatus.OVERLOADED and is_origin_full:
            wait_ms = backoff_ms(
                request.request_class.latency_objective_ms, request.attempts_started, self._context.draw
            )
            request.retry_at_ms = self._context.now_ms + wait_ms
        self.dispatch(request)

    def _note_tried(self, event: api.AttemptEnded, attempt: Attempt) -> None:
        """Note which servers the request is not to be sent to again."""
        request = attempt.request
        server = attempt.server
        source_failed = event.fill_result in SOURCE_FAULTS
        answer_lost = event.status in LOST_ANSWERS
        if attempt.source is not None and (
            source_failed or not answer_lost or self._context.fills_unreported
        ):
            request.tried_servers.add(attempt.source.id)
        if source_failed:
            return
        erred_before = server in request.faulty_servers[:-1]
        if not answer_lost or server.outliers.is_ejected or erred_before:
            request.tried_servers.add(server.id)
