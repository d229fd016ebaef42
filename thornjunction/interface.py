"""Events and actions of the router's decisions, and the settings they follow.

All times are floats in milliseconds: spans, or points of the caller's own monotonic clock, whose zero is
arbitrary.  All sizes are in KB.

A caller builds one ``Router(settings, seed, name)`` (``thornjunction.policy.router``) per process start,
hands it each event together with the time at which it happened, and carries out the returned actions at that
same time and in their order.  Routers read no clock, do no I/O and share no state.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Idempotency(Enum):
    """What it does to the system to run a request of a class more than once.

    Attributes:
        IDEMPOTENT: nothing; the request may be repeated at any time.
        KEYED: nothing for as long as the servers discard repeats of its idempotency key.
        NON_IDEMPOTENT: a second effect; the request may be repeated only if no attempt can have run.
    """

    IDEMPOTENT = "safe"
    KEYED = "keyed"
    NON_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """Which cache servers discard a keyed request that one of them has seen before.

    Attributes:
        ALL: all of them.
        ZONE: those in the zone of the one that saw it.
        CELL: those in the cell of the one that saw it.
    """

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class PeerFill(Enum):
    """Which edge cache servers may be named as the source from which another fills a miss.

    Attributes:
        NONE: none; only parents and the origin are sources.
        LOCATION: those in the router's own zone.
        ANY: those in any zone.
    """

    NONE = "none"
    LOCATION = "location"
    ANY = "any"


class FillReporting(Enum):
    """How much the outcomes of attempts tell about the cache fill behind them (``AttemptEnded.fill_result``).

    Attributes:
        ALL: every ``FillResult``, and the time that the source took.
        HIT: only HIT, FILLED, JOINED and STALE; FILLED stands for FILLED_FROM_ORIGIN too.
        NONE: nothing; every note is ``Note.NONE``.
    """

    ALL = "all"
    HIT = "hit"
    NONE = "none"


class Role(Enum):
    """What kind of server a line of the server list is.

    Attributes:
        EDGE: a cache server that answers clients' requests.
        PARENT: a cache server from which edge cache servers fill their misses.
        ORIGIN: the server that has every object and runs what is not cacheable.
    """

    EDGE = "edge"
    PARENT = "parent"
    ORIGIN = "origin"


class ServerState(Enum):
    """The state of a server in the server list.

    Attributes:
        SERVING: it takes new work.
        DRAINING: it finishes what it has and must get nothing new.
        REMOVED: it has left the list.
    """

    SERVING = "serving"
    DRAINING = "draining"
    REMOVED = "gone"


class AttemptStatus(Enum):
    """How an attempt or a health check ended.

    Attributes:
        SUCCEEDED: it was answered.
        ERROR: the server answered with an error; the request may have run.
        OVERLOADED: the server was full; the request never ran.
        TIMEOUT: no answer came within the attempt's time limit; the request may have run.
        CONNECTION_REFUSED: no connection came up; the request never ran.
        CONNECTION_RESET: the connection broke; the request may have run.
        CANCELLED: the router cancelled the attempt; the request may have run.
        NOT_STARTED: the attempt was dropped before it was sent; the request never ran.
        CACHE_MISS: the server lacks the object and was not to fetch it; the request never ran.
    """

    SUCCEEDED = "done"
    ERROR = "error"
    OVERLOADED = "busy"
    TIMEOUT = "timeout"
    CONNECTION_REFUSED = "connection refused"
    CONNECTION_RESET = "connection reset"
    CANCELLED = "cancelled"
    NOT_STARTED = "skipped"
    CACHE_MISS = "miss"


class FillResult(IntEnum):
    """What an outcome tells about the cache fill behind it; the numbers are those of the wire.

    Attributes:
        NONE: nothing is told.
        HIT: the server had a copy.
        FILLED: the server fetched the object from its source.
        FILLED_FROM_ORIGIN: its source fetched the object from the origin in turn.
        JOINED: the request waited for a fill that was in progress; with MISS: a fill is in progress there.
        STALE: the answer came from a copy past its fresh time.
        SOURCE_REFUSED: the source rejected the fill.
        SOURCE_BROKE: the source was not reached, broke off or ran out of time.
        SOURCE_LACKS: the source lacks the object.
        NO_FILL_PLACE: the server had no capacity for another fill.
        ORIGIN_FAILED: the origin failed behind the source.
    """

    NONE = 0
    HIT = 1
    FILLED = 2
    FILLED_FROM_ORIGIN = 3
    JOINED = 4
    STALE = 5
    SOURCE_REFUSED = 6
    SOURCE_BROKE = 7
    SOURCE_LACKS = 8
    NO_FILL_PLACE = 9
    ORIGIN_FAILED = 10


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests, and what its clients expect.

    Attributes:
        name: the class's name in requests.
        latency_objective_ms: latency objective; an answer within it earns the class's whole priority weight.
        client_timeout_ms: how long a client waits in total, over all of its own retries.
        idempotency: what it does to run a request more than once.
        objective_transfer_factor: multiple of the request's own transfer time that is added to
            ``latency_objective_ms``.
        late_value_share: share of the priority weight that an answer past the objective earns, 0 to 1.
        priority_weight: priority weight of one request, relative to the other classes.
        deduplication_scope: which servers discard repeats; keyed classes only.
        deduplication_window_ms: how long they discard repeats, counted from the first attempt that may have
            run; keyed
            classes only.
        freshness_ms: how long a copy is fresh; 0: until it is purged.
        stale_grace_ms: how much older than fresh a copy may be where a request asks for that.
        uncacheable: whether requests run at the origin and are never cached.
    """

    name: str
    latency_objective_ms: float
    client_timeout_ms: float
    idempotency: Idempotency
    objective_transfer_factor: float = 0.0
    late_value_share: float = 0.0
    priority_weight: float = 1.0
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0
    freshness_ms: float = 0.0
    stale_grace_ms: float = 0.0
    uncacheable: bool = False


