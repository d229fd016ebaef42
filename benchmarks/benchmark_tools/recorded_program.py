"""Runs the program of this tree with a record of the long iterations of its event loop."""

from __future__ import annotations

import json
import subprocess
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from benchmark_tools.router_program import ROOT, start_program

RECORDER_SCRIPT = Path(__file__).with_name("record_turns.py")
EXIT_TIMEOUT_S = 10


@dataclass(frozen=True, slots=True)
class Turn:
    """One iteration of the event loop: its start on the monotonic clock, its duration and its CPU time."""

    begin_s: float
    duration_s: float
    cpu_s: float


def start_recorded_program(
    config: Path | None, operators_file: Path | None = None, log: Path | None = None
) -> subprocess.Popen[bytes]:
    """Start the program of this tree; ``end_recorded_program`` returns its iterations."""
    command = [str(RECORDER_SCRIPT), str(ROOT)]
    if operators_file is not None:
        command.append(str(operators_file))
    return start_program(config, command=command, log=log, stdout=subprocess.PIPE)


def end_recorded_program(process: subprocess.Popen[bytes]) -> list[Turn]:
    """Terminate the program and return its long iterations, in order.  Raises TimeoutExpired."""
    process.terminate()
    try:
        output, _ = process.communicate(timeout=EXIT_TIMEOUT_S)
    finally:
        process.kill()
    return [Turn(*turn) for turn in json.loads(output)] if output.strip() else []


def max_duration_s(turns: Sequence[Turn]) -> float:
    """Return the duration of the longest iteration, or 0 if there is none."""
    return max((turn.duration_s for turn in turns), default=0.0)


def max_cpu_s(turns: Sequence[Turn]) -> float:
    """Return the CPU time of the most expensive iteration, or 0 if there is none."""
    return max((turn.cpu_s for turn in turns), default=0.0)
