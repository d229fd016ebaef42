"""Compares two ways of subsetting, blocks and rendezvous hashing, by copies per object and load balance.

    PYTHONPATH=. python benchmarks/subset_balance.py

Every router of a site uses a subset of the caches. Two ways are compared: the block of the router
(``policy/subsetting.py``), and the caches with the highest rendezvous scores for the router, as many as the
mean block has. Printed are the copies of an object that all routers request (the distinct first choices), the
deviation of the load of the caches, and the share of caches that are in no subset. No sockets; seeds are
fixed.
"""

from __future__ import annotations

import random
import statistics
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

import click
from benchmark_tools.command_line import time_limit
from benchmark_tools.tables import markdown_table

from thornjunction.estimates import mix64
from thornjunction.policy.subsetting import block_count, router_hash

# Layouts: caches and routers of a site.
LAYOUTS = ((60, 67), (400, 67), (960, 5), (960, 67), (960, 200), (2_880, 5), (2_880, 67), (2_880, 200))
# Number of objects over which the copies are averaged.
OBJECTS = 300
SEED = 7
# A number of routers so large that it does not limit the number of blocks.
UNBOUNDED_ROUTERS = 10**6

Subsets = list[list[int]]
"""For each router, the salts of the caches in its subset."""


@dataclass(frozen=True, slots=True)
class Balance:
    """Copies per object, and load of the caches, with one way of subsetting."""

    copies: float
    load_deviation: float  # standard deviation relative to the mean
    heaviest_load: float  # relative to the mean
    unused_share: float


def divide_by_block(salts: list[int], routers: int, blocks: int) -> Subsets:
    """Return for each router the caches of its block."""
    block_by_router = [router_hash(f"router{number}", 0) * blocks >> 64 for number in range(routers)]
    members = [[salt for salt in salts if salt * blocks >> 64 == block] for block in range(blocks)]
    return [members[block] for block in block_by_router]


def divide_by_rendezvous(salts: list[int], routers: int, blocks: int) -> Subsets:
    """Return for each router the caches with the highest rendezvous scores, as many as a mean block has."""
    size = round(len(salts) / blocks)
    hashes = [router_hash(f"router{number}", 0) for number in range(routers)]
    return [sorted(salts, key=lambda salt: mix64(hashed_router ^ salt))[:size] for hashed_router in hashes]


def measure(salts: list[int], subsets: Subsets) -> Balance:
    """Return copies and balance, if every router has the same request rate, spread over all objects."""
    loads: Counter[int] = Counter()
    for subset in subsets:
        for salt in subset:
            loads[salt] += 1 / len(subset)
    mean = len(subsets) / len(salts)
    relative_loads = [loads[salt] / mean for salt in salts]
    generator = random.Random(SEED)
    copies = 0
    distinct = list({tuple(subset) for subset in subsets})
    for _ in range(OBJECTS):
        object_hash = generator.getrandbits(64)
        copies += len({max(subset, key=lambda salt: mix64(object_hash ^ salt)) for subset in distinct})
    return Balance(
        copies=copies / OBJECTS,
        load_deviation=statistics.pstdev(relative_loads),
        heaviest_load=max(relative_loads),
        unused_share=relative_loads.count(0.0) / len(relative_loads),
    )


def layout_rows(caches: int, routers: int) -> Iterator[tuple[object, ...]]:
    """Return rows of both ways in a layout, with and without the limit on blocks by number of routers."""
    salts = [mix64(number) for number in range(caches)]
    block_counts = {
        "": block_count(caches, routers, 1),
        ", unbounded": block_count(caches, UNBOUNDED_ROUTERS, 1),
    }
    if len(set(block_counts.values())) == 1:
        del block_counts[", unbounded"]
    for note, blocks in block_counts.items():
        for name, divide in (("blocks", divide_by_block), ("rendezvous", divide_by_rendezvous)):
            balance = measure(salts, divide(salts, routers, blocks))
            yield (
                f"{caches:,}",
                routers,
                name + note,
                round(caches / blocks),
                f"{balance.copies:.1f}",
                f"{balance.load_deviation:.2f}",
                f"{balance.heaviest_load:.2f}",
                f"{balance.unused_share:.2f}",
            )


@click.command(help=__doc__)
def main() -> None:
    """Print the table of all layouts."""
    columns = (
        "caches", "routers", "method", "caches per router", "copies", "load, sd", "load, max", "share unused",
    )  # fmt: skip
    with time_limit():
        print(markdown_table(columns, [row for layout in LAYOUTS for row in layout_rows(*layout)]))


if __name__ == "__main__":
    main()
