"""Measures the cost of routing decisions by the size of the endpoint list, in three layouts.

    PYTHONPATH=. python benchmarks/list_growth.py [--requests N] [--sizes N,N] [PART...]

Parts: ``decisions`` (CPU time of a request and its outcome), ``changes`` (CPU time of one changed entry and
of a complete list) and ``memory`` (its growth by the list, and then by requests for more objects than the
router's caches hold); all of them by default.  Each request is for a new object, and a tenth of the servers
are parents.  CPU time is that of the process, the minimum of several rounds; memory is measured in a fresh
process for each cell.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

import click
from benchmark_tools.command_line import NumberList, run_parts
from benchmark_tools.decision_load import ALL_OBJECTS, DecisionLoad, measure_memory
from benchmark_tools.decision_servers import LOCAL_ZONE, ORIGIN, edge, parent
from benchmark_tools.fresh_process import run_in_fresh_process
from benchmark_tools.tables import print_table

from thornjunction import interface as api

ROUNDS = 3
DEFAULT_REQUESTS = 1_000
DEFAULT_SIZES = (8, 200, 440, 3_200)
# Layouts: the number of sites that the servers are spread over evenly, and its name in the tables.
LAYOUTS = {1: "one site", 3: "three sites", 58: "58 sites"}
SERVERS_PER_PARENT = 10
# Number of requests, each for a new object, after which memory is measured: more than the 8,192 objects
# that each of the router's internal caches holds.
MEMORY_REQUESTS = 10_000
# Number of changes of one entry; the mean of their costs is reported.
CHANGES = 50


@dataclass(frozen=True, slots=True)
class Options:
    """Sizes of the endpoint list, and requests of each measurement."""

    sizes: tuple[int, ...]
    requests: int


def build_entries(servers: int, sites: int) -> tuple[api.ServerEntry, ...]:
    """Return a list of ``servers`` and the origin, spread over the sites; the router is in the first."""
    parents = servers // SERVERS_PER_PARENT
    zones = [LOCAL_ZONE, *(f"site{number}" for number in range(1, sites))]
    edges = (edge(f"edge{number}", zone=zones[number % sites]) for number in range(servers - parents))
    return (*edges, *(parent(f"parent{number}") for number in range(parents)), ORIGIN)


def layout_columns(first: str, figure: str) -> list[str]:
    """Return the header of a table with a column for each layout; the first one names the figure."""
    names = list(LAYOUTS.values())
    return [first, f"{figure}, {names[0]}", *names[1:]]


def measure_decisions(options: Options) -> None:
    """Print the cost of a request by servers and layout."""
    rows = [
        (f"{size:,}", *(f"{_request_us(size, sites, options.requests):.0f}" for sites in LAYOUTS))
        for size in options.sizes
    ]
    print_table(layout_columns("servers", "us per decision"), rows)


def _request_us(servers: int, sites: int, requests: int) -> float:
    rounds = []
    for seed in range(ROUNDS):
        load = DecisionLoad(build_entries(servers, sites), ALL_OBJECTS, seed)
        load.request_us(requests // 10)
        rounds.append(load.request_us(requests))
    return min(rounds)


def measure_changes(options: Options) -> None:
    """Print the cost of a changed entry and of a complete list by servers and layout."""
    rows = [(f"{size:,}", *(_change_cell(size, sites) for sites in LAYOUTS)) for size in options.sizes]
    print_table(layout_columns("servers", "us per changed entry; us per complete list"), rows)


def _change_cell(servers: int, sites: int) -> str:
    """Return the costs of a changed weight, and of a complete list in which nothing changed."""
    entries = build_entries(servers, sites)
    load = DecisionLoad(entries)
    changes_s = [
        load.handle(api.EndpointListUpdate((replace(entries[0], weight=1.0 + number),), complete=False))
        for number in range(CHANGES)
    ]
    complete_s = min(load.handle(api.EndpointListUpdate(entries)) for _ in range(ROUNDS))
    return f"{sum(changes_s) / CHANGES * 1e6:.0f}; {complete_s * 1e6:.0f}"


def measure_memory_growth(options: Options) -> None:
    """Print the growth of memory by the list and by the objects, by servers and layout."""
    rows = [(f"{size:,}", *(_memory_cell(size, sites) for sites in LAYOUTS)) for size in options.sizes]
    print_table(layout_columns("servers", f"KB of the list; KB of {MEMORY_REQUESTS:,} objects"), rows)


def _memory_cell(servers: int, sites: int) -> str:
    memory = run_in_fresh_process(measure_memory, build_entries, (servers, sites), MEMORY_REQUESTS)
    return f"{memory.list_kb}; {memory.requests_kb}"


PARTS: dict[str, Callable[[Options], None]] = {
    "decisions": measure_decisions,
    "changes": measure_changes,
    "memory": measure_memory_growth,
}


@click.command(help=__doc__)
@click.option("--requests", default=DEFAULT_REQUESTS, help="of each measurement")
@click.option("--sizes", type=NumberList(), default=DEFAULT_SIZES, help="servers listed")
@click.argument("parts", nargs=-1, type=click.Choice(list(PARTS)))
def main(requests: int, sizes: tuple[int, ...], parts: tuple[str, ...]) -> None:
    """Measure the selected parts, or all."""
    run_parts(PARTS, parts, Options(sizes, requests))


if __name__ == "__main__":
    main()
