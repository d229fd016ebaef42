"""Measures what it costs a router process under load to catch up with the 122,400 events of an hour.

    PYTHONPATH=. python benchmarks/catch_up.py [ROUNDS]
    PYTHONPATH=. python benchmarks/catch_up.py --idle OTHER_TREE [ROUNDS]

The router runs with a fake cache server and a fake discovery on loopback. The first form prints a Markdown
table: each round is one process that misses no events, and one that serves for a time and then has to catch
up. The second form compares memory and CPU time of this tree's idle router with those of another tree's, run
at the same time. Each round takes less than 60 s, with 200 requests per second, and one or two processes at
a time.
"""

from __future__ import annotations

import json
import statistics
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click
from benchmark_tools.catch_up_files import MISSED_EVENTS, build_backlog, build_config
from benchmark_tools.idle_trees import compare_idle_trees
from benchmark_tools.process_figures import peak_resident_mb
from benchmark_tools.recorded_program import (
    Turn,
    end_recorded_program,
    max_cpu_s,
    max_duration_s,
    start_recorded_program,
)
from benchmark_tools.router_program import write_config
from benchmark_tools.steady_requests import connect_steady_requests, pause
from benchmark_tools.tables import markdown_head, markdown_row
from fakes.config import free_port, listen_on_free_port
from fakes.demo_servers import DemoCacheServer
from fakes.event_loop import Steps, reactor, wait_until
from fakes.fake_discovery import FakeDiscoveryConnection, ScriptedDiscovery, hold_poll, respond
from fakes.watch_messages import encode_answer
from twisted.internet import task
from twisted.internet.defer import inlineCallbacks

REQUEST_INTERVAL_S = 0.005
WARM_UP_S = 1.0
FIRST_PHASE_S = 3.0
# Duration of the second phase in a process that misses no events; the first phase is without events.
BASELINE_S = 2.0
LAST_ANSWERS_S = 0.3
CATCH_UP_TIMEOUT_S = 15.0
# Event-loop iterations longer than this are counted.
LONG_TURN_S = 0.02
# Greater than the number of polls in a round.
MAX_UNANSWERED_POLLS = 999
FIRST_CURSOR = 1
COLUMNS = (
    "process", "caught up after s", "peak MB", "longest iteration ms (CPU)", "iterations over 20 ms",
    "p50 ms before / during", "p99", "requests during catch-up", "unanswered",
)  # fmt: skip


class NotCaughtUpError(RuntimeError):
    """The router did not catch up within ``CATCH_UP_TIMEOUT_S``."""

    def __init__(self, last_polls: Sequence[tuple[int, int]]) -> None:
        super().__init__(f"not caught up; cursor and block time of the last polls: {last_polls}")


@dataclass(frozen=True, slots=True)
class RoundResult:
    """The results of one process; ``seconds`` is the duration of its second phase."""

    misses_events: bool
    seconds: float
    peak_mb: float
    turns: list[Turn]
    first_phase_latencies_s: list[float]
    latencies_s: list[float]
    unanswered: int

    def cells(self) -> tuple[object, ...]:
        """Return the process's row of the table."""
        longest_ms = max_duration_s(self.turns) * 1e3
        max_cpu_ms = max_cpu_s(self.turns) * 1e3
        before = [percentile_ms(self.first_phase_latencies_s, percent) for percent in (50, 99)]
        during = [percentile_ms(self.latencies_s, percent) for percent in (50, 99)]
        return (
            "catching up" if self.misses_events else "baseline",
            f"{self.seconds:.2f}",
            f"{self.peak_mb:.1f}",
            f"{longest_ms:.1f} ({max_cpu_ms:.1f})",
            sum(turn.duration_s > LONG_TURN_S for turn in self.turns),
            f"{before[0]:.2f} / {during[0]:.2f}",
            f"{before[1]:.1f} / {during[1]:.1f}",
            len(self.latencies_s),
            self.unanswered,
        )


