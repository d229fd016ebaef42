"""What processes use, as the kernel counts it."""

from __future__ import annotations

import re
from pathlib import Path

KB_PER_MB = 1024.0


class MissingFigureError(LookupError):
    """The kernel does not show a figure."""

    def __init__(self, path: Path, name: str) -> None:
        super().__init__(f"{path} has no {name}")


def _read_kb(path: Path, name: str) -> int:
    """Read a line such as ``VmRSS:  1024 kB``."""
    found = re.search(rf"^{name}:\s+(\d+)", path.read_text(), re.MULTILINE)
    if found is None:
        raise MissingFigureError(path, name)
    return int(found[1])


def resident_kb(process: int | str) -> int:
    """The resident memory of a process, by its id or ``self``."""
    return _read_kb(Path(f"/proc/{process}/status"), "VmRSS")


def resident_mb(process: int | str) -> float:
    """The resident memory of a process, by its id or ``self``."""
    return resident_kb(process) / KB_PER_MB


def peak_resident_mb(pid: int) -> float:
    """The greatest resident memory that a process had."""
    return _read_kb(Path(f"/proc/{pid}/status"), "VmHWM") / KB_PER_MB


def proportional_mb(pid: int) -> float:
    """The proportional set size of a process: pages that others share count by their part."""
    return _read_kb(Path(f"/proc/{pid}/smaps_rollup"), "Pss") / KB_PER_MB


def main_thread_cpu_ms(pid: int) -> float:
    """The processor time of a process's first thread; the scheduler's count is finer than a tick."""
    return _schedule_ns(Path(f"/proc/{pid}/schedstat")) / 1e6


def all_threads_cpu_s(pid: int) -> float:
    """The processor time of all threads of a process."""
    threads = Path(f"/proc/{pid}/task").iterdir()
    return sum(_schedule_ns(thread / "schedstat") for thread in threads) / 1e9


def _schedule_ns(path: Path) -> int:
    return int(path.read_text().split()[0])


def open_descriptors(pid: int) -> int:
    """How many descriptors a process has open."""
    return sum(1 for _ in Path(f"/proc/{pid}/fd").iterdir())
