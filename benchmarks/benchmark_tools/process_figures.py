"""Memory, CPU time and descriptors of processes, as the kernel reports them in ``/proc``."""

from __future__ import annotations

import re
from pathlib import Path

KB_PER_MB = 1024.0


class MissingFigureError(LookupError):
    """A file of ``/proc`` lacks an expected line."""

    def __init__(self, path: Path, name: str) -> None:
        super().__init__(f"{path} has no line {name}")


def _read_kb(path: Path, name: str) -> int:
    """Return the value of a line such as ``VmRSS:  1024 kB``.  Raises MissingFigureError."""
    match = re.search(rf"^{name}:\s+(\d+)", path.read_text(), re.MULTILINE)
    if match is None:
        raise MissingFigureError(path, name)
    return int(match[1])


def resident_kb(process: int | str) -> int:
    """Return the resident memory of a process, by its id or ``self``."""
    return _read_kb(Path(f"/proc/{process}/status"), "VmRSS")


def resident_mb(process: int | str) -> float:
    """Return the resident memory of a process, by its id or ``self``."""
    return resident_kb(process) / KB_PER_MB


def peak_resident_mb(pid: int) -> float:
    """Return the peak resident memory of a process."""
    return _read_kb(Path(f"/proc/{pid}/status"), "VmHWM") / KB_PER_MB


def proportional_mb(pid: int) -> float:
    """Return the proportional set size of a process: a page shared by n processes counts as 1/n."""
    return _read_kb(Path(f"/proc/{pid}/smaps_rollup"), "Pss") / KB_PER_MB


def main_thread_cpu_ms(pid: int) -> float:
    """Return the CPU time of a process's main thread; schedstat is more precise than clock ticks."""
    return _cpu_ns(Path(f"/proc/{pid}/schedstat")) / 1e6


def all_threads_cpu_s(pid: int) -> float:
    """Return the CPU time of all present threads of a process."""
    threads = Path(f"/proc/{pid}/task").iterdir()
    return sum(_cpu_ns(thread / "schedstat") for thread in threads) / 1e9


def _cpu_ns(path: Path) -> int:
    return int(path.read_text().split()[0])


def open_descriptors(pid: int) -> int:
    """Return how many descriptors a process has open."""
    return sum(1 for _ in Path(f"/proc/{pid}/fd").iterdir())
