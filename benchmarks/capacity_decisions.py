"""What the decisions cost, the module alone: processor time and memory by the servers of the own site, the
parents, the shelfs listed and the objects asked for.

    PYTHONPATH=. python benchmarks/capacity_decisions.py [--requests N] [PART...]

Parts: ``site``, ``parents``, ``list``, ``purges``, ``memory`` (all of them where none is named).  One process
at a time, no sockets; processor time is the process's own, the least of ROUNDS alternating rounds, so that a
busy machine disturbs it little.  Memory is the growth of the resident set of a process of its own a row."""

from __future__ import annotations

import argparse
import heapq
import random
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from capacity_fit import fit, row, table

from tests.helpers import ORIGIN, SETTINGS, edge, parent
from thornjunction import interface as api
from thornjunction.policy.router import Router

ROUNDS, REQUESTS, PAUSE_MS = 3, 3_000, 1_000 / 742  # 742 requests a second: 890,000 over 1,200 routers
SITE, SITES, LISTED, OBJECTS = 8, 58, 440, 520_000_000
OWN = (4, 8, 16, 32, 110, 220, 440)
ANSWER_MS = 80.0


def listed(own: int, others: int = 0, parents: int = 4) -> tuple[api.ServerEntry, ...]:
    """So many edges at the own site, so many at the other sites in turn, so many parents, and the origin."""
    far = (edge(f"far{n}", zone=f"site{n % (SITES - 1)}") for n in range(others))
    near = (edge(f"edge{n}") for n in range(own))
    return (*near, *far, *(parent(f"parent{n}") for n in range(parents)), ORIGIN)


class Load:
    """One router under steady load: each request hits at the first try, ANSWER_MS later."""

    def __init__(self, entries: tuple[api.ServerEntry, ...], objects: int, seed: int = 7) -> None:
        settings = replace(SETTINGS, router_count=1200, routers_by_zone={"here": 21}, may_hedge=True)
        self.router, self.now, self.spent = Router(settings, seed), 1_000.0, 0.0
        self.objects, self.draw, self.number = objects, random.Random(seed), 0
        self.due: list[tuple[float, int, api.Event]] = []
        self.give(api.EndpointListUpdate(entries))

    def give(self, event: api.Event) -> float:
        """Seconds of processor time; what it asks for is put in line."""
        begun = time.process_time()
        actions = self.router.handle(self.now, event)
        took = time.process_time() - begun
        for action in actions:
            self.number += 1
            if isinstance(action, api.SetTimer):
                fired = api.TimerFired(action.token)
                heapq.heappush(self.due, (self.now + action.in_ms, self.number, fired))
            elif isinstance(action, api.StartAttempt):
                done, took_ms = api.AttemptStatus.SUCCEEDED, ANSWER_MS
                end = api.AttemptEnded(
                    action.request_id, 0, action.server, done, took_ms, api.FillResult.HIT, final=True
                )
                heapq.heappush(self.due, (self.now + ANSWER_MS, self.number, end))
        return took

    def ask(self, count: int) -> float:
        """Microseconds of processor time for a request and its outcome, without ticks and timers."""
        spent = 0.0
        for _ in range(count):
            self.now += PAUSE_MS
            while self.due and self.due[0][0] <= self.now:
                _, _, event = heapq.heappop(self.due)
                took = self.give(event)
                spent += took * isinstance(event, api.AttemptEnded)
            self.number += 1
            key = self.draw.randrange(self.objects)
            spent += self.give(api.Request(f"r{self.number}", "films", key, 5_000.0, size_kb=477.0))
        return spent / max(count, 1) * 1e6


def least(rounds: list[list[float]]) -> list[float]:
    return [min(column) for column in zip(*rounds, strict=True)]


