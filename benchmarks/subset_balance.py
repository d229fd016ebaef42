"""What subsetting costs in copies and in balance: blocks of caches beside subsets by rendezvous.

    PYTHONPATH=. python benchmarks/subset_balance.py

Every router of a site takes its subset of the caches. Two ways are compared: the block of the router
(``policy/subsetting.py``), and as many caches as the mean block has, those with the highest rendezvous scores
for the router. Printed are the copies of an object that all routers ask for (the distinct first choices), the
spread of load over the caches, and the share of caches that no router asks. One process, no sockets; seeded.
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
# Objects over which the copies are averaged.
OBJECTS = 300
SEED = 7
# So many routers that they bound no number of blocks.
UNBOUNDED_ROUTERS = 10**6

Subsets = list[list[int]]
"""Of each router: the salts of its caches."""


@dataclass(frozen=True, slots=True)
class Balance:
    """The copies and the balance of one way of subsetting."""

    copies: float
    load_deviation: float  # standard deviation over the mean
    heaviest_load: float  # over the mean
    unasked_share: float


def divide_by_block(salts: list[int], routers: int, blocks: int) -> Subsets:
    """The caches of each router's block."""
    block_by_router = [router_hash(f"router{number}", 0) * blocks >> 64 for number in range(routers)]
    members = [[salt for salt in salts if salt * blocks >> 64 == block] for block in range(blocks)]
    return [members[block] for block in block_by_router]


def divide_by_rendezvous(salts: list[int], routers: int, blocks: int) -> Subsets:
    """As many caches for each router, by rendezvous of router and cache."""
    size = round(len(salts) / blocks)
    hashes = [router_hash(f"router{number}", 0) for number in range(routers)]
    return [sorted(salts, key=lambda salt: mix64(asker ^ salt))[:size] for asker in hashes]


def measure(salts: list[int], subsets: Subsets) -> Balance:
    """Copies and balance, with the same rate of requests at every router, spread over all objects."""
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
        unasked_share=relative_loads.count(0.0) / len(relative_loads),
    )


def layout_rows(caches: int, routers: int) -> Iterator[tuple[object, ...]]:
    """Both ways in one layout, and once more without the bound on blocks by the number of routers."""
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
                f"{balance.unasked_share:.2f}",
            )


@click.command(help=__doc__)
def main() -> None:
    """Print the table."""
    columns = (
        "caches", "routers", "way", "caches of a router", "copies", "load, sd", "load, most", "asked by none",
    )  # fmt: skip
    with time_limit():
        print(markdown_table(columns, [row for layout in LAYOUTS for row in layout_rows(*layout)]))


if __name__ == "__main__":
    main()
