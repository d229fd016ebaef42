"""Pending requests, their attempts, and the table of both open and waiting requests."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum, auto

from thornjunction import interface as api
from thornjunction.estimates import TypicalLatency
from thornjunction.policy.upstreams import Upstream


class RequestState(Enum):
    """The state of a pending request."""

    OPEN = auto()  # it has an attempt in flight, or gets one in this event
    WAITING = auto()  # it has no attempt in flight; a tick dispatches it again
    CLOSED = auto()  # it was answered, or its client disconnected


@dataclass(slots=True, eq=False, weakref_slot=True)
class PendingRequest:
    """A request that has no final answer yet. Costs are ms of transfer time."""

    id: str
    event: api.Request
    request_class: api.RequestClass
    object_hash: int  # of the object and the part, since each part is cached separately
    idempotency_key: str  # empty unless the request class is keyed
    transaction_id: str  # empty unless the request class is non-idempotent
    transfer_ms: float  # transfer time of its answer without other load
    cache_cost_ms: float  # charged to the slow-start budget of its cache
    fill_cost_ms: float  # charged to the slow-start budget of its source
    size_weight: float  # its size divided by the mean of all requests
    class_size_weight: float  # the mean size of its class divided by the mean of all requests
    is_likely_miss: bool
    objective_ms: float  # the latency within which an answer counts as in time
    deadline_ms: float  # time of the latest answer
    useful_until_ms: float  # time after which an answer has no value
    typical_latency: TypicalLatency  # of its class
    attempt_limit: int
    state: RequestState = RequestState.OPEN
    attempts_started: int = 0
    in_flight: list[Attempt] = field(default_factory=list)  # at most two: an attempt and its hedge
    possible_execution: api.PossibleExecution | None = None  # of the first attempt that may have executed it
    peer_lookups: int = 0  # attempts whose source was another edge cache
    cached_only: bool = False  # whether only cached copies may answer it
    retry_at_ms: float = -math.inf  # end of its backoff
    tried_servers: set[str] = field(default_factory=set)  # ids of caches and sources that failed it
    faulty_servers: list[Upstream] = field(default_factory=list)  # servers that answered it with an error


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request that is in flight."""

    request: PendingRequest
    number: int
    server: Upstream
    source: Upstream | None  # of a fill; None if a miss is not filled
    sent_at_ms: float
    execution: api.PossibleExecution
    cached_only: bool = False  # whether its source answers from its own cache alone
    timeliness_recorded: bool = False  # whether the admission gates have learnt from it
    exceeded_typical_latency: bool = False  # whether it has taken longer than is typical of its class

    @property
    def transfer_ms(self) -> float:
        """The transfer time of the answer without other load."""
        return self.request.transfer_ms

    @property
    def request_class(self) -> api.RequestClass:
        """The class of its request."""
        return self.request.request_class


class RequestTable:
    """All open requests by id, and those of them that wait."""

    def __init__(self) -> None:
        self.open: dict[str, PendingRequest] = {}
        self.waiting: dict[str, PendingRequest] = {}

    def add(self, request: PendingRequest) -> None:
        """Add a new request."""
        self.open[request.id] = request

    def wait(self, request: PendingRequest) -> None:
        """Add a request at the end of the waiting ones."""
        request.state = RequestState.WAITING
        self.waiting[request.id] = request

    def resume(self, request: PendingRequest) -> None:
        """Remove a request from the waiting ones, before it is dispatched again."""
        request.state = RequestState.OPEN
        del self.waiting[request.id]

    def due(self, now_ms: float) -> list[PendingRequest]:
        """Return the waiting requests whose backoff has ended, the longest waiting first."""
        return [request for request in self.waiting.values() if request.retry_at_ms <= now_ms]

    def remove(self, request: PendingRequest) -> None:
        """Close a request and remove it."""
        request.state = RequestState.CLOSED
        del self.open[request.id]
        self.waiting.pop(request.id, None)
