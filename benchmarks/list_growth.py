"""What the decisions cost as the list of servers grows, the module alone: three layouts, all objects new.

    PYTHONPATH=. python benchmarks/list_growth.py [--requests N] [--sizes N,N] [PART...]

Parts: ``decisions`` (microseconds for a request and its outcome), ``changes`` (microseconds for one changed
entry of the list and for the whole list), ``memory`` (KB of resident memory that the list takes, and the
objects asked for: more of them than the caches' caps).  All of them where none is named.  A tenth of the
servers are parents.  Processor time is the process's own, the least of ROUNDS rounds; memory is measured in a
process of its own for each row."""

from __future__ import annotations

import argparse
import subprocess
import sys
from collections.abc import Callable
from dataclasses import replace

from capacity_decisions import OBJECTS, Load, resident_kb
from capacity_fit import row, table

from tests.helpers import ORIGIN, edge, parent
from thornjunction import interface as api

ROUNDS = 3
REQUESTS = 1_000
SIZES = (8, 200, 440, 3_200)
SITES = (1, 3, 58)  # layouts: the sites that the servers are spread over evenly
PARENT_SHARE = 10  # one server in so many is a parent
CACHED_OBJECTS = 10_000  # more than the 8,192 that each cache keeps
CHANGES = 50  # of one entry, the mean of which is taken


def listed(servers: int, sites: int) -> tuple[api.ServerEntry, ...]:
    """A list of so many servers, spread over so many sites; the router stands at the first."""
    parents = servers // PARENT_SHARE
    zones = ["here", *(f"site{number}" for number in range(1, sites))]
    caches = (edge(f"edge{number}", zone=zones[number % sites]) for number in range(servers - parents))
    return (*caches, *(parent(f"parent{number}") for number in range(parents)), ORIGIN)


def decision_us(servers: int, sites: int, requests: int) -> float:
    """Microseconds of processor time for a request and its outcome."""
    rounds = []
    for seed in range(ROUNDS):
        load = Load(listed(servers, sites), OBJECTS, seed)
        load.ask(requests // 10)
        rounds.append(load.ask(requests))
    return min(rounds)


def decisions(sizes: tuple[int, ...], requests: int) -> None:
    """A table of decisions' cost by servers and sites."""
    rows = [
        row(f"{size:,}", *(f"{decision_us(size, sites, requests):.0f}" for sites in SITES)) for size in sizes
    ]
    print(table("servers | us a decision, one site | three sites | 58 sites", rows) + "\n")


def change_us(servers: int, sites: int) -> tuple[float, float]:
    """Microseconds for a changed weight of one server, and for a whole list in which nothing changed."""
    entries = listed(servers, sites)
    load = Load(entries, OBJECTS)
    changes = [
        load.give(api.EndpointListUpdate((replace(entries[0], weight=1.0 + number),), complete=False))
        for number in range(CHANGES)
    ]
    whole = min(load.give(api.EndpointListUpdate(entries)) for _ in range(ROUNDS))
    return sum(changes) / CHANGES * 1e6, whole * 1e6


def changes(sizes: tuple[int, ...], _: int) -> None:
    """A table of a change's cost by servers and sites."""
    rows = []
    for size in sizes:
        measured = [change_us(size, sites) for sites in SITES]
        rows.append(row(f"{size:,}", *(f"{one:.0f}; {whole:.0f}" for one, whole in measured)))
    title = "servers | us a changed entry; us a whole list, one site | three sites | 58 sites"
    print(table(title, rows) + "\n")


def print_memory(servers: int, sites: int) -> None:
    """In a process of its own: KB that the list takes, and the objects asked for."""
    before = resident_kb()
    load = Load(listed(servers, sites), OBJECTS)
    with_list = resident_kb()
    load.ask(CACHED_OBJECTS)
    print(with_list - before, resident_kb() - with_list)


def memory(sizes: tuple[int, ...], _: int) -> None:
    """A table of memory by servers and sites."""
    rows = []
    for size in sizes:
        cells = []
        for sites in SITES:
            command = [sys.executable, __file__, "--one", f"{size}", f"{sites}"]
            output = subprocess.run(command, check=True, capture_output=True, text=True, timeout=900).stdout
            cells.append("; ".join(output.split()))
        rows.append(row(f"{size:,}", *cells))
    title = f"servers | KB of the list; KB of {CACHED_OBJECTS:,} objects, one site | three sites | 58 sites"
    print(table(title, rows) + "\n")


PARTS: dict[str, Callable[[tuple[int, ...], int], None]] = {
    "decisions": decisions,
    "changes": changes,
    "memory": memory,
}


def main() -> None:
    """Print the parts that are asked for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=REQUESTS)
    parser.add_argument("--sizes", default=",".join(map(str, SIZES)))
    parser.add_argument("--one", type=int, nargs=2)
    parser.add_argument("parts", nargs="*")
    args = parser.parse_args()
    if args.one:
        return print_memory(*args.one)
    for name in args.parts or PARTS:
        PARTS[name](tuple(map(int, args.sizes.split(","))), args.requests)


if __name__ == "__main__":
    main()