@dataclass(frozen=True, slots=True)
class Settings:
    """What a router is configured with at its start; as an event, what holds for requests from then on.

    Attributes:
        classes: all request classes.
        zone: the zone in which this router stands.
        router_count: number of routers in all zones.
        routers_by_zone: number of routers that serve each zone, by zone.
        max_attempts: attempts of one request at most; further ones end SKIPPED.
        drain_grace_ms: how long after the news of a drain an attempt may still go to the server.
        initial_capacity_share: share of its full capacity that an edge cache server has at its start, 0 to 1.
        slow_start_ms: time after its start by which an edge cache server has its full capacity.
        overload_multiple: an edge cache server that warms up is overloaded when it is sent more than this
            multiple of its present capacity ...
        overload_window_ms: ... for this long.
        parent_initial_capacity_share: as ``initial_capacity_share``, of a parent.
        parent_slow_start_ms: as ``slow_start_ms``, of a parent.
        parent_overload_multiple: as ``overload_multiple``, of a parent.
        purge_propagation_ms: time after a purge by which all caches have dropped the older copies by
            themselves.
        purge_grace_ms: how long after the news of a purge attempts may still be answered from older copies.
        answer_slack_ms: how long after a client's deadline its final answer still counts.
        transfer_rate_kb_per_ms: transfer rate to one client at most; 0: not given.
        servers_weighted: whether a server's weight is its capacity, counted in transfers at that rate.
        may_cancel: whether attempts may be cancelled.
        may_hedge: whether two attempts of one request may be in flight together (hedged requests).
        may_check_health: whether the router may send health checks.
        may_bypass_caches: whether requests may go to a parent or the origin without an edge cache server.
        may_coalesce: whether a request may wait for a fill that is in progress.
        may_send_retry_after: whether a rejection may carry a Retry-After time.
        max_retry_after_ms: longest Retry-After time that clients respect.
        peer_fill: which edge cache servers may be sources of a fill.
        fill_reporting: how much outcomes tell about fills.
        hub_by_zone: by zone, the zone of its hub, where its nearest parents stand.
        link_rate_by_zone_kb_per_ms: by zone, the capacity of its inbound link; zones without a figure are
            left out.
    """

    classes: tuple[RequestClass, ...]
    zone: str
    router_count: int
    routers_by_zone: Mapping[str, int]
    max_attempts: int
    drain_grace_ms: float
    initial_capacity_share: float
    slow_start_ms: float
    overload_multiple: float
    overload_window_ms: float
    parent_initial_capacity_share: float = 1.0
    parent_slow_start_ms: float = 0.0
    parent_overload_multiple: float = 2.0
    purge_propagation_ms: float = 0.0
    purge_grace_ms: float = 0.0
    answer_slack_ms: float = 0.0
    transfer_rate_kb_per_ms: float = 0.0
    servers_weighted: bool = False
    may_cancel: bool = False
    may_hedge: bool = False
    may_check_health: bool = False
    may_bypass_caches: bool = False
    may_coalesce: bool = False
    may_send_retry_after: bool = False
    max_retry_after_ms: float = 0.0
    peer_fill: PeerFill = PeerFill.NONE
    fill_reporting: FillReporting = FillReporting.NONE
    hub_by_zone: Mapping[str, str] = field(default_factory=dict)
    link_rate_by_zone_kb_per_ms: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A server's load report; a value that was not reported is None.

    Attributes:
        cpu_utilization: share of its cores in use, 0 to 1.
        hit_ratio: share of recent requests that were cache hits, 0 to 1.
        link_utilization: of an edge cache server, the utilization of its zone's inbound link: transfers in
            progress over
            those that fit at full rate.
    """

    cpu_utilization: float | None = None
    hit_ratio: float | None = None
    link_utilization: float | None = None


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One line of the server list.

    Attributes:
        server: the server's name, an opaque identifier.
        role: its kind.
        zone: the zone in which it stands.
        state: whether it may get new work.
        weight: its capacity relative to other servers; with ``Settings.servers_weighted``, in concurrent
            transfers.
        cell: the cell whose servers discard each other's repeats (``DeduplicationScope.CELL``).
        started_ms: time of its last start on the caller's clock; 0: long ago.
    """

    server: str
    role: Role
    zone: str
    state: ServerState = ServerState.SERVING
    weight: float = 1.0
    cell: int = 0
    started_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """The server list or its changes; a router's first event.

    Attributes:
        entries: the servers that are listed or have changed.
        complete: whether this is the complete list, from which every server not named in it is gone.
    """

    entries: tuple[ServerEntry, ...]
    complete: bool = True


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request; the caller owes exactly one final answer within ``remaining_ms``.

    Attributes:
        request_id: identifier, unique per router; actions and events carry it back.
        class_name: the name of its class.
        key: the object that it asks for.
        remaining_ms: how much longer the client waits.
        part: which part of the object, from 0; each part is cached separately.
        group: the group to which the object belongs (for purges).
        size_kb: size of the part; 0: not known.
        idempotency_key: the same in all of a client's retries of one request, keyed classes only; empty: not
            known.
    """

    request_id: str
    class_name: str
    key: int
    remaining_ms: float
    part: int = 0
    group: int = 0
    size_kb: float = 0.0
    idempotency_key: str = ""


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """How an attempt ended; reported exactly once per ``StartAttempt``.

    Attributes:
        request_id: the request's identifier.
        attempt_number: the attempt's number; 0 is the first of its request.
        server: the server to which it was sent.
        status: how it ended.
        elapsed_ms: time from its start to its end.
        fill_result: what is known of the fill behind it.
        fill_first_byte_ms: time from the start of the fill's last attempt to its first byte or its failure;
            None:
            not known.
        final: whether the request has its final answer; if not, the caller still owes it.
        report: the server's load report, where one came with the answer.
        size_kb: size of what was served, where it is known from the bytes; 0: not known.
    """

    request_id: str
    attempt_number: int
    server: str
    status: AttemptStatus
    elapsed_ms: float = 0.0
    fill_result: FillResult = FillResult.NONE
    fill_first_byte_ms: float | None = None
    final: bool = False
    report: LoadReport | None = None
    size_kb: float = 0.0


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client left; no answer is owed for the request any more.

    Attributes:
        request_id: the request's identifier.
    """

    request_id: str


