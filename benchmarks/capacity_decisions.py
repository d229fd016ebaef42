"""Measures the CPU time and memory of the routing decisions by the number of servers, objects and purges.

    PYTHONPATH=. python benchmarks/capacity_decisions.py [--requests N] [PART...]

Parts: ``site`` (edges of the router's site), ``parents``, ``list`` (handling of the endpoint list),
``purges`` and ``memory``; all of them by default.  One process at a time, without sockets.  CPU time is
that of the process, the minimum of several alternating rounds, so that other load on the machine has little
effect.  Memory is the growth of a fresh process's resident set.  With the path of another commit's tree in
place of ``.``, the decisions of that commit are measured.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace

import click
from benchmark_tools.command_line import run_parts
from benchmark_tools.decision_load import ALL_OBJECTS, DecisionLoad, DecisionMemory, measure_memory
from benchmark_tools.decision_servers import ORIGIN, edge, parent
from benchmark_tools.fresh_process import run_in_fresh_process
from benchmark_tools.line_fit import fit_line
from benchmark_tools.tables import markdown_table, print_table

from thornjunction import interface as api

ROUNDS = 3
DEFAULT_REQUESTS = 3_000
# Number of objects in a load that requests the same objects repeatedly.
FEW_OBJECTS = 1_000
SITES = 58
SITE_EDGES = 8
PARENTS = 4
LISTED_SERVERS = 440
SITE_SIZES = (4, 8, 16, 32, 110, 220, 440)
PARENT_SIZES = (2, 4, 8, 16, 32, 64, 110)
LIST_SIZES = (55, 110, 220, 440, 880)
LIST_REPEATS = 20
EARLIER_PURGES = (100, 500, 1_000, 2_000, 4_000)
PURGES_PER_ROUND = 50
PURGE_ROUNDS = 20
MEMORY_LIST_SIZES = (440, 880, 1_760, 3_520)
MEMORY_SITE_EDGES = (SITE_EDGES, 110)
MEMORY_REQUESTS = (1_000, 10_000, 100_000, 1_000_000)


def build_entries(
    site_edges: int, other_edges: int = 0, parents: int = PARENTS
) -> tuple[api.ServerEntry, ...]:
    """Return an endpoint list: edges of the router's site, edges of other sites, parents and the origin."""
    local = (edge(f"edge{number}") for number in range(site_edges))
    remote = (edge(f"far{number}", zone=f"site{number % (SITES - 1)}") for number in range(other_edges))
    return (*local, *remote, *(parent(f"parent{number}") for number in range(parents)), ORIGIN)


def print_request_costs(
    title: str,
    sizes: Sequence[int],
    build: Callable[[int], tuple[api.ServerEntry, ...]],
    requests: int,
) -> None:
    """Print the cost of a request by a size, for objects that are all new and for a few repeated ones."""
    all_new = _request_costs_us(sizes, build, ALL_OBJECTS, requests)
    repeated = _request_costs_us(sizes, build, FEW_OBJECTS, requests)
    rows = [
        (size, f"{new_us:.1f}", f"{repeated_us:.1f}")
        for size, new_us, repeated_us in zip(sizes, all_new, repeated, strict=True)
    ]
    print(markdown_table([title, "us per decision, all objects new", "us, 1,000 objects"], rows))
    for name, costs in (("all new", all_new), ("1,000 objects", repeated)):
        line = fit_line(list(zip(sizes, costs, strict=True)))
        print(f"\nfit, {name}: {line.text('us', 'each', 3)}")
    print()


