"""Processor time and memory of a relay's core alone, in simulated time: no sockets, no event loop.

    PYTHONPATH=. python benchmarks/relay_core.py [--routers N,N] [--seconds S] [--purges N] [--shelfs N]

Each router polls again 2 ms after its answer. Memory is what tracemalloc counts, in a run of its own.
Processor time includes that of the garbage collector.
"""

from __future__ import annotations

import heapq
import time
import tracemalloc
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

import click
from benchmark_tools.command_line import NumberList, time_limit
from benchmark_tools.tables import markdown_head, markdown_row
from control_relay import (
    EndpointListUpdate,
    PollReceived,
    PollRequest,
    PurgeReceived,
    Relay,
    RelaySettings,
    SendResponse,
    UpstreamConfirmed,
)
from sansio_core import SetTimer, Started, TimerFired

FIRST_EVENT_NUMBER = 1_764_600_000 << 20
POLL_AGAIN_MS = 2.0
BLOCK_MS = 1_200.0
# Time in which the routers enter, of which nothing is counted.
ENTRY_MS = 2_000.0
ENTRY_INTERVAL_MS = 1.0
MEMORY_RUN_MS = 12_000.0
SITES = 58
UNIX_TIME_MS = 1e12
# Spreads the objects of successive purges.
OBJECT_STEP = 7919
NO_GROUP = -1
COLUMNS = (
    "routers", "polls/s", "us a poll", "us a purge", "ms a timer (an answer to all)", "% of a core",
    "peak MB", "bytes an answer", "not yet done",
)  # fmt: skip


def host_entry(number: int) -> dict[str, Any]:
    """One cache server of the endpoint list."""
    return {
        "host": f"s-{number:08x}",
        "dial": f"10.1.{number >> 8}.{number & 255}:10080",
        "site": f"site-{number % SITES}",
        "class": "std",
        "block": number % 8,
        "health": "active",
        "share": 4,
        "born_ms": 0,
    }


@dataclass(frozen=True, slots=True)
class RouterPolls:
    """A router polls."""

    router: int
    resume: int


@dataclass(frozen=True, slots=True)
class TimerIsDue:
    """A timer of the relay is due."""

    token: int


@dataclass(frozen=True, slots=True)
class PurgeIsPublished:
    """Discovery publishes the next purge."""


@dataclass(frozen=True, slots=True, order=True)
class ScheduledEvent:
    """What happens at a time; at one time in the order of scheduling."""

    due_ms: float
    number: int
    event: RouterPolls | TimerIsDue | PurgeIsPublished = field(compare=False)


@dataclass(slots=True)
class EventCost:
    """How often the relay handled a kind of event, and the processor time of that."""

    count: int = 0
    total_s: float = 0.0

    @property
    def mean_s(self) -> float:
        """Processor time of one event."""
        return self.total_s / self.count


