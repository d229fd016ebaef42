"""Compares memory and CPU time of an idle router with those of another commit's, run at the same time.

    PYTHONPATH=. python benchmarks/idle.py [COMMIT] [ROUNDS] [SECONDS]

Each router has a fake discovery of its own; which of them starts first alternates between rounds. The table
shows the memory (proportional set size) and the CPU time (user and system) of each, and their ratio. A round
lasts SECONDS after the start-up time, with idle polls only. Uses loopback only, and needs the development
packages.
"""

from __future__ import annotations

import asyncio
import statistics
import subprocess
import tempfile
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

import click
from benchmark_tools.command_line import time_limit
from benchmark_tools.process_figures import main_thread_cpu_ms, proportional_mb
from benchmark_tools.router_program import ROOT, extract_tree, kill_all, start_program, write_config
from benchmark_tools.tables import print_table
from control_harness.fake_discovery import FakeDiscovery
from control_harness.participants import free_addresses
from fakes.config import SETTINGS

DEFAULT_COMMIT = "159a7f7"
STARTUP_S = 3.0
LISTED_SERVERS = 440
MAX_SOCKETS = 90
HOST = {"dial": "127.0.0.1:9", "site": "demo", "class": "box", "health": "active", "share": 1}


class TooFewPollsError(RuntimeError):
    """A router sent at most one poll in two seconds."""

    def __init__(self, poll_counts: Sequence[int]) -> None:
        super().__init__(f"too few idle polls by the routers: {poll_counts}")


@dataclass(frozen=True, slots=True)
class IdleCost:
    """Memory at the end of a round, and CPU time over it."""

    memory_mb: float
    cpu_ms: float


@dataclass(frozen=True, slots=True)
class Round:
    """The costs of both routers in one round: the other commit's, and this tree's."""

    base: IdleCost
    current: IdleCost


def start_router(tree: Path, folder: Path, channel: str) -> subprocess.Popen[bytes]:
    """Start the router of a source tree."""
    front, admin = free_addresses(2)
    config = {
        "name": "idle",
        "listen": front,
        "admin_addr": admin,
        "channel": channel,
        "settings": SETTINGS,
        "limits": {"sockets": MAX_SOCKETS},
        "known": {"cursor": 0, "cmds": []},
    }
    return start_program(write_config(folder, config), tree)


async def measure_trees(trees: Sequence[Path], folder: Path, seconds: float) -> list[IdleCost]:
    """Run the router of each tree, started in order; return their costs.  Raises TooFewPollsError."""
    discoveries = [FakeDiscovery() for _ in trees]
    routers: list[subprocess.Popen[bytes]] = []
    hosts = [HOST | {"host": f"s{number}"} for number in range(LISTED_SERVERS)]
    try:
        for tree, discovery in zip(trees, discoveries, strict=True):
            await discovery.publish_hosts(hosts, complete=True)
            await discovery.start()
            routers.append(start_router(tree, folder, discovery.address))
        await asyncio.sleep(STARTUP_S)
        cpu_before_ms = [main_thread_cpu_ms(router.pid) for router in routers]
        await asyncio.sleep(seconds)
        poll_counts = [discovery.poll_count for discovery in discoveries]
        if min(poll_counts) <= seconds / 2:
            raise TooFewPollsError(poll_counts)
        return [
            IdleCost(proportional_mb(router.pid), main_thread_cpu_ms(router.pid) - before_ms)
            for router, before_ms in zip(routers, cpu_before_ms, strict=True)
        ]
    finally:
        kill_all(routers)
        for discovery in discoveries:
            await discovery.stop()


async def measure_round(base_tree: Path, base_starts_first: bool, folder: Path, seconds: float) -> Round:
    """Measure both routers at the same time."""
    if base_starts_first:
        base, current = await measure_trees([base_tree, ROOT], folder, seconds)
    else:
        current, base = await measure_trees([ROOT, base_tree], folder, seconds)
    return Round(base, current)


async def measure(commit: str, round_count: int, seconds: float) -> None:
    """Measure all rounds and print the table."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        base_tree = extract_tree(commit, folder / "base")
        rounds = [
            await measure_round(base_tree, number % 2 == 0, folder, seconds) for number in range(round_count)
        ]
    columns = (f"{round_count} rounds of {seconds:.0f} s idle", commit, "this tree", "ratio")
    rows = [
        _row(f"memory, MB ({LISTED_SERVERS} servers listed)", rounds, lambda cost: cost.memory_mb),
        _row("CPU ms per s", rounds, lambda cost: cost.cpu_ms / seconds),
    ]
    print_table(columns, rows)


def _row(name: str, rounds: Sequence[Round], value: Callable[[IdleCost], float]) -> tuple[object, ...]:
    base = [value(measured.base) for measured in rounds]
    current = [value(measured.current) for measured in rounds]
    ratios = [new / old for old, new in zip(base, current, strict=True)]
    return (
        name,
        f"{statistics.median(base):.2f}",
        f"{statistics.median(current):.2f}",
        f"{statistics.median(ratios):.3f} ({min(ratios):.3f} to {max(ratios):.3f})",
    )


@click.command(help=__doc__)
@click.argument("commit", default=DEFAULT_COMMIT)
@click.argument("rounds", default=6)
@click.argument("seconds", default=20.0)
def main(commit: str, rounds: int, seconds: float) -> None:
    """Compare idle routers."""
    with time_limit():
        asyncio.run(measure(commit, rounds, seconds))


if __name__ == "__main__":
    main()
