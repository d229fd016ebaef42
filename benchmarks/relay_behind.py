"""Measures what it costs a relay process to catch up with the 122,400 events of an hour after a partition.

    PYTHONPATH=. python benchmarks/relay_behind.py [ROUNDS]

440 servers are listed, and one router polls the relay. A Markdown table has a row for each round: the time
from the end of the partition until the router has the last purge, the relay's CPU time in it, its peak memory
before and after, and its longest and its most expensive event-loop iteration. Discovery, the partition and
the router are simulated in this process. Loopback only; each round takes less than 60 s.
"""

from __future__ import annotations

import asyncio
import subprocess
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import click
from benchmark_tools.catch_up_files import HOUR_MS, MISSED_EVENTS
from benchmark_tools.command_line import time_limit
from benchmark_tools.process_figures import main_thread_cpu_ms, peak_resident_mb
from benchmark_tools.recorded_program import (
    Turn,
    end_recorded_program,
    max_cpu_s,
    max_duration_s,
    start_recorded_program,
)
from benchmark_tools.relay_files import BATCH_WINDOW_MS, build_hosts, is_ready
from benchmark_tools.tables import markdown_head, markdown_row
from control_harness.environment import Environment
from control_harness.fault_proxy import FaultProxy
from control_harness.participants import RelayParticipant
from control_harness.poller import Poller
from control_harness.process import OPERATORS_FILE

# Objects of the purge before the partition, and of the first purge during it.
EARLIER_OBJECT = 1
FIRST_OBJECT = 1000
CATCH_UP_TIMEOUT_S = 60.0
CHECK_INTERVAL_S = 0.005
COLUMNS = (
    "caught up after s", "CPU ms", "peak MB before", "after", "longest iteration ms", "max CPU ms of one",
)  # fmt: skip


class RecordedRelay(RelayParticipant):
    """A relay whose long iterations of the event loop are recorded."""

    _process: subprocess.Popen[bytes]

    def start(self) -> None:
        """Start the recorded relay with its operators' file."""
        self._process = start_recorded_program(
            None, operators_file=self.folder / OPERATORS_FILE, log=self.folder / "log"
        )
        self._popen = self._process

    def end(self) -> list[Turn]:
        """Terminate the relay and return its long iterations."""
        return end_recorded_program(self._process)


@dataclass(frozen=True, slots=True)
class RoundResult:
    """The results of one round; ``seconds`` is the time until the router has the last purge."""

    seconds: float
    cpu_ms: float
    peak_before_catch_up_mb: float
    peak_after_catch_up_mb: float
    turns: list[Turn]

    def cells(self) -> tuple[object, ...]:
        """Return the round's row of the table."""
        return (
            f"{self.seconds:.2f}",
            f"{self.cpu_ms:.0f}",
            f"{self.peak_before_catch_up_mb:.1f}",
            f"{self.peak_after_catch_up_mb:.1f}",
            f"{max_duration_s(self.turns) * 1000:.1f}",
            f"{max_cpu_s(self.turns) * 1000:.1f}",
        )


async def wait_for_last_purge(poller: Poller) -> None:
    """Wait until the router has the last purge.  Raises TimeoutError after ``CATCH_UP_TIMEOUT_S``."""
    async with asyncio.timeout(CATCH_UP_TIMEOUT_S):
        while poller.purged_objects[-1] != FIRST_OBJECT + MISSED_EVENTS - 1:
            await asyncio.sleep(CHECK_INTERVAL_S)


async def cut_off_and_publish(environment: Environment, proxy: FaultProxy, poller: Poller) -> None:
    """Publish a purge that the router receives, cut the relay off, and publish an hour of purges."""
    await environment.discovery.publish_purges(EARLIER_OBJECT)
    while EARLIER_OBJECT not in poller.purged_objects:
        await asyncio.sleep(CHECK_INTERVAL_S)
    proxy.block()
    ages_ms = [HOUR_MS * (MISSED_EVENTS - number) / MISSED_EVENTS for number in range(1, MISSED_EVENTS + 1)]
    objects = range(FIRST_OBJECT, FIRST_OBJECT + MISSED_EVENTS)
    await environment.discovery.publish_purges(*objects, ages_ms=ages_ms)


async def measure_round(folder: Path) -> RoundResult:
    """Start a relay, cut it off for an hour of events, and measure its catching up."""
    async with Environment(folder) as environment:
        await environment.discovery.publish_hosts(build_hosts(), complete=True)
        proxy = await environment.start_proxy(environment.discovery.address)
        relay = RecordedRelay(folder, "relay")
        relay.configure([proxy.address], join_ms=BATCH_WINDOW_MS)
        relay.start()
        begin_s = time.monotonic()
        try:
            await environment.wait_until(lambda: is_ready(relay), "the relay is ready")
            poller = Poller(relay.listen_address, "router")
            polling = asyncio.create_task(poller.run())
            await cut_off_and_publish(environment, proxy, poller)
            peak_before_catch_up_mb = peak_resident_mb(relay.pid)
            cpu_before_ms = main_thread_cpu_ms(relay.pid)
            begin_s = time.monotonic()
            proxy.unblock()
            await wait_for_last_purge(poller)
            seconds = time.monotonic() - begin_s
            peak_after_catch_up_mb = peak_resident_mb(relay.pid)
            cpu_ms = main_thread_cpu_ms(relay.pid) - cpu_before_ms
            polling.cancel()
        finally:
            turns = [turn for turn in relay.end() if turn.begin_s >= begin_s]
    return RoundResult(seconds, cpu_ms, peak_before_catch_up_mb, peak_after_catch_up_mb, turns)


async def measure(rounds: int) -> None:
    """Print the table, with a row after each round."""
    print(markdown_head(COLUMNS))
    for _ in range(rounds):
        with tempfile.TemporaryDirectory() as folder:
            result = await measure_round(Path(folder))
            print(markdown_row(result.cells()), flush=True)


@click.command(help=__doc__)
@click.argument("rounds", default=3)
def main(rounds: int) -> None:
    """Measure a relay's catching up."""
    with time_limit():
        asyncio.run(measure(rounds))


if __name__ == "__main__":
    main()
