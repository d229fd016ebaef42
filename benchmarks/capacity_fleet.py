"""Measures the combined effect of many routers that do not communicate, with a model of a fleet.

    PYTHONPATH=. python benchmarks/capacity_fleet.py [--routers N,N] [PART...]

Parts: ``connections`` (at a server, at the parents, at the origin), ``cold`` (the slow start of cold
servers, summed over the fleet), ``origin`` (the load on the origin), ``retries`` (the sum of all retry
budgets) and ``keyed`` (requests with an idempotency key); all of them by default. No sockets; seeds are
fixed, so that counts are reproducible.
"""

from __future__ import annotations

import itertools
import math
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

import click
from benchmark_tools.cold_server_model import (
    COLD_EDGE,
    COLD_PARENT,
    RUN_MS,
    START_MS,
    WINDOW_MS,
    simulate_cold_fleet,
    window_budget,
)
from benchmark_tools.command_line import NumberList, run_parts
from benchmark_tools.connection_model import ROUTERS_PER_SITE, simulate_router
from benchmark_tools.decision_servers import KEYED, LOCAL_ZONE, ORIGIN, SETTINGS, edge
from benchmark_tools.line_fit import fit_line
from benchmark_tools.origin_model import BURST_BEGIN_S, BURST_END_S, RECOVERY_S, RUN_S, FleetSize, OriginFleet
from benchmark_tools.tables import markdown_table, print_table

from thornjunction import interface as api
from thornjunction.limits.idempotency import KEY_LIFETIME_MS, MAX_KEYS
from thornjunction.limits.retry_budget import MAX_FLEET_RETRIES
from thornjunction.net.upstream.connector import MAX_CONNECTIONS_PER_SERVER
from thornjunction.net.upstream.dispatcher import MAX_CONNECTIONS_IF_EXHAUSTED, MAX_CONNECTIONS_IF_LOADED
from thornjunction.policy.router import Router

DEFAULT_ROUTERS = (50, 200, 600, 1_200)
FULL_FLEET = 1_200
RESPONSE_TIMES_MS = (80.0, 1_000.0)
COLD_REQUESTS_PER_S = (1.0, 20.0)
# The fleet of the origin model: requests per second of all routers, and the capacity of the origin.
FLEET_REQUESTS_PER_S = 200 * 6.0
ORIGIN_PER_S = 170.0
# Factor by which both the fleet's requests and the origin's capacity are larger in the last row.
LARGE_FLEET_FACTOR = 6
SMALL_FLEETS = (4, 20)
# Keyed requests per second of a router, the duration of a run, and the span at its end that is counted.
KEYED_RATES_PER_S = (5, 10, 13, 15, 20, 30, 60)
KEYED_RUN_MS = 1_500_000.0
KEYED_SPAN_MS = 600_000.0
KEYED_SIZE_KB = 10.0
KEYED_RESPONSE_MS = 1.0


@dataclass(frozen=True, slots=True)
class FleetConnections:
    """Connections of a fleet: at the busiest edge, all parents and the origin; and its health checks."""

    busiest_edge: int
    all_parents: int
    origin: int
    health_checks: int


def measure_connections(fleet_sizes: Sequence[int]) -> None:
    """Print connections by the number of routers, for fast and for slow responses."""
    columns = (
        "routers", "at the busiest edge", "bound", "at parents", "at the origin", "bound", "health checks",
    )  # fmt: skip
    for response_ms in RESPONSE_TIMES_MS:
        fleets = {routers: _fleet_connections(routers, response_ms) for routers in fleet_sizes}
        rows = [
            (
                routers,
                fleet.busiest_edge,
                ROUTERS_PER_SITE * MAX_CONNECTIONS_IF_EXHAUSTED,
                fleet.all_parents,
                fleet.origin,
                routers * MAX_CONNECTIONS_IF_EXHAUSTED,
                fleet.health_checks,
            )
            for routers, fleet in fleets.items()
        ]
        line = fit_line([(routers, fleet.origin) for routers, fleet in fleets.items()])
        print(f"responses after {response_ms:.0f} ms\n\n{markdown_table(columns, rows)}")
        print(f"\nfit, origin: {line.text('connections', 'per router', 3)}\n")
    print(
        f"bounds of a pool: {MAX_CONNECTIONS_IF_LOADED} while some have free streams, "
        f"{MAX_CONNECTIONS_IF_EXHAUSTED} while none has, {MAX_CONNECTIONS_PER_SERVER} in all\n"
    )


