"""Measures CPU time and memory of a relay's core in simulated time, without sockets or an event loop.

    PYTHONPATH=. python benchmarks/relay_core.py [--routers N,N] [--seconds S] [--purges N] [--shelfs N]

Each router polls again 2 ms after a response. Memory is measured with tracemalloc, in a separate run. CPU
time includes that of the garbage collector.
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
# Time in which the routers join; it is not measured.
JOIN_MS = 2_000.0
JOIN_INTERVAL_MS = 1.0
MEMORY_RUN_MS = 12_000.0
SITES = 58
UNIX_TIME_MS = 1e12
# Multiplies the event number, so that successive purges name objects far apart.
OBJECT_STEP = 7919
NO_GROUP = -1
COLUMNS = (
    "routers", "polls/s", "us per poll", "us per purge", "ms per timer (responses to all)", "% of a core",
    "peak MB", "bytes per response", "unacknowledged",
)  # fmt: skip


def host_entry(number: int) -> dict[str, Any]:
    """Return the endpoint list's entry of one cache server."""
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
class PollIsDue:
    """A router is due to send a poll."""

    router: int
    cursor: int


@dataclass(frozen=True, slots=True)
class TimerIsDue:
    """A timer of the relay is due."""

    token: int


@dataclass(frozen=True, slots=True)
class PurgeIsDue:
    """Discovery is due to publish the next purge."""


@dataclass(frozen=True, slots=True, order=True)
class ScheduledEvent:
    """An event that is due at a time; events of the same time run in the order of scheduling."""

    due_ms: float
    number: int
    event: PollIsDue | TimerIsDue | PurgeIsDue = field(compare=False)


@dataclass(slots=True)
class EventCost:
    """The number of events of one type that the relay handled, and their total CPU time."""

    count: int = 0
    total_s: float = 0.0

    @property
    def mean_s(self) -> float:
        """Mean CPU time of one event.  Raises ZeroDivisionError without events."""
        return self.total_s / self.count


class RelaySimulation:
    """A relay, its routers and discovery in simulated time; ``costs`` holds CPU time by event type."""

    def __init__(self, routers: int, purges_per_s: float, servers: int) -> None:
        self.relay = Relay(RelaySettings(), "bench", FIRST_EVENT_NUMBER)
        self.costs: dict[type, EventCost] = defaultdict(EventCost)
        self.response_count = 0
        self.response_bytes = 0
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
            self._schedule(router * JOIN_INTERVAL_MS, PollIsDue(router, 0))
        self._schedule(0.0, PurgeIsDue())

    def _schedule(self, due_ms: float, event: PollIsDue | TimerIsDue | PurgeIsDue) -> None:
        self._scheduled_count += 1
        heapq.heappush(self._queue, ScheduledEvent(due_ms, self._scheduled_count, event))

    def _handle(self, event: Any) -> None:
        """Pass an event to the relay, record its cost, and schedule the resulting polls and timers."""
        begin_s = time.process_time()
        actions = self.relay.handle(self._now_ms, event)
        cost = self.costs[type(event)]
        cost.count += 1
        cost.total_s += time.process_time() - begin_s
        for action in actions:
            if isinstance(action, SendResponse):
                self.response_count += 1
                self.response_bytes += len(action.body)
                poll_due = PollIsDue(action.poller, self.relay.state.log.delivered)
                self._schedule(self._now_ms + POLL_AGAIN_MS, poll_due)
            elif isinstance(action, SetTimer):
                self._schedule(self._now_ms + action.in_ms, TimerIsDue(action.token))

    def run_until(self, end_ms: float) -> None:
        """Run all events that are due by ``end_ms``."""
        while self._queue[0].due_ms <= end_ms:
            scheduled = heapq.heappop(self._queue)
            self._now_ms = scheduled.due_ms
            match scheduled.event:
                case PollIsDue(router=router, cursor=cursor):
                    self._poll(router, cursor)
                case TimerIsDue(token=token):
                    self._handle(TimerFired(token))
                case PurgeIsDue():
                    self._publish_purge()

    def _poll(self, router: int, cursor: int) -> None:
        epoch = self.relay.epoch if cursor else ""
        request = PollRequest(cursor, BLOCK_MS, epoch, "router", self._router_names[router])
        self._handle(PollReceived(router, request))

    def _publish_purge(self) -> None:
        self._last_event_number += 1
        number = self._last_event_number
        issued_ms = UNIX_TIME_MS + self._now_ms
        self._handle(PurgeReceived(number, f"{number * OBJECT_STEP:016x}", NO_GROUP, issued_ms))
        self._handle(UpstreamConfirmed(0.0, number))
        self._schedule(self._now_ms + self._purge_interval_ms, PurgeIsDue())

    def clear_counts(self) -> None:
        """Reset costs and counts, at the end of the joining phase."""
        self.costs.clear()
        self.response_count = 0
        self.response_bytes = 0

    @property
    def unacknowledged_count(self) -> int:
        """Number of delivered events that not all routers have acknowledged."""
        return self.relay.state.log.delivered - self.relay.low_water_marks.acknowledged


def measure_peak_mb(routers: int, purges_per_s: float, servers: int) -> float:
    """Return the peak memory of a run of ``MEMORY_RUN_MS``."""
    tracemalloc.start()
    RelaySimulation(routers, purges_per_s, servers).run_until(MEMORY_RUN_MS)
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return peak_bytes / 1e6


def measure(routers: int, seconds: float, purges_per_s: float, servers: int) -> tuple[object, ...]:
    """Return a row for the steady state, without the joins of the routers and their complete lists."""
    simulation = RelaySimulation(routers, purges_per_s, servers)
    simulation.run_until(JOIN_MS)
    simulation.clear_counts()
    simulation.run_until(JOIN_MS + seconds * 1_000.0)
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
        f"{simulation.response_bytes / simulation.response_count:.0f}",
        simulation.unacknowledged_count,
    )


@click.command(help=__doc__)
@click.option("--routers", type=NumberList(), default=(100, 300, 600, 1200), help="sizes of the fleet")
@click.option("--seconds", default=20.0, help="of simulated time")
@click.option("--purges", default=34.0, help="per second")
@click.option("--shelfs", "cache_servers", default=440, help="cache servers listed")
def main(routers: tuple[int, ...], seconds: float, purges: float, cache_servers: int) -> None:
    """Print a row for each number of routers."""
    print(markdown_head(COLUMNS))
    with time_limit():
        for count in routers:
            print(markdown_row(measure(count, seconds, purges, cache_servers)), flush=True)


if __name__ == "__main__":
    main()
