"""Cost of the possible executions that two processes of one router share: times, file and memory.

    PYTHONPATH=. python benchmarks/execution_store.py

One process has recorded as many attempts as a router's table has keys; the other one reads and records. Each
figure is the mean of all accesses; the file is in a temporary folder.
"""

from __future__ import annotations

import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import click
from benchmark_tools.command_line import time_limit
from benchmark_tools.tables import markdown_table

from thornjunction import interface as api
from thornjunction.limits.idempotency import MAX_KEYS
from thornjunction.net.event_loop.timer_service import core_ms
from thornjunction.runtime.execution_store import SharedExecutions

US_PER_S = 1e6


def mean_us(access: Callable[[int], object]) -> float:
    """Return the mean time of one access, over as many as the table has keys."""
    began_s = time.perf_counter()
    for number in range(MAX_KEYS):
        access(number)
    return (time.perf_counter() - began_s) / MAX_KEYS * US_PER_S


def resident_kb() -> int:
    """Return the resident memory of this process."""
    line = next(line for line in Path("/proc/self/status").read_text().splitlines() if "VmRSS" in line)
    return int(line.split()[1])


def measure(folder: str) -> list[tuple[str, str]]:
    """Return the rows of the table."""
    before_kb = resident_kb()
    old, new = (SharedExecutions(folder, "n1", core_ms) for _ in range(2))
    execution = api.PossibleExecution(core_ms(), "edge-1", 1)
    claim_us = mean_us(lambda number: old.claim(f"{number:032x}", execution, ()))
    find_us = mean_us(lambda number: new.find(f"{number:032x}"))
    repeat_us = mean_us(lambda number: new.claim(f"{number:032x}", execution, (execution,)))
    size_kb = new.path.stat().st_size // 1024
    memory_kb = resident_kb() - before_kb
    withdraw_us = mean_us(lambda number: old.withdraw(number + 1))
    return [
        ("record an attempt", f"{claim_us:.0f} us"),
        ("read the other process's attempts under a key", f"{find_us:.0f} us"),
        ("record an attempt under a key that the other process used", f"{repeat_us:.0f} us"),
        ("remove a record", f"{withdraw_us:.0f} us"),
        (f"file with {2 * MAX_KEYS} records", f"{size_kb} KB"),
        ("memory of both stores in one process", f"{memory_kb} KB"),
    ]


@click.command()
def main() -> None:
    """Print the table."""
    with time_limit(), tempfile.TemporaryDirectory() as folder:
        click.echo(markdown_table(("access", "cost"), measure(folder)))


if __name__ == "__main__":
    main()