def by_size(
    title: str, sizes: tuple[int, ...], build: Callable[[int], tuple[api.ServerEntry, ...]], count: int
) -> None:
    """Decisions by a size, for objects that are all new and for a thousand that come again."""
    columns = []
    for objects in (OBJECTS, 1_000):
        rounds = []
        for seed in range(ROUNDS):
            loads = [Load(build(size), objects, seed) for size in sizes]
            for load in loads:
                load.ask(count // 3)  # the caches of orders and counts fill
            rounds.append([load.ask(count) for load in loads])
        columns.append(least(rounds))
    rows = [row(size, *(f"{c[at]:.1f}" for c in columns)) for at, size in enumerate(sizes)]
    print(table(f"{title} | us a decision, all objects new | us, 1,000 objects", rows))
    for name, column in zip(("all new", "1,000 objects"), columns, strict=True):
        line = fit(list(zip(sizes, column, strict=True)))
        print(f"\nfit, {name}: {line.text('us', 'each', 3)}")
    print()


def site(count: int) -> None:
    by_size("edges in the own site", OWN, listed, count)
    sizes = tuple(size for size in OWN if size <= LISTED)
    by_size(f"own of {LISTED} listed", sizes, lambda own: listed(own, LISTED - own), count)


def parents(count: int) -> None:
    by_size("parents", (2, 4, 8, 16, 32, 64, 110), lambda many: listed(SITE, 0, many), count)


def took_list(entries: tuple[api.ServerEntry, ...], change: bool) -> float:
    """Microseconds to take a whole list, or one changed entry of it."""
    load = Load(entries, OBJECTS)
    event = (
        api.EndpointListUpdate((replace(entries[0], weight=7.0),), complete=False)
        if change
        else api.EndpointListUpdate(entries)
    )
    return min(load.give(event) for _ in range(20)) * 1e6


def lists(_: int) -> None:
    """Handling of a list and of its change by the shelfs listed."""
    sizes = (55, 110, 220, 440, 880)
    columns = [[took_list(listed(SITE, n - SITE), change) for n in sizes] for change in (False, True)]
    rows = [row(size, *(f"{c[at]:.0f}" for c in columns)) for at, size in enumerate(sizes)]
    print(table("shelfs listed | us for the whole list | us for a change of one", rows))
    for name, column in zip(("whole list", "change of one"), columns, strict=True):
        line = fit(list(zip(sizes, column, strict=True)))
        print(f"\nfit, {name}: {line.text('us', 'a shelf listed')}")
    print()


def purges(_: int) -> None:
    """Processor time of a purge by the purges that are known already."""
    points = []
    for known in (100, 500, 1_000, 2_000, 4_000):
        load = Load(listed(SITE), OBJECTS)
        for key in range(known):
            load.give(api.PurgeReceived(0, 0.0, key))
        rounds = [sum(load.give(api.PurgeReceived(0, 0.0, key)) for key in range(50)) for _ in range(20)]
        points.append((known, min(rounds) / 50 * 1e6))
    print(table("purges known | us a purge", [row(known, f"{us:.2f}") for known, us in points]))
    print(f"\nfit: {fit([(known / 1_000, us) for known, us in points]).text('us', 'a thousand')}\n")


def resident_kb() -> int:
    """The resident set of this process."""
    text = Path("/proc/self/status").read_text()
    return int(text.split("VmRSS:")[1].split()[0])


def one_memory(own: int, all_listed: int, keys: int) -> None:
    """In a process of its own: KB that the list takes, and the objects asked for."""
    before = resident_kb()
    load = Load(listed(own, all_listed - own), OBJECTS)
    with_list = resident_kb()
    load.ask(keys)
    print(with_list - before, resident_kb() - with_list)


def grown_kb(own: int, all_listed: int, keys: int) -> tuple[int, int]:
    command = [sys.executable, __file__, "--one", f"{own}", f"{all_listed}", f"{keys}"]
    told = subprocess.run(command, check=True, capture_output=True, text=True, timeout=900).stdout
    first, second = told.split()
    return int(first), int(second)


def memory(_: int) -> None:
    """By the shelfs listed, and by the objects asked for."""
    sizes = (440, 880, 1_760, 3_520)
    taken = [grown_kb(SITE, size, 0)[0] for size in sizes]
    rows = [row(size, kb) for size, kb in zip(sizes, taken, strict=True)]
    print(table("shelfs listed | KB of the list in the router", rows))
    print(f"\nfit: {fit(list(zip(sizes, taken, strict=True))).text('KB', 'a shelf listed')}\n")
    keys = (1_000, 10_000, 100_000, 1_000_000)
    by_own = {own: [grown_kb(own, LISTED, many)[1] for many in keys] for own in (SITE, 110)}
    rows = [row(f"{many:,}", *(column[at] for column in by_own.values())) for at, many in enumerate(keys)]
    print(table(f"objects asked for | KB, {SITE} own of {LISTED} | KB, 110 own of {LISTED}", rows))
    print()


PARTS: dict[str, Callable[[int], None]] = {
    "site": site,
    "parents": parents,
    "list": lists,
    "purges": purges,
    "memory": memory,
}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=REQUESTS)
    parser.add_argument("--one", type=int, nargs=3)
    parser.add_argument("parts", nargs="*")
    args = parser.parse_args()
    if args.one:
        return one_memory(*args.one)
    for name in args.parts or PARTS:
        PARTS[name](args.requests)


if __name__ == "__main__":
    main()
