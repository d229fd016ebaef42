"""What a router is configured with."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from thornjunction.interface.enums import DeduplicationScope, FillReporting, Idempotency, PeerFill


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
            run; keyed classes only.
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
    """The settings of a router; as an event, they replace the earlier ones for requests from then on.

    Attributes:
        classes: all request classes.
        zone: the zone in which this router stands.
        router_count: number of routers in all zones.
        routers_by_zone: number of routers that serve each zone, by zone.
        max_attempts: attempts of one request at most; further ones end NOT_STARTED.
        drain_grace_ms: how long after the news of a drain an attempt may still go to the server.
        initial_capacity_share: share of its full capacity that an edge cache server has at its start, 0 to 1.
        slow_start_ms: time after its start by which an edge cache server has its full capacity.
        overload_multiple: an edge cache server that warms up is overloaded when it is sent more than this
            multiple of its present capacity for ``overload_window_ms``.
        overload_window_ms: see ``overload_multiple``.
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
