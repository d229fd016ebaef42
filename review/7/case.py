"""A slow discovery: no new request to a cache server 500 ms after its drain counts as told."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lab2"))

import drain_day
from lab import Discovery, Record, run_case

# Time that discovery takes for each answer.
ANSWER_DELAY_S = 4.0

# How long requests are sent after the drain.
PLAY_S = 16.0


def slow_down(record: Record, discovery: Discovery) -> None:
    """Make discovery slow: from now on it takes seconds for each answer."""
    discovery.delay_s = ANSWER_DELAY_S
    record.add("discovery", f"takes {ANSWER_DELAY_S} s for each answer from now on")


async def play(record: Record, folder: Path) -> list[str]:
    """Drain a cache server while discovery is slow."""
    return await drain_day.play(record, folder, slow_down, PLAY_S)


if __name__ == "__main__":
    run_case(play, Path(__file__).resolve().parent)
