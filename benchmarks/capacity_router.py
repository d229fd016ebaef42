"""Measures the capacity of a router process with fake cache servers, by requests and by KB forwarded.

    PYTHONPATH=. python benchmarks/capacity_router.py [--requests N] [--seconds S] [--only-full]

440 servers are listed, 8 of them in the router's site. The cache servers run in a process of their own, and
discovery and the clients in this one, so that only the router's CPU time is counted: user and system time,
as the kernel reports it. For the first table, requests are kept open without pauses until the router sheds
some; for the second, they are kept open in bursts with pauses in between, N requests at each size and round.
Both show the median of several rounds. For the third, requests are sent at even rates, where each takes
event-loop iterations of its own. The loopback interface copies bytes on the CPU: neither the interrupts of a
network card nor what it offloads is measured.
"""

from __future__ import annotations

import asyncio
import statistics
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import click
from benchmark_tools.command_line import time_limit
from benchmark_tools.line_fit import Line, fit_line
from benchmark_tools.loaded_router import LoadedRouter, LoadResult
from benchmark_tools.router_config import (
    EDGE_KIND,
    ORIGIN_KIND,
    PARENT_KIND,
    REMOTE_SITE,
    ROUTER_SITE,
    host_entry,
    router_config,
)
from benchmark_tools.router_environment import CONNECTIONS, CacheServerProcess, start_environment
from benchmark_tools.tables import markdown_table, print_table
from control_harness.fake_discovery import FakeDiscovery

SITE_SERVERS = 8
LISTED_SERVERS = 440
PARENTS = 6
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
# Sizes of responses; the last is the largest on the platform.
SIZES_BYTES = (1_000, 16_000, 64_000, 240_000)
RATE_SIZE_BYTES = SIZES_BYTES[1]
RATES_PER_S = (50, 100, 200, 300, 400)
# Numbers of requests that are open at once, in bursts and without pauses.
BURST_OPEN = (4, 16, 48)
FULL_OPEN = (8, 16, 32, 64)
ROUNDS = 5
ROUND_PAUSE_S = 1.0
# Requests sent first, so that every connection has carried some: the router closes unused connections.
FIRST_REQUESTS = 200
# Load of one router in the full deployment of 1,200 routers.
FULL_DEPLOYMENT_REQUESTS_PER_S = 742
FULL_DEPLOYMENT_BYTES_PER_S = 3.4e12 / 8 / 1_200


def build_hosts(address: str) -> list[dict[str, Any]]:
    """Return the endpoint list: edges, parents and the origin; the first 8 edges are in the router's site."""
    edges = LISTED_SERVERS - PARENTS - 1
    kinds = [EDGE_KIND] * edges + [PARENT_KIND] * PARENTS + [ORIGIN_KIND]
    return [
        host_entry(f"s{number}", kind, ROUTER_SITE if number < SITE_SERVERS else REMOTE_SITE, address)
        for number, kind in enumerate(kinds)
    ]


async def measure_without_pauses(router: LoadedRouter, requests: int) -> None:
    """Print the throughput with the largest responses and no pauses, at which the router may shed load."""
    results: dict[int, list[LoadResult]] = {open_count: [] for open_count in FULL_OPEN}
    for _ in range(ROUNDS):
        for open_count, rounds in results.items():
            rounds.append(await router.keep_open(open_count, SIZES_BYTES[-1], 2 * requests))
            await asyncio.sleep(ROUND_PAUSE_S)
    columns = (
        "open at once, 240 KB", "served per s, median", "Mbit/s (min to max)", "share of a core",
        "CPU us each (min to max)", "not served",
    )  # fmt: skip
    print_table(columns, [_full_row(open_count, rounds) for open_count, rounds in results.items()])


def _full_row(open_count: int, rounds: Sequence[LoadResult]) -> tuple[object, ...]:
    rates = [result.served_per_s for result in rounds]
    mbit_per_s = [rate * SIZES_BYTES[-1] * 8 / 1e6 for rate in rates]
    request_us = [result.request_us for result in rounds]
    core_share = statistics.median(result.core_share for result in rounds)
    unserved_share = sum(result.unserved for result in rounds) / sum(result.sent for result in rounds)
    return (
        open_count,
        f"{statistics.median(rates):.0f}",
        f"{statistics.median(mbit_per_s):,.0f} ({min(mbit_per_s):,.0f} to {max(mbit_per_s):,.0f})",
        f"{core_share:.0%}",
        f"{statistics.median(request_us):.0f} ({min(request_us):.0f} to {max(request_us):.0f})",
        f"{unserved_share:.1%}",
    )