class RelaySimulation:
    """A relay, its routers and discovery in simulated time; ``costs`` are by the type of event."""

    def __init__(self, routers: int, purges_per_s: float, servers: int) -> None:
        self.relay = Relay(RelaySettings(), "bench", FIRST_EVENT_NUMBER)
        self.costs: dict[type, EventCost] = defaultdict(EventCost)
        self.answer_count = 0
        self.answer_bytes = 0
        self._purge_interval_ms = 1_000.0 / purges_per_s
        self._router_names = [f"router-{number:04}" for number in range(routers)]
        self._now_ms = 0.0
        self._queue: list[ScheduledEvent] = []
        self._scheduled_count = 0
        self._last_event_number = 1
        self._handle(Started())
        self._handle(EndpointListUpdate(1, 1, True, tuple(host_entry(number) for number in range(servers))))
        self._handle(UpstreamConfirmed(0.0, 1))
        for router in range(routers):
            self._schedule(router * ENTRY_INTERVAL_MS, RouterPolls(router, 0))
        self._schedule(0.0, PurgeIsPublished())

    def _schedule(self, due_ms: float, event: RouterPolls | TimerIsDue | PurgeIsPublished) -> None:
        self._scheduled_count += 1
        heapq.heappush(self._queue, ScheduledEvent(due_ms, self._scheduled_count, event))

    def _handle(self, event: Any) -> None:
        """Hand an event to the relay, count its cost, and schedule what follows from it."""
        begin_s = time.process_time()
        actions = self.relay.handle(self._now_ms, event)
        cost = self.costs[type(event)]
        cost.count += 1
        cost.total_s += time.process_time() - begin_s
        for action in actions:
            if isinstance(action, SendResponse):
                self.answer_count += 1
                self.answer_bytes += len(action.body)
                polls = RouterPolls(action.poller, self.relay.state.log.delivered)
                self._schedule(self._now_ms + POLL_AGAIN_MS, polls)
            elif isinstance(action, SetTimer):
                self._schedule(self._now_ms + action.in_ms, TimerIsDue(action.token))

    def run_until(self, end_ms: float) -> None:
        """Let everything happen that is due by then."""
        while self._queue[0].due_ms <= end_ms:
            scheduled = heapq.heappop(self._queue)
            self._now_ms = scheduled.due_ms
            match scheduled.event:
                case RouterPolls(router=router, resume=resume):
                    self._poll(router, resume)
                case TimerIsDue(token=token):
                    self._handle(TimerFired(token))
                case PurgeIsPublished():
                    self._publish_purge()

    def _poll(self, router: int, resume: int) -> None:
        epoch = self.relay.epoch if resume else ""
        request = PollRequest(resume, BLOCK_MS, epoch, "router", self._router_names[router])
        self._handle(PollReceived(router, request))

    def _publish_purge(self) -> None:
        self._last_event_number += 1
        number = self._last_event_number
        issued_ms = UNIX_TIME_MS + self._now_ms
        self._handle(PurgeReceived(number, f"{number * OBJECT_STEP:016x}", NO_GROUP, issued_ms))
        self._handle(UpstreamConfirmed(0.0, number))
        self._schedule(self._now_ms + self._purge_interval_ms, PurgeIsPublished())

    def clear_counts(self) -> None:
        """Count anew from here on."""
        self.costs.clear()
        self.answer_count = 0
        self.answer_bytes = 0

    @property
    def unacknowledged_count(self) -> int:
        """Events that not all routers have acknowledged."""
        return self.relay.state.log.delivered - self.relay.low_water_marks.acknowledged


def measure_peak_mb(routers: int, purges_per_s: float, servers: int) -> float:
    """The peak memory of a run."""
    tracemalloc.start()
    RelaySimulation(routers, purges_per_s, servers).run_until(MEMORY_RUN_MS)
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return peak_bytes / 1e6


def measure(routers: int, seconds: float, purges_per_s: float, servers: int) -> tuple[object, ...]:
    """Return a row for the steady state: without the entry of the routers and their complete lists."""
    simulation = RelaySimulation(routers, purges_per_s, servers)
    simulation.run_until(ENTRY_MS)
    simulation.clear_counts()
    simulation.run_until(ENTRY_MS + seconds * 1_000.0)
    costs = simulation.costs
    total_s = sum(cost.total_s for cost in costs.values())
    return (
        routers,
        f"{costs[PollReceived].count / seconds:.0f}",
        f"{1e6 * costs[PollReceived].mean_s:.1f}",
        f"{1e6 * costs[PurgeReceived].mean_s:.1f}",
        f"{1e3 * costs[TimerFired].mean_s:.2f}",
        f"{100 * total_s / seconds:.2f}",
        f"{measure_peak_mb(routers, purges_per_s, servers):.1f}",
        f"{simulation.answer_bytes / simulation.answer_count:.0f}",
        simulation.unacknowledged_count,
    )


@click.command(help=__doc__)
@click.option("--routers", type=NumberList(), default=(100, 300, 600, 1200), help="sizes of the fleet")
@click.option("--seconds", default=20.0, help="of simulated time")
@click.option("--purges", default=34.0, help="a second")
@click.option("--shelfs", "cache_servers", default=440, help="cache servers listed")
def main(routers: tuple[int, ...], seconds: float, purges: float, cache_servers: int) -> None:
    """Measure a relay's core."""
    print(markdown_head(COLUMNS))
    with time_limit():
        for count in routers:
            print(markdown_row(measure(count, seconds, purges, cache_servers)), flush=True)


if __name__ == "__main__":
    main()
