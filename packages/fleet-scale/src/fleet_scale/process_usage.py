"""Processor time and memory of a process, as the kernel accounts them."""

from __future__ import annotations

import os
import time
from pathlib import Path

import msgspec

PAGE_MB = os.sysconf("SC_PAGESIZE") / 1e6


class ProcessUsage(msgspec.Struct, frozen=True):
    """Processor time since the start, resident memory, and resident memory without file-backed pages."""

    cpu_s: float
    resident_mb: float
    private_mb: float
    descriptors: int = 0


def read_memory_mb(process: str) -> tuple[float, float]:
    """Return the resident and the private memory of a process, by its id or ``self``.

    Raises OSError if there is no such process.
    """
    words = Path(f"/proc/{process}/statm").read_text(encoding="ascii").split()
    resident_mb = int(words[1]) * PAGE_MB
    shared_mb = int(words[2]) * PAGE_MB
    return resident_mb, resident_mb - shared_mb


def usage_of_this_process() -> ProcessUsage:
    """Return the usage of the calling process, with processor time finer than the ticks in /proc."""
    resident_mb, private_mb = read_memory_mb("self")
    return ProcessUsage(time.process_time(), resident_mb, private_mb)