async def measure_sizes(router: LoadedRouter, requests: int) -> None:
    """Print the cost of a request by the size of its response and the number of open requests."""
    results: dict[tuple[int, int], list[LoadResult]] = {}
    for _ in range(ROUNDS):
        for open_count in BURST_OPEN:
            for size_bytes in SIZES_BYTES:
                result = await router.keep_open_in_bursts(open_count, size_bytes, requests)
                results.setdefault((open_count, size_bytes), []).append(result)
    columns = (
        "open at once", "KB per response", "CPU us per request, median", "min to max",
        "calculated: requests per s of a full core", "Mbit/s of a full core", "not served",
    )  # fmt: skip
    print_table(columns, [_size_row(*key, rounds) for key, rounds in results.items()])
    for open_count in BURST_OPEN:
        points = [
            (size / 1e3, statistics.median(result.request_us for result in results[open_count, size]))
            for size in SIZES_BYTES
        ]
        _print_needed_cores(open_count, fit_line(points))


def _size_row(open_count: int, size_bytes: int, rounds: Sequence[LoadResult]) -> tuple[object, ...]:
    request_us = [result.request_us for result in rounds]
    median_us = statistics.median(request_us)
    return (
        open_count,
        f"{size_bytes / 1e3:.0f}",
        f"{median_us:.0f}",
        f"{min(request_us):.0f} to {max(request_us):.0f}",
        f"{1e6 / median_us:,.0f}",
        f"{size_bytes * 8 / median_us:,.0f}",
        sum(result.unserved for result in rounds),
    )


def _print_needed_cores(open_count: int, line: Line) -> None:
    """Print the fit, and the cores that a router of the full deployment needs according to it."""
    answer_kb = FULL_DEPLOYMENT_BYTES_PER_S / FULL_DEPLOYMENT_REQUESTS_PER_S / 1_000
    cores = line.at(answer_kb) * FULL_DEPLOYMENT_REQUESTS_PER_S / 1e6
    cores_without_bytes = line.at(0) * FULL_DEPLOYMENT_REQUESTS_PER_S / 1e6
    print(f"fit, {open_count} open: {line.text('us', 'per KB')}")
    print(
        f"calculated: {FULL_DEPLOYMENT_REQUESTS_PER_S} requests per s of {answer_kb:.0f} KB "
        f"({FULL_DEPLOYMENT_BYTES_PER_S * 8 / 1e6:,.0f} Mbit/s) take {cores:.2f} cores; "
        f"without response bodies {cores_without_bytes:.2f}\n"
    )


async def measure_rates(router: LoadedRouter, seconds: float) -> None:
    """Print the cost of requests that are sent at even rates."""
    results = {rate: await router.send_at_rate(rate, RATE_SIZE_BYTES, seconds) for rate in RATES_PER_S}
    rows = [
        (
            rate,
            f"{result.served_per_s:.0f}",
            f"{result.core_share:.1%}",
            f"{result.request_us:.0f}",
            result.unserved,
        )
        for rate, result in results.items()
    ]
    columns = (
        f"sent per s, {RATE_SIZE_BYTES / 1e3:.0f} KB",
        "served per s",
        "share of a core",
        "CPU us each",
        "not served",
    )
    print(markdown_table(columns, rows))
    line = fit_line([(result.served_per_s, 100 * result.core_share) for result in results.values()])
    print(f"\nfit: {line.text('% of a core', 'per request per s', 3)}\n")


async def measure(folder: Path, requests: int, seconds: float, only_full: bool) -> None:
    """Start the environment and print all tables, or the first alone if ``only_full``."""
    cache_servers = CacheServerProcess(delay_ms=0.0)
    hosts = build_hosts(await cache_servers.address())
    discovery = FakeDiscovery()
    await discovery.publish_hosts(hosts, complete=True)

    def build_config(front: str, channel: str) -> dict[str, Any]:
        return router_config(front, channel, LIMITS, hosts)

    async with start_environment(folder, discovery, cache_servers, build_config) as environment:
        router = environment.router
        await router.keep_open(CONNECTIONS, SIZES_BYTES[0], FIRST_REQUESTS)
        print(f"memory after the start, {LISTED_SERVERS} listed: {router.resident_mb():.1f} MB\n")
        await measure_without_pauses(router, requests)
        if only_full:
            return
        await measure_sizes(router, requests)
        await measure_rates(router, seconds)
        print(f"memory at the end: {router.resident_mb():.1f} MB")


@click.command(help=__doc__)
@click.option("--seconds", default=4.0, help="of each rate")
@click.option("--requests", default=600, help="at each size and round")
@click.option("--only-full", is_flag=True, help="print the first table alone")
def main(seconds: float, requests: int, only_full: bool) -> None:
    """Measure the capacity of a router."""
    with time_limit(), tempfile.TemporaryDirectory() as folder:
        asyncio.run(measure(Path(folder), requests, seconds, only_full))


if __name__ == "__main__":
    main()
