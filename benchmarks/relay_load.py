"""What a relay costs by the routers that poll it: a real relay before a stand-in discovery, 440 shelfs
listed, 34 purges a second, and the polling side of so many routers in this process.

``PYTHONPATH=. python benchmarks/relay_load.py [SECONDS]``, with the development packages installed, prints a
table for 100, 200, 400 and 600 routers and the slope of processor time by routers with its standard error.
Loopback only; four rounds of SECONDS (default 15) and some for their starts; ends its process."""

from __future__ import annotations

import asyncio
import statistics
import sys
import tempfile
import time
from pathlib import Path

from control_harness.environment import Environment
from control_harness.participants import RelayParticipant
from control_harness.poller import Poller

SIZES = 100, 200, 400, 600
SHELFS, PURGES_A_S = 440, 34
SETTLE_S = 3.0


def used_ms(pid: int) -> float:
    """By the scheduler's own count, which is finer than a tick."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e6


def memory_mb(pid: int) -> float:
    """The most that was resident."""
    (line,) = [row for row in Path(f"/proc/{pid}/status").read_text().splitlines() if row.startswith("VmHWM")]
    return int(line.split()[1]) / 1024.0


async def purge_for(rig: Environment, seconds: float) -> int:
    """At an even rate; how many."""
    start, count = time.monotonic(), 0
    while time.monotonic() - start < seconds:
        count += 1
        await rig.discovery.publish_purges(count)
        await asyncio.sleep(max(0.0, start + count / PURGES_A_S - time.monotonic()))
    return count


async def one_size(
    rig: Environment, relay: RelayParticipant, pid: int, size: int, seconds: float
) -> tuple[float, ...]:
    """Processor time in ms a second, memory in MB, connections."""
    pollers = [Poller(relay.listen_address, f"poller-{number}") for number in range(size)]
    tasks = [asyncio.create_task(poller.run()) for poller in pollers]
    await asyncio.sleep(SETTLE_S)
    start, before = time.monotonic(), used_ms(pid)
    count = await purge_for(rig, seconds)
    used, took = used_ms(pid) - before, time.monotonic() - start
    connections = int((await relay.status())["connections"])
    least = min(len(poller.purged_objects) for poller in pollers)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert least >= 0.9 * count, f"a router heard {least} of {count} purges"
    return used / took, memory_mb(pid), connections


async def main(seconds: float) -> None:
    print("| routers | processor, ms a second | memory, MB (peak so far) | connections |\n|---|---|---|---|")
    line = {"dial": "127.0.0.1:9", "site": "demo", "class": "box", "health": "active", "share": 1}
    points: list[tuple[int, float]] = []
    with tempfile.TemporaryDirectory() as name:
        async with Environment(Path(name)) as rig:
            await rig.discovery.publish_hosts(
                [line | {"host": f"s{number}"} for number in range(SHELFS)], True
            )
            relay = rig.add_relay("relay")
            relay.configure([rig.discovery.address], join_ms=150)
            relay.start()
            await rig.wait_until(lambda: ready(relay), "the relay is ready")
            for size in SIZES:
                used, memory, connections = await one_size(rig, relay, relay.pid, size, seconds)
                points.append((size, used))
                print(f"| {size} | {used:.1f} | {memory:.1f} | {connections:.0f} |", flush=True)
    slope, error, base = fit(points)
    print(f"\nprocessor: {base:.1f} ms a second and {slope:.3f} (standard error {error:.3f}) for each router")


async def ready(relay: RelayParticipant) -> bool:
    return await relay.call_admin("check") == ["ACK"]


def fit(points: list[tuple[int, float]]) -> tuple[float, float, float]:
    """Slope, its standard error, and what is there without routers."""
    xs, ys = [float(x) for x, _ in points], [y for _, y in points]
    slope, base = statistics.linear_regression(xs, ys)
    rest = sum((y - base - slope * x) ** 2 for x, y in points) / (len(points) - 2)
    return slope, (rest / sum((x - statistics.fmean(xs)) ** 2 for x in xs)) ** 0.5, base


if __name__ == "__main__":
    asyncio.run(main(float(sys.argv[1]) if len(sys.argv) > 1 else 15.0))