def _fleet_connections(routers: int, response_ms: float) -> FleetConnections:
    connections = Counter[str]()
    health_checks = 0
    for seed in range(routers):
        router = simulate_router(seed, response_ms, routers)
        health_checks += router.health_checks
        site = seed // ROUTERS_PER_SITE
        for server, count in router.by_server.items():
            connections[server if server == ORIGIN.server else f"{server} of {site}"] += count
    return FleetConnections(
        busiest_edge=max(count for name, count in connections.items() if name.startswith("edge")),
        all_parents=sum(count for name, count in connections.items() if name.startswith("parent")),
        origin=connections[ORIGIN.server],
        health_checks=health_checks,
    )


def measure_cold_servers(fleet_sizes: Sequence[int]) -> None:
    """Print the load on cold servers if all routers are in one zone, and so divide an edge's budget."""
    columns = (
        "requests per s and router", "routers", "cold server", "worst window over its budget", "last window",
        "first used after ms",
    )  # fmt: skip
    rows = []
    for requests_per_s in COLD_REQUESTS_PER_S:
        for routers in fleet_sizes:
            attempts_ms = simulate_cold_fleet(routers, requests_per_s)
            for entry in (COLD_EDGE, COLD_PARENT):
                cells = _cold_server_cells(entry.role, sorted(attempts_ms[entry.server]))
                rows.append((f"{requests_per_s:.0f}", routers, *cells))
    print_table(columns, rows)


def _cold_server_cells(role: api.Role, times_ms: Sequence[float]) -> tuple[object, ...]:
    worst_share = max(
        (_count_in_window(times_ms, end_ms) / window_budget(role, end_ms) for end_ms in times_ms), default=0.0
    )
    last_count = _count_in_window(times_ms, times_ms[-1]) if times_ms else 0
    last_share = last_count / window_budget(role, START_MS + RUN_MS)
    first_ms = times_ms[0] - START_MS if times_ms else math.inf
    return role.value, f"{worst_share:.2f}", f"{last_share:.2f}", f"{first_ms:.0f}"


def _count_in_window(times_ms: Sequence[float], end_ms: float) -> int:
    return sum(end_ms - WINDOW_MS < time_ms <= end_ms for time_ms in times_ms)


def measure_origin(fleet_sizes: Sequence[int]) -> None:
    """Print the load on the origin by the number of routers at one total rate, and of a larger fleet."""
    sizes = [FleetSize(routers, FLEET_REQUESTS_PER_S / routers, ORIGIN_PER_S) for routers in fleet_sizes]
    requests_per_s = LARGE_FLEET_FACTOR * FLEET_REQUESTS_PER_S / FULL_FLEET
    sizes.append(FleetSize(FULL_FLEET, requests_per_s, LARGE_FLEET_FACTOR * ORIGIN_PER_S))
    columns = (
        "routers", "requests per s each", "origin capacity per s", "origin stops",
        "worst 3 s over the stop threshold", "in time before", "in time from 5 s after the burst",
    )  # fmt: skip
    print_table(columns, [_origin_row(size) for size in sizes])


def _origin_row(size: FleetSize) -> tuple[object, ...]:
    fleet = OriginFleet(size)
    fleet.run()
    before_burst = range(1, int(BURST_BEGIN_S))
    after_recovery = range(int(BURST_END_S) + RECOVERY_S, int(RUN_S) - 1)
    return (
        size.routers,
        f"{size.requests_per_s:g}",
        f"{size.origin_per_s:.0f}",
        len(fleet.origin.stops_ms),
        f"{fleet.worst_overload_share():.2f}",
        f"{fleet.in_time_share(before_burst):.3f}",
        f"{fleet.in_time_share(after_recovery):.3f}",
    )


