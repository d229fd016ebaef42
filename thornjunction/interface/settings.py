"""The settings of a router."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from thornjunction.interface.enums import DeduplicationScope, FillReporting, Idempotency, PeerFill


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests, with the latency and the cache properties that its clients expect.

    Attributes:
        name: the class's name in requests.
        latency_objective_ms: time within which an answer counts with the class's full priority weight.
        client_timeout_ms: how long a client waits in total, including all of its own retries.
        idempotency: the effect of running a request more than once.
        objective_transfer_factor: multiple of the request's own transfer time that is added to
            ``latency_objective_ms``.
        late_value_share: share of the priority weight with which a later answer counts, 0 to 1.
        priority_weight: priority weight of one request, relative to the other classes.
        deduplication_scope: which servers discard repeats; for keyed classes only.
        deduplication_window_ms: how long they discard repeats, counted from the first attempt that may have
            run; for keyed classes only.
        freshness_ms: how long a copy is fresh; 0: until it is purged.
        stale_grace_ms: time after ``freshness_ms`` during which a copy may be served where an attempt allows
            it.
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
        zone: the zone in which this router is located.
        router_count: number of routers in all zones.
        routers_by_zone: number of routers that serve each zone, by zone.
        max_attempts: greatest number of attempts of one request; further ones end NOT_STARTED.
        drain_grace_ms: time after a server is reported as draining during which it may still get attempts.
        initial_capacity_share: share of its full capacity that an edge cache server has at its start, 0 to 1.
        slow_start_ms: time from its start until an edge cache server has its full capacity.
        overload_multiple: an edge cache server in slow start is overloaded when it is sent more than this
            multiple of its present capacity for ``overload_window_ms``.
        overload_window_ms: time after which such a server is overloaded, see ``overload_multiple``.
        parent_initial_capacity_share: as ``initial_capacity_share``, for parents.
        parent_slow_start_ms: as ``slow_start_ms``, for parents.
        parent_overload_multiple: as ``overload_multiple``, for parents.
        purge_propagation_ms: time after a purge within which all caches remove the older copies by
            themselves.
        purge_grace_ms: time after a purge is received during which older copies may still be served.
        answer_slack_ms: time after a client's deadline during which its final answer still counts.
        transfer_rate_kb_per_ms: greatest transfer rate to one client; 0: not known.
        servers_weighted: whether the weights compare the servers' capacities.
        may_cancel: whether attempts may be cancelled.
        may_hedge: whether two attempts of one request may be in flight together (hedged requests).
        may_check_health: whether the router may send health checks.
        may_bypass_caches: whether attempts may go directly to a parent or the origin.
        may_coalesce: whether a request may wait for a fill that is in progress.
        may_send_retry_after: whether a rejection may carry a Retry-After time.
        max_retry_after_ms: longest Retry-After time that clients respect.
        peer_fill: which edge cache servers may be sources of a fill.
        fill_reporting: which results of fills are reported.
        hub_by_zone: by zone, the zone of its hub, where its nearest parents are located.
        link_rate_by_zone_kb_per_ms: by zone, the capacity of its inbound link; zones whose capacity is not
            known are left out.
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