def percentile_ms(latencies_s: Sequence[float], percent: int) -> float:
    """Return a percentile of latencies."""
    return statistics.quantiles(latencies_s, n=100)[percent - 1] * 1000.0


def publish(discovery: ScriptedDiscovery, answer: bytes) -> None:
    """Answer the next poll with ``answer``, and leave all later polls unanswered.

    The open connection is reset, as at the end of a partition, so that the router polls again at once.
    """

    def step(connection: FakeDiscoveryConnection) -> None:
        discovery.script[:] = [hold_poll] * MAX_UNANSWERED_POLLS
        connection.transport.write(answer)

    discovery.script[:] = [step]
    connected = [connection for connection in discovery.connections if not connection.disconnect_cause]
    connected[-1].transport.abortConnection()


@inlineCallbacks
def catch_up(discovery: ScriptedDiscovery, backlog: bytes) -> Steps[None]:
    """Publish the backlog and wait until the router acknowledges all of it.  Raises NotCaughtUpError."""
    last_cursor = FIRST_CURSOR + MISSED_EVENTS
    until_s = time.monotonic() + CATCH_UP_TIMEOUT_S
    publish(discovery, backlog)
    yield wait_until(lambda: discovery.polls[-1][0] == last_cursor or time.monotonic() > until_s)
    if discovery.polls[-1][0] != last_cursor:
        raise NotCaughtUpError(discovery.polls[-3:])


@inlineCallbacks
def measure_round(folder: Path, misses_events: bool) -> Steps[RoundResult]:
    """Measure one process: first without events, and then during catch-up or for ``BASELINE_S``."""
    discovery = ScriptedDiscovery()
    cache_server = f"127.0.0.1:{listen_on_free_port(reactor, DemoCacheServer)}"
    discovery.script = [respond(encode_answer({"cursor": FIRST_CURSOR, "cmds": []})), hold_poll]
    front = f"127.0.0.1:{free_port()}"
    config = build_config(front, f"127.0.0.1:{discovery.address[1]}", cache_server)
    process = start_recorded_program(write_config(folder, config))
    try:
        requests = yield connect_steady_requests(front, REQUEST_INTERVAL_S)
        yield pause(WARM_UP_S)
        first_phase_begin_s = time.monotonic()
        yield pause(FIRST_PHASE_S)
        backlog = encode_answer(json.dumps(build_backlog(FIRST_CURSOR, cache_server)).encode())
        begin_s = time.monotonic()
        yield catch_up(discovery, backlog) if misses_events else pause(BASELINE_S)
        end_s = time.monotonic()
        peak_mb = peak_resident_mb(process.pid)
        requests.stop()
        yield pause(LAST_ANSWERS_S)
        requests.disconnect()
    finally:
        turns = end_recorded_program(process)
        yield discovery.stop()
    return RoundResult(
        misses_events,
        end_s - begin_s,
        peak_mb,
        [turn for turn in turns if begin_s <= turn.begin_s < end_s],
        requests.latencies_between(first_phase_begin_s, first_phase_begin_s + FIRST_PHASE_S),
        requests.latencies_between(begin_s, end_s),
        requests.sent_count - len(requests.latencies),
    )


@inlineCallbacks
def measure(rounds: int) -> Steps[None]:
    """Print the table, with a row after each process."""
    print(markdown_head(COLUMNS))
    with tempfile.TemporaryDirectory() as folder:
        for _ in range(rounds):
            for misses_events in (False, True):
                result = yield measure_round(Path(folder), misses_events)
                print(markdown_row(result.cells()), flush=True)


@click.command(help=__doc__)
@click.option(
    "--idle",
    "other_tree",
    type=click.Path(exists=True, path_type=Path),
    help="source tree with which to compare idle routers",
)
@click.argument("rounds", default=3)
def main(other_tree: Path | None, rounds: int) -> None:
    """Measure catching up, or compare idle routers."""
    react: Any = task.react
    if other_tree is not None:
        react(lambda _: compare_idle_trees(other_tree.resolve(), rounds))
    else:
        react(lambda _: measure(rounds))


if __name__ == "__main__":
    main()