@dataclass(frozen=True, slots=True)
class RequestExpired:
    """The caller cannot wait for this request any longer, though its client would: answer it now.

    Attributes:
        request_id: the request's identifier.
    """

    request_id: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the router set is due.

    Attributes:
        token: the token of its ``SetTimer``.
    """

    token: int


@dataclass(frozen=True, slots=True)
class PurgeReceived:
    """Copies that left the origin before the purge are out of date: those of one object, or of a group.

    Attributes:
        group: the group that was purged, or to which the purged object belongs.
        age_ms: how long ago the purge was made.
        key: the object that was purged; None: the whole group.
    """

    group: int
    age_ms: float
    key: int | None = None


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """The result of a health check.

    Attributes:
        server: the server that was checked.
        status: how the check ended; DONE: the server is healthy.
        elapsed_ms: time from its start to its end.
        report: the server's load report, where one came with the answer.
    """

    server: str
    status: AttemptStatus
    elapsed_ms: float = 0.0
    report: LoadReport | None = None


Event = (
    Settings
    | EndpointListUpdate
    | Request
    | AttemptEnded
    | ClientDisconnected
    | RequestExpired
    | TimerFired
    | PurgeReceived
    | HealthCheckEnded
)


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send the request to a server.  The attempts of one request are numbered from 0 in the order sent.

    Attributes:
        request_id: the request's identifier.
        server: where to send it.
        timeout_ms: time limit of the attempt, from now.
        source: the server from which a miss is filled; ``server`` itself: a miss is not filled.
        retention_rank: retention priority at which the copy is cached, 1 to 3, where 3 is kept longest; 0:
            not cached.
        max_age_ms: greatest age of a copy that may be served, at the server or the source; 0: the class's
            fresh time.
        coalesce: whether to wait for a fill that is in progress.
        refresh_in_background: whether to serve an ageing copy and refresh it in the background.
        cached_only: whether the source may give only what it has in its cache.
        start_within_ms: an attempt that has not begun so many ms after the decision ends SKIPPED, having
            never run.
    """

    request_id: str
    server: str
    timeout_ms: float
    source: str
    retention_rank: int = 0
    max_age_ms: float = 0.0
    coalesce: bool = False
    refresh_in_background: bool = False
    cached_only: bool = False
    start_within_ms: float = math.inf


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt.

    Proves nothing about whether it ran; an attempt that had not begun ends SKIPPED and never ran.

    Attributes:
        request_id: the request's identifier.
        attempt_number: the attempt's number.
    """

    request_id: str
    attempt_number: int


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Final answer: not served, and safe to retry.

    Attributes:
        request_id: the request's identifier.
        retry_after_ms: Retry-After time for the client; 0: none.
    """

    request_id: str
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: not served, and the request may have run.

    Attributes:
        request_id: the request's identifier.
    """

    request_id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver ``TimerFired(token)`` after a time.

    Attributes:
        in_ms: time from now.
        token: identifies the timer.
    """

    in_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Send a health check to a server.

    Attributes:
        server: the server's name.
    """

    server: str


Action = StartAttempt | CancelAttempt | RejectRequest | FailRequest | SetTimer | CheckHealth
