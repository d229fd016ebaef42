"""The command line of scale runs: its exit codes, and that no process outlives a run."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import pytest
from fleet_scale.__main__ import main

ROOT = Path(__file__).resolve().parents[3]
TIMEOUT_S = 40.0
POLL_INTERVAL_S = 0.02
# Processes of the small run in direct mode: fake cache servers, discoveries, proxies, full routers, load.
MIN_CHILDREN = 13
FULL_ROUTERS = 3


def child_pids(pid: int) -> list[int]:
    return [int(word) for word in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]


def is_running(pid: int) -> bool:
    """Whether a process exists and is not a zombie."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


def is_router(pid: int) -> bool:
    try:
        words = Path(f"/proc/{pid}/cmdline").read_bytes().split(b"\0")
    except OSError:
        return False
    return words[1:] == [b"-m", b"thornjunction", b"run", b""]


def wait_until(condition: Callable[[], bool]) -> None:
    """Poll a condition on the process table, of which there are no notifications."""
    deadline_s = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline_s, (
            "the process table did not reach the expected state within the timeout"
        )
        time.sleep(POLL_INTERVAL_S)


@pytest.mark.parametrize("sent_signal", [signal.SIGKILL, signal.SIGTERM])
def test_no_process_outlives_its_run(sent_signal: signal.Signals, tmp_path: Path) -> None:
    command = [sys.executable, "-m", "fleet_scale", "small", "--modes", "direct"]
    variables = dict(os.environ) | {"TMPDIR": str(tmp_path)}
    run = subprocess.Popen(
        command, cwd=ROOT, env=variables, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
    )
    try:
        wait_until(lambda: len(child_pids(run.pid)) >= MIN_CHILDREN)
        # Once a process runs a router, only the kernel's parent-death signal ends it.
        wait_until(lambda: sum(map(is_router, child_pids(run.pid))) == FULL_ROUTERS)
        children = child_pids(run.pid)
        run.send_signal(sent_signal)
        assert run.wait(TIMEOUT_S) == (-9 if sent_signal is signal.SIGKILL else 143)
        wait_until(lambda: not any(map(is_running, children)))
        if sent_signal is signal.SIGTERM:
            assert list(tmp_path.iterdir()) == []
    finally:
        run.kill()
        run.wait()


def test_exit_code_is_2_for_an_invalid_topology_and_1_for_a_failed_verdict(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["small", "--topology", str(tmp_path / "none.toml")]) == 2
    assert "none.toml" in capsys.readouterr().err
    out = tmp_path / "out.md"
    assert main(["small", "--modes", "direct", "--most-s", "0.1", "--out", str(out)]) == 1
    assert "completed (the run exceeded its time limit)" in out.read_text()
