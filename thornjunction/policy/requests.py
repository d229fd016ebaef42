"""Requests that are owed an answer, and their attempts."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum, auto

from thornjunction import interface as api
from thornjunction.estimates import TypicalLatency
from thornjunction.limits.idempotency import PossibleExecution
from thornjunction.policy.upstreams import Upstream


class RequestState(Enum):
    """Where a request stands."""

    OPEN = auto()
    WAITING = auto()  # open, with nothing in flight, until a server may take it or its backoff ends
    CLOSED = auto()  # answered, or nothing is owed any more


@dataclass(slots=True, eq=False, weakref_slot=True)
class PendingRequest:
    """A request that is owed an answer. Costs are ms of transfer time."""

    id: str
    event: api.Request
    request_class: api.RequestClass
    object_hash: int  # of the object and its part: each part is cached as an object of its own
    idempotency_key: str  # empty: repeats cannot be told apart
    transfer_ms: float  # of its answer, alone
    cache_cost_ms: float  # what it counts as at a cold cache
    fill_cost_ms: float  # what its fill counts as at a cold parent
    size_weight: float  # its size over the mean of all
    class_size_weight: float  # its class's mean size over the mean of all
    is_likely_miss: bool
    objective_ms: float  # the latency within which an answer counts as in time
    deadline_ms: float  # when it is answered at the latest
    useful_until_ms: float  # later answers earn nothing
    typical_latency: TypicalLatency  # of its class
    attempt_limit: int
    state: RequestState = RequestState.OPEN
    attempts_started: int = 0
    in_flight: list[Attempt] = field(default_factory=list)  # a second one is the hedge of the first
    possible_execution: PossibleExecution | None = None  # by the first attempt that may have executed it
    peer_lookups: int = 0  # attempts that asked another cache for what it holds
    cached_only: bool = False  # only cached copies may be asked for
    retry_at_ms: float = -math.inf  # end of its backoff
    tried_servers: set[str] = field(default_factory=set)  # caches and sources that did not serve it
    faulty_servers: list[Upstream] = field(default_factory=list)  # that answered it with an error


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request that is in flight."""

    request: PendingRequest
    number: int
    server: Upstream
    source: Upstream | None  # of a fill; None: no fill
    sent_at_ms: float
    execution: PossibleExecution
    cached_only: bool = False  # its source gives only what it has cached
    timeliness_recorded: bool = False  # the gates have learnt from it, late or in time
    exceeded_typical_latency: bool = False

    @property
    def transfer_ms(self) -> float:
        """How long the answer takes to transfer alone."""
        return self.request.transfer_ms

    @property
    def request_class(self) -> api.RequestClass:
        """The class of its request."""
        return self.request.request_class


class RequestTable:
    """All open requests by name, and which of them wait."""

    def __init__(self) -> None:
        self.open: dict[str, PendingRequest] = {}
        self.waiting: dict[str, PendingRequest] = {}

    def add(self, request: PendingRequest) -> None:
        """Take in a new request."""
        self.open[request.id] = request

    def wait(self, request: PendingRequest) -> None:
        """Put a request behind all others that wait."""
        request.state = RequestState.WAITING
        self.waiting[request.id] = request

    def resume(self, request: PendingRequest) -> None:
        """End a request's wait."""
        request.state = RequestState.OPEN
        del self.waiting[request.id]

    def due(self, now_ms: float) -> list[PendingRequest]:
        """Return the waiting requests whose backoff has ended, in the order in which they came to wait."""
        return [request for request in self.waiting.values() if request.retry_at_ms <= now_ms]

    def remove(self, request: PendingRequest) -> None:
        """Forget a request: nothing is owed for it any more."""
        request.state = RequestState.CLOSED
        del self.open[request.id]
        self.waiting.pop(request.id, None)
