"""Drives one router: converts requests into its events, and its actions into attempts and final answers."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable

from thornjunction import interface as api
from thornjunction.core.attempts import Attempt, AttemptKey, AttemptState, AttemptTable
from thornjunction.core.execution_sharing import ExecutionSharing
from thornjunction.core.open_requests import REQUEST_CAPACITY, OpenRequest
from thornjunction.core.ports import (
    Answer,
    ClientRequest,
    Content,
    Failed,
    Observer,
    Rejected,
    ReplyCallback,
    RequestOutcome,
    RequestTableFullError,
    Router,
    Served,
    UpstreamRequest,
    Upstreams,
)
from thornjunction.log_events import LogEvent
from thornjunction.logs import get_logger
from thornjunction.memory.deadlines import Deadlines
from thornjunction.memory.slots import SlotTable

# Free entries that the queue of deadlines must have for a request to be accepted.
DEADLINES_PER_REQUEST = 8

# A request that fails this close to the client's deadline, or after it, counts as timed out.
NEAR_DEADLINE_MS = 50.0

log = get_logger(__name__)


class Engine:
    """Keeps the open requests and attempts, and carries out the router's actions.

    Single-threaded.  An event that arises while the router handles another is queued until that one is done.

    Args:
        router: makes the decisions.
        max_attempts: greatest number of attempts of one request.
        clock: the core's clock, in ms.
        deadlines: the queue of deadlines.
        upstreams: sends attempts and health checks.
        observer: is notified of the ends of requests and attempts.

    Attributes:
        max_attempts: greatest number of attempts of each request that is opened from now on.
        shutdown_at_ms: the time by which all requests must be answered, on the core's clock; infinite until
            the process shuts down.
        kb_per_byte: size of one byte of an answer in the settings' unit of size, KB; 0: not known.
        execution_sharing: shares possible executions with other processes of this router; None: there are
            none.
    """

    def __init__(
        self,
        router: Router,
        max_attempts: int,
        clock: Callable[[], float],
        deadlines: Deadlines,
        upstreams: Upstreams,
        observer: Observer,
    ) -> None:
        self.router = router
        self.max_attempts = max_attempts
        self.clock = clock
        self.deadlines = deadlines
        self.upstreams = upstreams
        self.observer = observer
        self.requests: SlotTable[OpenRequest] = SlotTable(REQUEST_CAPACITY)
        self.attempts = AttemptTable()
        self.shutdown_at_ms = math.inf
        self.kb_per_byte = 0.0
        self.execution_sharing: ExecutionSharing | None = None
        self._pending_events: deque[api.Event] = deque()
        self._is_handling = False

    def open(self, client_request: ClientRequest, reply: ReplyCallback) -> int:
        """Accept a request and return its number; ``reply`` may be called before this method returns.

        Raises:
            RequestTableFullError: the table of requests or the queue of deadlines is full.
        """
        free_deadlines = self.deadlines.capacity - len(self.deadlines)
        if self.requests.full or free_deadlines < DEADLINES_PER_REQUEST:
            raise RequestTableFullError
        now_ms = self.clock()
        # During shutdown the answer is due before the process exits, however long the client would wait.
        remaining_ms = min(client_request.remaining_ms, max(self.shutdown_at_ms - now_ms, 0.0))
        request = OpenRequest(client_request, reply, now_ms, self.max_attempts)
        request.backstop = self.deadlines.add(now_ms + remaining_ms, lambda: self._backstop_due(request))
        request.number = self.requests.add(request)
        if self.execution_sharing is not None:
            self.execution_sharing.report(request)
        self.feed(request.event(remaining_ms))
        return request.number

    def abandon(self, number: int) -> None:
        """End a request whose client has disconnected, without an answer."""
        request = self.requests.get(number)
        if request is None:
            return
        self._remove_request(request)
        self._report_end(request, RequestOutcome.ABANDONED, self.clock())
        self.feed(api.ClientDisconnected(request.request_id))
        self._withdraw_attempts(request)

    def answer_all_now(self) -> None:
        """Make the router answer all open requests now, without waiting for further outcomes."""
        for number in self.requests.numbers():
            self.feed(api.RequestExpired(str(number)))

    def attempt_ended(
        self,
        number: int,
        status: api.AttemptStatus,
        content: Content | None = None,
        report: api.LoadReport | None = None,
    ) -> None:
        """Report the end of an attempt; a report of one that has already ended is ignored.

        Args:
            number: the attempt's number.
            status: how it ended.
            content: the content served, if the status is SUCCEEDED.
            report: the server's load report, if the answer had one.
        """
        attempt = self.attempts.get(number)
        if attempt is None:
            return
        is_unneeded = attempt.state is AttemptState.UNNEEDED
        self._remove_attempt(attempt, status)
        took_ms = self.clock() - attempt.sent_ms
        self.observer.attempt_ended(status, took_ms)
        answered = None
        if status is api.AttemptStatus.SUCCEEDED and content is not None:
            answered = self._answer(int(attempt.key.request_id), Served(content))
        self.feed(
            api.AttemptEnded(
                request_id=attempt.key.request_id,
                attempt_number=attempt.key.attempt_index,
                server=attempt.server,
                status=status,
                elapsed_ms=took_ms,
                final=is_unneeded or answered is not None,
                report=report,
                size_kb=len(content.body) * self.kb_per_byte if content is not None else 0.0,
            )
        )
        if answered is not None:
            self._withdraw_attempts(answered)  # after the router has handled this attempt's end

    def _remove_attempt(self, attempt: Attempt, status: api.AttemptStatus) -> None:
        self.attempts.end(attempt)
        self.deadlines.cancel(attempt.time_limit)
        if self.execution_sharing is not None:
            self.execution_sharing.attempt_ended(attempt, status)

    def probe_ended(
        self, server: str, status: api.AttemptStatus, took_ms: float, report: api.LoadReport | None
    ) -> None:
        """Report the result of a health check."""
        self.feed(api.HealthCheckEnded(server, status, took_ms, report))

    def feed(self, event: api.Event) -> None:
        """Pass an event to the router and carry out its actions, in order."""
        self._pending_events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._pending_events:
                self._handle(self._pending_events.popleft())
        finally:
            self._is_handling = False

    def _handle(self, event: api.Event) -> None:
        try:
            actions = self.router.handle(self.clock(), event)
        except Exception:  # a fault in the router must not end the process
            log.exception(LogEvent.DECISION_FAILED, event_kind=type(event).__name__)
            return
        for action in actions:
            self._carry_out(action)

    def _carry_out(self, action: api.Action) -> None:
        match action:
            case api.StartAttempt():
                self._send(action)
            case api.CancelAttempt():
                self._cancel(action)
            case api.RejectRequest():
                self._answer_and_withdraw(action.request_id, Rejected(action.retry_after_ms))
            case api.FailRequest():
                self._answer_and_withdraw(action.request_id, None)
            case api.SetTimer():
                self._set_timer(action)
            case api.CheckHealth():
                self.upstreams.probe(action.server)

    def _set_timer(self, timer: api.SetTimer) -> None:
        fired = api.TimerFired(timer.token)
        self.deadlines.add(self.clock() + timer.in_ms, lambda: self.feed(fired))

    def _send(self, start: api.StartAttempt) -> None:
        request = self.requests.get(int(start.request_id))
        if request is None:
            self._report_not_started(start, 0, final=True)
            return
        index = request.attempts_made
        request.attempts_made += 1
        if index >= request.max_attempts or self.attempts.full:
            self._report_not_started(start, index, final=False)
            return
        now_ms = self.clock()
        attempt = Attempt(AttemptKey(start.request_id, index), start.server, now_ms)
        if self.execution_sharing is not None and not self.execution_sharing.claim(request, attempt, start):
            self._report_not_started(start, index, final=False)
            return
        time_limit_at_ms = now_ms + max(start.timeout_ms, 0.0)
        attempt.time_limit = self.deadlines.add(
            time_limit_at_ms, lambda: self._stop(attempt, api.AttemptStatus.TIMEOUT)
        )
        self.attempts.add(attempt)
        self.upstreams.send(UpstreamRequest(attempt.number, request.client_request, start))

    def _report_not_started(self, start: api.StartAttempt, index: int, final: bool) -> None:
        self.feed(
            api.AttemptEnded(
                start.request_id, index, start.server, api.AttemptStatus.NOT_STARTED, final=final
            )
        )

    def _cancel(self, cancel: api.CancelAttempt) -> None:
        attempt = self.attempts.find(cancel.request_id, cancel.attempt_number)
        if attempt is not None:
            self._stop(attempt, api.AttemptStatus.CANCELLED)

    def _stop(self, attempt: Attempt, status_if_begun: api.AttemptStatus) -> None:
        """End an attempt with the given status, or with NOT_STARTED if it has not begun."""
        if self.upstreams.withdraw(attempt.number):
            self.attempt_ended(attempt.number, api.AttemptStatus.NOT_STARTED)
            return
        self.upstreams.cancel(attempt.number)
        self.attempt_ended(attempt.number, status_if_begun)

    def _withdraw_attempts(self, request: OpenRequest) -> None:
        """Withdraw the attempts of an ended request that have not begun; the others continue."""
        for index in range(request.attempts_made):
            attempt = self.attempts.find(request.request_id, index)
            if attempt is not None and self.upstreams.withdraw(attempt.number):
                self.attempt_ended(attempt.number, api.AttemptStatus.NOT_STARTED)

    def _backstop_due(self, request: OpenRequest) -> None:
        """Fail a request that the router has not answered by the client's deadline or the shutdown."""
        self._answer(request.number, None)
        self.feed(api.ClientDisconnected(request.request_id))
        self._withdraw_attempts(request)

    def _answer_and_withdraw(self, request_id: str, answer: Answer | None) -> None:
        request = self._answer(int(request_id), answer)
        if request is not None:
            self._withdraw_attempts(request)

    def _answer(self, number: int, answer: Answer | None) -> OpenRequest | None:
        """Give a request its final answer and return the request.

        Returns None for a request that has already ended, so that each gets one final answer only.  If
        ``answer`` is None the request has failed, as timed out if its deadline is near or past.
        """
        request = self.requests.get(number)
        if request is None:
            return None
        now_ms = self.clock()
        if answer is None:
            deadline_ms = request.opened_ms + request.client_request.remaining_ms
            answer = Failed(timed_out=now_ms >= deadline_ms - NEAR_DEADLINE_MS)
        self._remove_request(request)
        given_answer = request.reply(answer) or answer
        self._report_end(request, given_answer.outcome, now_ms)
        return request

    def _remove_request(self, request: OpenRequest) -> None:
        self.requests.remove(request.number)
        self.deadlines.cancel(request.backstop)
        self.attempts.mark_unneeded(request.request_id, request.attempts_made)

    def _report_end(self, request: OpenRequest, outcome: RequestOutcome, now_ms: float) -> None:
        """Report the outcome of an ended request to the observer."""
        self.observer.request_ended(request.client_request.class_name, outcome, now_ms - request.opened_ms)
