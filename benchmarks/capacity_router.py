"""What a whole router costs: a real ``run`` process before stand-in shelfs, on loopback, under a bounded
load of the platform's front; its processor time by requests a second and by KB carried.

    PYTHONPATH=. python benchmarks/capacity_router.py [--requests N] [--seconds S] [--only-full]

440 shelfs are listed, 8 of them of the own site.  The driver (clients, discovery) and the shelfs are
processes of their own, so that only the router's time is counted: the kernel's account of its run time, in
user and system.  The first table keeps so many requests open at once, without a rest, until the router's own
admission refuses some; the second does so in bursts with rests between, N at each size and round; both take
the median of ROUNDS; the third asks at even rates, where each request costs turns of the reactor of its own.
Loopback moves bytes by the processor alone: a network card's interrupts are not in it,
nor what it takes over."""

from __future__ import annotations

import argparse
import asyncio
import statistics
import tempfile
from pathlib import Path

from capacity_fit import Line, fit, row, table
from capacity_stage import LINKS, LISTED, SIZES, Bench, Stretch, start

RATES = (50, 100, 200, 300, 400)  # requests a second, of the second size
OPEN, FULL_OPEN, ROUNDS = (4, 16, 48), (8, 16, 32, 64), 5  # requests open at once
NEEDED_RATE, NEEDED_BYTES = 742, 3.4e12 / 8 / 1_200  # of a router: requests, and bytes, a second


async def by_rate(bench: Bench, seconds: float) -> None:
    size, points, rows = SIZES[1], [], []
    for rate in RATES:
        found = await bench.asked_at(rate, size, seconds)
        done, share = found.served / found.took, found.used / found.took
        points.append((done, share))
        rows.append(
            row(rate, f"{done:.0f}", f"{share:.1%}", f"{found.each_us:.0f}", found.asked - found.served)
        )
    print(table(f"asked a s, {size / 1e3:.0f} KB | served a s | of a core | us each | not served", rows))
    print(f"\nfit: {fit([(x, y * 100) for x, y in points]).text('% of a core', 'a request a s', 3)}\n")


async def by_size(bench: Bench, requests: int) -> None:
    """The cost of a request by the KB of its answer, with so many open at once."""
    found: dict[tuple[int, int], list[Stretch]] = {}
    for _ in range(ROUNDS):
        for count in OPEN:
            for size in SIZES:
                told = await bench.paced(count, size, requests)
                found.setdefault((count, size), []).append(told)
    rows = []
    for (count, size), told in found.items():
        each = [one.each_us for one in told]
        middle, lost = statistics.median(each), sum(one.asked - one.served for one in told)
        mbit, core = size * 8 / middle, 1e6 / middle
        spread = f"{min(each):.0f} to {max(each):.0f}"
        rows.append(
            row(count, f"{size / 1e3:.0f}", f"{middle:.0f}", spread, f"{core:,.0f}", f"{mbit:,.0f}", lost)
        )
    head = "open at once | KB an answer | us of processor a request, median | least to most | worked out: "
    print(table(head + "requests a s of a whole core | Mbit/s of a whole core | not served", rows) + "\n")
    for count in OPEN:
        pairs = [(size / 1e3, statistics.median(o.each_us for o in found[count, size])) for size in SIZES]
        needed(count, fit(pairs))


async def full(bench: Bench, requests: int) -> None:
    """As much of the largest answers as the router takes, its own admission in force."""
    found: dict[int, list[Stretch]] = {count: [] for count in FULL_OPEN}
    for _ in range(ROUNDS):
        for count, told in found.items():
            told.append(await bench.kept_open(count, SIZES[-1], 2 * requests))
            await asyncio.sleep(1.0)
    rows = []
    for count, told in found.items():
        rates = sorted(one.served / one.took for one in told)
        mbit = [rate * SIZES[-1] * 8 / 1e6 for rate in rates]
        share = statistics.median(one.used / one.took for one in told)
        each = sorted(one.each_us for one in told)
        spread = f"{each[ROUNDS // 2]:.0f} ({each[0]:.0f} to {each[-1]:.0f})"
        lost = sum(one.asked - one.served for one in told) / sum(one.asked for one in told)
        carried = f"{mbit[ROUNDS // 2]:,.0f} ({mbit[0]:,.0f} to {mbit[-1]:,.0f})"
        rows.append(row(count, f"{rates[ROUNDS // 2]:.0f}", carried, f"{share:.0%}", spread, f"{lost:.1%}"))
    head = "open at once, 240 KB | served a s, median | Mbit/s (least to most) | of a core "
    print(table(head + "| us each (least to most) | not served", rows) + "\n")


def needed(count: int, line: Line) -> None:
    """The fit, and what it comes to at the size of the issue."""
    kb = NEEDED_BYTES / NEEDED_RATE / 1_000
    cores = line.at(kb) * NEEDED_RATE / 1e6
    alone = line.at(0) * NEEDED_RATE / 1e6
    print(f"fit, {count} open: {line.text('us', 'a KB')}")
    print(
        f"worked out: {NEEDED_RATE} requests a s of {kb:.0f} KB ({NEEDED_BYTES * 8 / 1e6:,.0f} Mbit/s) take "
        f"{cores:.2f} cores; without their bytes {alone:.2f}\n"
    )


async def measure(requests: int, seconds: float, only_full: bool) -> None:
    with tempfile.TemporaryDirectory() as folder:
        bench, children = await start(Path(folder))
        try:
            await bench.kept_open(LINKS, SIZES[0], 200)  # one that never asks is closed
            print(f"memory after the start, {LISTED} listed: {bench.resident_mb():.1f} MB\n")
            await full(bench, requests)
            if only_full:
                return
            await by_size(bench, requests)
            await by_rate(bench, seconds)
            print(f"memory after all: {bench.resident_mb():.1f} MB")
        finally:
            for child in children:
                child.kill()
                child.wait()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--requests", type=int, default=600)
    parser.add_argument("--only-full", action="store_true")
    args = parser.parse_args()
    asyncio.run(measure(args.requests, args.seconds, args.only_full))


if __name__ == "__main__":
    main()