def measure_retry_budgets(fleet_sizes: Sequence[int]) -> None:
    """Print the sum of all full retry budgets by the number of routers."""
    points = [(routers, _fleet_retry_tokens(routers)) for routers in (*SMALL_FLEETS, *fleet_sizes)]
    rows = [
        (routers, f"{token_count:.0f}", f"{MAX_FLEET_RETRIES:.0f}", f"{token_count / MAX_FLEET_RETRIES:.1f}")
        for routers, token_count in points
    ]
    print(markdown_table(("routers", "retries in all budgets", "fleet bound", "ratio"), rows))
    print(f"\nfit: {fit_line(points).text('retries', 'per router')}\n")


def _fleet_retry_tokens(routers: int) -> float:
    return routers * Router(replace(SETTINGS, router_count=routers), 1).state.retry_budget.tokens


@dataclass(frozen=True, slots=True)
class KeyedService:
    """The share of keyed requests that get an attempt, and the longest interval between two attempts."""

    sent_share: float
    longest_gap_ms: float


def measure_keyed_requests(_fleet_sizes: Sequence[int]) -> None:
    """Print the share of keyed requests that a router sends to a server, by their rate."""
    rows = []
    for requests_per_s in KEYED_RATES_PER_S:
        service = _keyed_service(requests_per_s)
        rows.append((requests_per_s, f"{service.sent_share:.3f}", f"{service.longest_gap_ms / 1_000:.1f}"))
    columns = (
        "keyed requests per s and router",
        "share sent, over 10 minutes",
        "longest s between two attempts",
    )
    print(markdown_table(columns, rows))
    lifetime_s = KEY_LIFETIME_MS / 1_000
    print(f"\nbound: {MAX_KEYS} keys for {lifetime_s:.0f} s: {MAX_KEYS / lifetime_s:.2f} per s\n")


def _keyed_service(requests_per_s: float) -> KeyedService:
    settings = replace(
        SETTINGS,
        router_count=FULL_FLEET,
        routers_by_zone={LOCAL_ZONE: ROUTERS_PER_SITE},
        may_bypass_caches=True,
    )
    router = Router(settings, 1)
    now_ms = 0.0
    number = 0
    sent_ms: list[float] = []
    router.handle(now_ms, api.EndpointListUpdate((edge("edge0"), ORIGIN)))
    while now_ms < KEYED_RUN_MS:
        now_ms += 1_000.0 / requests_per_s
        number += 1
        for attempt in _keyed_attempts(router, now_ms, number):
            sent_ms.append(now_ms)
            router.handle(now_ms, _success(attempt))
    counted = sum(time_ms > KEYED_RUN_MS - KEYED_SPAN_MS for time_ms in sent_ms)
    return KeyedService(
        sent_share=counted / (KEYED_SPAN_MS / 1_000.0 * requests_per_s),
        longest_gap_ms=max(later - earlier for earlier, later in itertools.pairwise(sent_ms)),
    )


def _keyed_attempts(router: Router, now_ms: float, number: int) -> list[api.StartAttempt]:
    """Request a new object with a new idempotency key, and return the attempts."""
    request = api.Request(
        f"{number}",
        KEYED.name,
        number,
        KEYED.client_timeout_ms,
        size_kb=KEYED_SIZE_KB,
        idempotency_key=f"{number}",
    )
    actions = router.handle(now_ms, request)
    return [action for action in actions if isinstance(action, api.StartAttempt)]


def _success(attempt: api.StartAttempt) -> api.AttemptEnded:
    succeeded = api.AttemptStatus.SUCCEEDED
    return api.AttemptEnded(attempt.request_id, 0, attempt.server, succeeded, KEYED_RESPONSE_MS, final=True)


PARTS: dict[str, Callable[[Sequence[int]], None]] = {
    "connections": measure_connections,
    "cold": measure_cold_servers,
    "origin": measure_origin,
    "retries": measure_retry_budgets,
    "keyed": measure_keyed_requests,
}


@click.command(help=__doc__)
@click.option("--routers", type=NumberList(), default=DEFAULT_ROUTERS, help="sizes of the fleet")
@click.argument("parts", nargs=-1, type=click.Choice(list(PARTS)))
def main(routers: tuple[int, ...], parts: tuple[str, ...]) -> None:
    """Measure the selected parts, or all."""
    run_parts(PARTS, parts, routers)


if __name__ == "__main__":
    main()