def _request_costs_us(
    sizes: Sequence[int], build: Callable[[int], tuple[api.ServerEntry, ...]], objects: int, requests: int
) -> list[float]:
    rounds = []
    for seed in range(ROUNDS):
        loads = [DecisionLoad(build(size), objects, seed) for size in sizes]
        for load in loads:
            load.request_us(requests // 3)  # warm-up: fills the caches of candidates and counts
        rounds.append([load.request_us(requests) for load in loads])
    return [min(costs) for costs in zip(*rounds, strict=True)]


def measure_site(requests: int) -> None:
    """Print costs by the edges of the router's site, listed alone and among edges of other sites."""
    print_request_costs("edges in the router's site", SITE_SIZES, build_entries, requests)
    sizes = [size for size in SITE_SIZES if size <= LISTED_SERVERS]
    print_request_costs(
        f"edges in the router's site, of {LISTED_SERVERS} listed",
        sizes,
        lambda size: build_entries(size, LISTED_SERVERS - size),
        requests,
    )


def measure_parents(requests: int) -> None:
    """Print costs by the number of parents."""
    print_request_costs("parents", PARENT_SIZES, lambda size: build_entries(SITE_EDGES, 0, size), requests)


def measure_list(_requests: int) -> None:
    """Print the costs of a complete endpoint list and of one changed entry, by the servers listed."""
    lists = [build_entries(SITE_EDGES, size - SITE_EDGES) for size in LIST_SIZES]
    complete = [_update_us(entries, api.EndpointListUpdate(entries)) for entries in lists]
    changes = [
        _update_us(entries, api.EndpointListUpdate((replace(entries[0], weight=7.0),), complete=False))
        for entries in lists
    ]
    rows = [
        (size, f"{complete_us:.0f}", f"{change_us:.0f}")
        for size, complete_us, change_us in zip(LIST_SIZES, complete, changes, strict=True)
    ]
    print(markdown_table(["servers listed", "us for the complete list", "us for one changed entry"], rows))
    for name, costs in (("complete list", complete), ("one changed entry", changes)):
        line = fit_line(list(zip(LIST_SIZES, costs, strict=True)))
        print(f"\nfit, {name}: {line.text('us', 'per server listed')}")
    print()


def _update_us(entries: tuple[api.ServerEntry, ...], update: api.EndpointListUpdate) -> float:
    load = DecisionLoad(entries)
    return min(load.handle(update) for _ in range(LIST_REPEATS)) * 1e6


def measure_purges(_requests: int) -> None:
    """Print the cost of a purge by the number of purges received before."""
    points = [(earlier_purges, _purge_us(earlier_purges)) for earlier_purges in EARLIER_PURGES]
    rows = [(earlier_purges, f"{purge_us:.2f}") for earlier_purges, purge_us in points]
    print(markdown_table(["purges received before", "us per purge"], rows))
    line = fit_line([(earlier_purges / 1_000, purge_us) for earlier_purges, purge_us in points])
    print(f"\nfit: {line.text('us', 'per thousand')}\n")


def _purge_us(earlier_purges: int) -> float:
    load = DecisionLoad(build_entries(SITE_EDGES))
    for key in range(earlier_purges):
        load.handle(api.PurgeReceived(0, 0.0, key))
    rounds_s = [
        sum(load.handle(api.PurgeReceived(0, 0.0, key)) for key in range(PURGES_PER_ROUND))
        for _ in range(PURGE_ROUNDS)
    ]
    return min(rounds_s) / PURGES_PER_ROUND * 1e6


def measure_memory_growth(_requests: int) -> None:
    """Print memory by the servers listed, and by the objects requested."""
    by_list = [_memory(SITE_EDGES, size, 0).list_kb for size in MEMORY_LIST_SIZES]
    points = list(zip(MEMORY_LIST_SIZES, by_list, strict=True))
    print(markdown_table(["servers listed", "KB of the list in the router"], points))
    print(f"\nfit: {fit_line(points).text('KB', 'per server listed')}\n")
    rows = [
        (f"{count:,}", *(_memory(edges, LISTED_SERVERS, count).requests_kb for edges in MEMORY_SITE_EDGES))
        for count in MEMORY_REQUESTS
    ]
    columns = [
        f"KB, {edges} edges in the router's site, of {LISTED_SERVERS} listed" for edges in MEMORY_SITE_EDGES
    ]
    print_table(["objects requested", *columns], rows)


def _memory(site_edges: int, listed: int, requests: int) -> DecisionMemory:
    return run_in_fresh_process(measure_memory, build_entries, (site_edges, listed - site_edges), requests)


PARTS: dict[str, Callable[[int], None]] = {
    "site": measure_site,
    "parents": measure_parents,
    "list": measure_list,
    "purges": measure_purges,
    "memory": measure_memory_growth,
}


@click.command(help=__doc__)
@click.option("--requests", default=DEFAULT_REQUESTS, help="of each measurement")
@click.argument("parts", nargs=-1, type=click.Choice(list(PARTS)))
def main(requests: int, parts: tuple[str, ...]) -> None:
    """Measure the selected parts, or all."""
    run_parts(PARTS, parts, requests)


if __name__ == "__main__":
    main()
