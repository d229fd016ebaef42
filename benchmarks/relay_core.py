"""Processor time and memory of a relay's core alone, in simulated time: no sockets, no reactor.

python benchmarks/relay_core.py [--routers 100 300 600 1200] [--seconds 20] [--purges 34] [--shelfs 440]

Each router polls again 2 ms after its answer.  Memory is what tracemalloc counts, in a run of its own.
Processor time includes the collector's."""

from __future__ import annotations

import argparse
import heapq
import time
import tracemalloc
from typing import Any

from control_relay import Answer, Confirmed, ListTold, Polled, PurgeTold, Relay, RelaySettings
from sansio_core import SetTimer, Started, TimerFired

BASE = 1_764_600_000 << 20
AGAIN_MS = 2.0
BLOCK_MS = 1_200.0


def shelf(number: int) -> dict[str, Any]:
    dial = f"10.1.{number >> 8}.{number & 255}:10080"
    return {
        "host": f"s-{number:08x}",
        "dial": dial,
        "site": f"site-{number % 58}",
        "class": "std",
        "block": number % 8,
        "health": "active",
        "share": 4,
        "born_ms": 0,
    }


class Bench:
    """Events in the order of their simulated times; counts what `handle` costs by kind of event."""

    def __init__(self, routers: int, purges: float, shelfs: int) -> None:
        self.relay, self.now, self.queue = Relay(RelaySettings(), "bench", BASE), 0.0, []
        self.cost: dict[str, tuple[int, float]] = {}
        self.pushed = self.answers = self.told_bytes = 0
        self.purges, self.number = purges, 1
        self.names = [f"router-{number:04}" for number in range(routers)]
        self.handle(Started())
        self.handle(ListTold(1, 1, True, tuple(shelf(number) for number in range(shelfs))))
        self.handle(Confirmed(0.0, 1))
        for poller in range(routers):
            self.push(poller * 1.0, ("poll", poller, 0))
        self.push(0.0, ("purge", 0, 0))

    queue: list[tuple[float, int, tuple[str, int, int]]]

    def push(self, at: float, what: tuple[str, int, int]) -> None:
        self.pushed += 1
        heapq.heappush(self.queue, (at, self.pushed, what))

    def handle(self, event: Any) -> None:
        begun = time.process_time()
        actions = self.relay.handle(self.now, event)
        took = time.process_time() - begun
        count, total = self.cost.get(type(event).__name__, (0, 0.0))
        self.cost[type(event).__name__] = count + 1, total + took
        for action in actions:
            if isinstance(action, Answer):
                self.answers += 1
                self.told_bytes += len(action.body)
                self.push(self.now + AGAIN_MS, ("poll", action.poller, self.relay.log.told))
            elif isinstance(action, SetTimer):
                self.push(self.now + action.in_ms, ("timer", action.token, 0))

    def run(self, until: float) -> None:
        while self.queue[0][0] <= until:
            self.now, _, (kind, who, resume) = heapq.heappop(self.queue)
            if kind == "poll":
                epoch = self.relay.epoch if resume else ""
                self.handle(Polled(who, resume, BLOCK_MS, epoch, "router", self.names[who]))
            elif kind == "timer":
                self.handle(TimerFired(who))
            else:
                self.number += 1
                self.handle(PurgeTold(self.number, f"{self.number * 7919:016x}", -1, 1e12 + self.now))
                self.handle(Confirmed(0.0, self.number))
                self.push(self.now + 1_000.0 / self.purges, ("purge", 0, 0))


def row(routers: int, seconds: float, purges: float, shelfs: int) -> str:
    """Steady state: the first two seconds, in which all enter, are not counted; nor their whole lists."""
    bench = Bench(routers, purges, shelfs)
    bench.run(2_000.0)
    bench.cost.clear()
    bench.answers = bench.told_bytes = 0
    bench.run(2_000.0 + seconds * 1_000.0)
    total = sum(cost for _, cost in bench.cost.values())
    polls, poll_s = bench.cost["Polled"]
    events, event_s = bench.cost["PurgeTold"]
    flushes, flush_s = bench.cost["TimerFired"]
    behind = bench.relay.log.told - bench.relay.marks.done
    tracemalloc.start()
    Bench(routers, purges, shelfs).run(12_000.0)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return (
        f"| {routers} | {polls / seconds:.0f} | {1e6 * poll_s / polls:.1f} | {1e6 * event_s / events:.1f} "
        f"| {1e3 * flush_s / flushes:.2f} | {100 * total / seconds:.2f} | {peak / 1e6:.1f} "
        f"| {bench.told_bytes / bench.answers:.0f} | {behind} |"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--routers", type=int, nargs="+", default=[100, 300, 600, 1200])
    parser.add_argument("--seconds", type=float, default=20.0, help="simulated")
    parser.add_argument("--purges", type=float, default=34.0, help="a second")
    parser.add_argument("--shelfs", type=int, default=440)
    args = parser.parse_args()
    print(
        "| routers | polls/s | us a poll | us a purge | ms a timer (an answer to all) | % of a core "
        "| peak MB | bytes an answer | not yet done |"
    )
    print("|---|---|---|---|---|---|---|---|---|")
    for routers in args.routers:
        print(row(routers, args.seconds, args.purges, args.shelfs), flush=True)


if __name__ == "__main__":
    main()
