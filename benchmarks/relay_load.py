"""Measures CPU time and memory of a relay process by the number of routers that poll it.

    PYTHONPATH=. python benchmarks/relay_load.py [SECONDS]

440 servers are listed, a fake discovery publishes 34 purges per second, and the routers' pollers run in this
process. The table has a row for 100, 200, 400 and 600 routers; below it is the slope of CPU time by routers
with its standard error. Uses loopback only, and needs the development packages. A run takes four times
SECONDS plus the start-up times.
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import click
from benchmark_tools.command_line import time_limit
from benchmark_tools.line_fit import fit_line
from benchmark_tools.process_figures import main_thread_cpu_ms, peak_resident_mb
from benchmark_tools.relay_files import BATCH_WINDOW_MS, build_hosts, is_ready
from benchmark_tools.tables import markdown_head, markdown_row
from control_harness.environment import Environment
from control_harness.participants import RelayParticipant
from control_harness.poller import Poller

SIZES = (100, 200, 400, 600)
PURGES_PER_S = 34
# Time that the pollers get to connect before a measurement.
CONNECT_S = 3.0
# Share of the published purges that every router must have received for a valid measurement.
MIN_RECEIVED_SHARE = 0.9


class MissedPurgesError(RuntimeError):
    """A router received less than ``MIN_RECEIVED_SHARE`` of the published purges."""

    def __init__(self, received: int, published: int) -> None:
        super().__init__(f"a router received {received} of {published} purges")


@dataclass(frozen=True, slots=True)
class RelayCost:
    """CPU time per second, peak memory since the relay's start, and number of connections."""

    cpu_ms_per_s: float
    peak_mb: float
    connections: int


async def publish_purges(environment: Environment, seconds: float) -> int:
    """Publish purges at ``PURGES_PER_S`` for ``seconds`` and return how many were published."""
    begin_s = time.monotonic()
    count = 0
    while time.monotonic() - begin_s < seconds:
        count += 1
        await environment.discovery.publish_purges(count)
        await asyncio.sleep(max(0.0, begin_s + count / PURGES_PER_S - time.monotonic()))
    return count


async def measure_size(
    environment: Environment, relay: RelayParticipant, routers: int, seconds: float
) -> RelayCost:
    """Measure the relay with this number of routers.  Raises MissedPurgesError."""
    pollers = [Poller(relay.listen_address, f"poller-{number}") for number in range(routers)]
    tasks = [asyncio.create_task(poller.run()) for poller in pollers]
    await asyncio.sleep(CONNECT_S)
    begin_s = time.monotonic()
    cpu_before_ms = main_thread_cpu_ms(relay.pid)
    published = await publish_purges(environment, seconds)
    cpu_ms = main_thread_cpu_ms(relay.pid) - cpu_before_ms
    measured_s = time.monotonic() - begin_s
    status = await relay.status()
    fewest_received = min(len(poller.purged_objects) for poller in pollers)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    if fewest_received < MIN_RECEIVED_SHARE * published:
        raise MissedPurgesError(fewest_received, published)
    return RelayCost(cpu_ms / measured_s, peak_resident_mb(relay.pid), int(status["connections"]))


async def measure(folder: Path, seconds: float) -> None:
    """Print the table, with a row after each size, and the slope of CPU time by routers."""
    print(markdown_head(("routers", "CPU ms per s", "memory, MB (peak so far)", "connections")))
    points: list[tuple[float, float]] = []
    async with Environment(folder) as environment:
        await environment.discovery.publish_hosts(build_hosts(), complete=True)
        relay = environment.add_relay("relay")
        relay.configure([environment.discovery.address], join_ms=BATCH_WINDOW_MS)
        relay.start()
        await environment.wait_until(lambda: is_ready(relay), "the relay is ready")
        for routers in SIZES:
            cost = await measure_size(environment, relay, routers, seconds)
            points.append((routers, cost.cpu_ms_per_s))
            cells = (routers, f"{cost.cpu_ms_per_s:.1f}", f"{cost.peak_mb:.1f}", cost.connections)
            print(markdown_row(cells), flush=True)
    line = fit_line(points)
    print(
        f"\nCPU time: {line.intercept:.1f} ms per s and {line.slope:.3f} "
        f"(standard error {line.slope_error:.3f}) for each router"
    )


@click.command(help=__doc__)
@click.argument("seconds", default=15.0)
def main(seconds: float) -> None:
    """Measure a relay at all sizes."""
    with time_limit(), tempfile.TemporaryDirectory() as folder:
        asyncio.run(measure(Path(folder), seconds))


if __name__ == "__main__":
    main()
