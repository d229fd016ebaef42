"""Admits requests: determines their class, size, limits and deadline, and dispatches them."""

from __future__ import annotations

from thornjunction import interface as api
from thornjunction.estimates import TypicalLatency, mix64
from thornjunction.policy.completion import Completion
from thornjunction.policy.dispatch import Dispatcher
from thornjunction.policy.requests import PendingRequest, RequestState
from thornjunction.policy.state import DecisionState
from thornjunction.policy.timing import ANSWER_MARGIN_MS

# Transfer rate of one answer in KB per ms, if the settings give none.
DEFAULT_TRANSFER_RATE_KB_PER_MS = 5.0
# Decayed count of earlier requests for an object, at or above which the object is likely to be cached.
LIKELY_CACHED_COUNT = 0.5


class RequestAdmission:
    """Makes each new request a pending one, starts its deadline timer and hands it to the dispatcher."""

    def __init__(self, state: DecisionState, dispatcher: Dispatcher, completion: Completion) -> None:
        self._context = state.context
        self._requests = state.requests
        self._sizes = state.sizes
        self._ranking = state.ranking
        self._slow_start = state.placement.slow_start
        self._retry_budget = state.retry_budget
        self._dispatcher = dispatcher
        self._completion = completion
        self.classes: dict[str, api.RequestClass] = {}
        self.typical_latencies: dict[str, TypicalLatency] = {}
        # Requests by the token of the timer that fires at their deadline.
        self.deadlines: dict[int, PendingRequest] = {}
        self._transfer_rate_kb_per_ms = DEFAULT_TRANSFER_RATE_KB_PER_MS
        self._last_token = 0

    def adopt(self, settings: api.Settings) -> None:
        """Use these settings for new requests; an open request keeps those that it was admitted under."""
        self._transfer_rate_kb_per_ms = settings.transfer_rate_kb_per_ms or DEFAULT_TRANSFER_RATE_KB_PER_MS
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        self.typical_latencies = {
            name: self.typical_latencies.get(name, TypicalLatency()) for name in self.classes
        }
        self._sizes.keep_classes(self.classes)

    def admit(self, event: api.Request) -> None:
        """Admit a request; reject one of an unknown class, and ignore one whose id is already open."""
        request_class = self.classes.get(event.class_name)
        if request_class is None:
            self._completion.reject(event.request_id)
            return
        if event.request_id in self._requests.open:
            return
        size_kb = self._sizes.learn_announced(request_class.name, event.size_kb)
        mean_kb = self._sizes.class_mean_kb(request_class.name)
        self._slow_start.record_request(mean_kb / self._transfer_rate_kb_per_ms)
        self._retry_budget.deposit()
        request = self._pending(event, request_class, size_kb=size_kb, mean_kb=mean_kb)
        self._requests.add(request)
        self._start_deadline(request)
        self._dispatcher.dispatch(request)

    def deadline_passed(self, token: int) -> None:
        """Give up the request whose deadline timer has fired, if it is still open."""
        request = self.deadlines.pop(token, None)
        if request is not None and request.state is not RequestState.CLOSED:
            self._completion.give_up(request)

    def _pending(
        self, event: api.Request, request_class: api.RequestClass, *, size_kb: float, mean_kb: float
    ) -> PendingRequest:
        """Return the request with its limits; ``mean_kb`` is the mean size of its class."""
        now_ms = self._context.now_ms
        settings = self._context.settings
        object_hash = mix64(mix64(event.key) ^ event.part)
        transfer_ms = size_kb / self._transfer_rate_kb_per_ms
        # A request of unknown size costs a cold server's budget its latency objective: it must not be free.
        floor_ms = self._sizes.unknown_size_floor(
            request_class.name, request_class.latency_objective_ms, has_capacities=settings.servers_weighted
        )
        earlier_requests = self._ranking.count_request(object_hash, now_ms)
        deadline_ms = now_ms + event.remaining_ms - ANSWER_MARGIN_MS
        is_keyed = request_class.idempotency is api.Idempotency.KEYED
        is_unrepeatable = request_class.idempotency is api.Idempotency.NON_IDEMPOTENT
        return PendingRequest(
            id=event.request_id,
            event=event,
            request_class=request_class,
            object_hash=object_hash,
            idempotency_key=event.idempotency_key if is_keyed else "",
            transaction_id=event.transaction_id if is_unrepeatable else "",
            transfer_ms=transfer_ms,
            cache_cost_ms=max(mean_kb / self._transfer_rate_kb_per_ms, floor_ms),
            fill_cost_ms=max(transfer_ms, floor_ms),
            size_weight=self._sizes.relative_to_mean(size_kb),
            class_size_weight=self._sizes.relative_to_mean(mean_kb),
            is_likely_miss=earlier_requests < LIKELY_CACHED_COUNT and not request_class.uncacheable,
            objective_ms=request_class.latency_objective_ms
            + request_class.objective_transfer_factor * transfer_ms,
            deadline_ms=deadline_ms,
            useful_until_ms=deadline_ms
            if request_class.late_value_share
            else now_ms + request_class.latency_objective_ms,
            typical_latency=self.typical_latencies[request_class.name],
            attempt_limit=settings.max_attempts,
        )

    def _start_deadline(self, request: PendingRequest) -> None:
        """Set the timer that fires at the request's deadline."""
        self._last_token += 1
        self.deadlines[self._last_token] = request
        remaining_ms = max(request.deadline_ms - self._context.now_ms, 0.0)
        self._context.actions.append(api.SetTimer(remaining_ms, self._last_token))
