"""Carries out the next step of a request, at its admission and after each of its attempts."""

from __future__ import annotations

from thornjunction import interface as api
from thornjunction.limits.fault_attribution import SOURCE_FAULTS
from thornjunction.limits.idempotency import NEVER_EXECUTED
from thornjunction.limits.retry_budget import backoff_ms
from thornjunction.policy.attempts import AttemptLifecycle
from thornjunction.policy.completion import Completion
from thornjunction.policy.fetch_plan import MAX_PEER_LOOKUPS
from thornjunction.policy.hedging import Hedging
from thornjunction.policy.requests import Attempt, PendingRequest, RequestState
from thornjunction.policy.retry_policy import NoAttempt, RetryPolicy, Send
from thornjunction.policy.state import DecisionState

# Number of servers that may answer a request with an error. After that many, the request itself counts as
# the cause and is given up, so that one faulty request does not use up its attempts.
MAX_ERROR_ANSWERS = 3
# Statuses of an attempt whose answer was lost: the server may still have the object cached.
LOST_ANSWER_STATUSES = (api.AttemptStatus.CONNECTION_RESET, api.AttemptStatus.ERROR)


class Dispatcher:
    """Sends the next attempt of a request, makes the request wait, or ends it."""

    def __init__(
        self,
        state: DecisionState,
        retry_policy: RetryPolicy,
        attempts: AttemptLifecycle,
        completion: Completion,
        hedging: Hedging,
    ) -> None:
        self._context = state.context
        self._requests = state.requests
        self._retry_policy = retry_policy
        self._attempts = attempts
        self._completion = completion
        self._hedging = hedging

    def dispatch(self, request: PendingRequest) -> None:
        """Carry out what the retry policy decides: an attempt, a wait, or the end of the request."""
        match self._retry_policy.next_step(request):
            case Send(server, source):
                self._attempts.send(request, server, source)
            case NoAttempt.WAIT:
                self._requests.wait(request)
            case NoAttempt.GIVE_UP:
                self._completion.give_up(request)

    def attempt_ended(self, event: api.AttemptEnded, attempt: Attempt) -> None:
        """Close a request whose attempt ended it, or dispatch the request again."""
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
        """Dispatch a request again if its peer lookup missed; give up any other whose object was not cached.

        A peer lookup that misses executes nothing, so the request may be sent again.
        """
        source = attempt.source
        if (
            source is None
            or source.entry.role is not api.Role.EDGE
            or request.peer_lookups >= MAX_PEER_LOOKUPS
        ):
            self._completion.give_up(request)
            return
        request.tried_servers.add(source.id)
        self.dispatch(request)

    def _after_failure(self, event: api.AttemptEnded, attempt: Attempt) -> None:
        """Dispatch a request again after a failed attempt, after a backoff if the origin is overloaded."""
        request = attempt.request
        if request.possible_execution is None and event.status not in NEVER_EXECUTED:
            request.possible_execution = attempt.execution
        self._exclude_faulty(event, attempt)
        if len(request.faulty_servers) >= MAX_ERROR_ANSWERS:
            self._completion.give_up(request)
            return
        is_origin_overloaded = self._context.fills_unreported or request.request_class.uncacheable
        if event.status is api.AttemptStatus.OVERLOADED and is_origin_overloaded:
            wait_ms = backoff_ms(
                request.request_class.latency_objective_ms, request.attempts_started, self._context.draw
            )
            request.retry_at_ms = self._context.now_ms + wait_ms
        self.dispatch(request)

    def _exclude_faulty(self, event: api.AttemptEnded, attempt: Attempt) -> None:
        """Exclude the server or source that caused the failure from further attempts of the request."""
        request = attempt.request
        server = attempt.server
        source_failed = event.fill_result in SOURCE_FAULTS
        answer_lost = event.status in LOST_ANSWER_STATUSES
        if attempt.source is not None and (
            source_failed or not answer_lost or self._context.fills_unreported
        ):
            request.tried_servers.add(attempt.source.id)
        if source_failed:
            return
        failed_before = server in request.faulty_servers[:-1]
        if not answer_lost or server.outliers.is_ejected or failed_before:
            request.tried_servers.add(server.id)
