"""Settings and servers for benchmarks of the decision code alone, without a router process."""

from __future__ import annotations

from thornjunction import interface as api

# The zone of the router under test.
LOCAL_ZONE = "here"
REMOTE_ZONE = "hub"
EDGE_WEIGHT = 8.0
PARENT_WEIGHT = 20.0

FILMS = api.RequestClass(
    "films",
    500.0,
    5000.0,
    api.Idempotency.IDEMPOTENT,
    objective_transfer_factor=1.6,
    late_value_share=0.1,
    priority_weight=2.0,
)
PAGES = api.RequestClass(
    "pages", 300.0, 3000.0, api.Idempotency.IDEMPOTENT, objective_transfer_factor=2.0, freshness_ms=12_000.0
)
KEYED = api.RequestClass(
    "keyed", 700.0, 3000.0, api.Idempotency.KEYED, deduplication_window_ms=2000.0, uncacheable=True
)
ORDERS = api.RequestClass("order", 700.0, 3000.0, api.Idempotency.NON_IDEMPOTENT, uncacheable=True)

SETTINGS = api.Settings(
    classes=(FILMS, PAGES, KEYED, ORDERS),
    zone=LOCAL_ZONE,
    router_count=4,
    routers_by_zone={LOCAL_ZONE: 2},
    max_attempts=6,
    drain_grace_ms=500.0,
    initial_capacity_share=0.2,
    slow_start_ms=15_000.0,
    overload_multiple=2.0,
    overload_window_ms=1000.0,
    parent_initial_capacity_share=0.1,
    parent_slow_start_ms=20_000.0,
    purge_propagation_ms=6000.0,
    purge_grace_ms=500.0,
    transfer_rate_kb_per_ms=5.0,
    servers_weighted=True,
    may_cancel=True,
    may_coalesce=True,
    fill_reporting=api.FillReporting.ALL,
)

ORIGIN = api.ServerEntry("origin", api.Role.ORIGIN, REMOTE_ZONE, weight=PARENT_WEIGHT)


def edge(name: str, zone: str = LOCAL_ZONE) -> api.ServerEntry:
    """Return the entry of an edge cache, by default in the router's zone."""
    return api.ServerEntry(name, api.Role.EDGE, zone, weight=EDGE_WEIGHT)


def parent(name: str) -> api.ServerEntry:
    """Return the entry of a parent, which is in the remote zone."""
    return api.ServerEntry(name, api.Role.PARENT, REMOTE_ZONE, weight=PARENT_WEIGHT)
