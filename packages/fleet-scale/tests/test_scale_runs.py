"""Whole runs: what hollow routers know is what was told, and no process outlives its run."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from fleet_scale.__main__ import main
from fleet_scale.child import RunError
from fleet_scale.faults import cut, end_routers, heal, start_routers
from fleet_scale.measure import cost, sample, spread
from fleet_scale.setup import Options
from fleet_scale.stage import Stage
from fleet_scale.topology import HERE, read_topology

ROOT = Path(__file__).resolve().parents[3]
WITHIN_S = 40.0


@pytest.fixture(scope="module")
def stage() -> Iterator[Stage]:
    topology = read_topology(HERE / "small.toml").sized(routers=18, shelfs=12)
    with Stage(topology, Options(linked=True), most_s=300.0) as stage:
        assert stage.wait(stage.in_step, WITHIN_S) is not None
        yield stage


def test_all_take_what_is_told_once_and_in_the_end_hold_one_list(stage: Stage) -> None:
    before, repeated = sample(stage), stage.state()["repeated"]
    purges, changes = stage.purges(50.0, 20), stage.changes(0.05, 5)
    assert stage.wait(stage.in_step, WITHIN_S) is not None
    for plan in (purges, changes):
        found = spread(plan, stage.taken(plan), 18)
        assert (found.told, found.missed) == (plan.count, 0) and found.most > 0
    state = stage.state()
    assert (state["running"], state["repeated"] - repeated) == (18, 0)
    spent = cost(before, sample(stage))
    assert spent.routers == 18 and spent.router_in > 0 and spent.discovery_polls > 0


def test_who_is_cut_off_is_told_nothing_until_it_is_healed(stage: Stage) -> None:
    names = stage.sites[-1].routers
    others = [name for site in stage.sites if site.region != stage.sites[-1].region for name in site.routers]
    cut(stage, names)
    plan = stage.past(stage.reserve(10), 10, past_s=5.0)
    newest = plan.first + plan.count - 1
    assert stage.wait(lambda: stage.state(others)["highest"] == newest, WITHIN_S) is not None
    assert stage.state(names)["highest_of_any"] < plan.first
    heal(stage, names)
    assert stage.wait(stage.in_step, WITHIN_S) is not None


def test_a_router_that_is_back_knows_the_list_as_it_stands(stage: Stage) -> None:
    names = stage.sites[0].routers
    end_routers(stage, names)
    stage.changes(0.01, 1)
    assert stage.wait(stage.in_step, WITHIN_S) is not None
    assert stage.state()["running"] == 18 - len(names)
    start_routers(stage, names)
    assert stage.wait(stage.in_step, WITHIN_S) is not None
    assert stage.state()["running"] == 18


def test_a_run_past_its_time_or_its_memory_is_given_up(stage: Stage, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("fleet_scale.stage.MEMORY_SHARE", 1e-6)
    with pytest.raises(RunError, match="memory"):
        stage.check()
    monkeypatch.setattr(stage, "until", 0.0)
    with pytest.raises(RunError, match="longer"):
        stage.check()


# -- the end --


def children(pid: int) -> list[int]:
    return [int(word) for word in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]


def runs(pid: int) -> bool:
    """Neither gone nor a zombie."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


def is_router(pid: int) -> bool:
    try:
        return Path(f"/proc/{pid}/cmdline").read_bytes().split(b"\0")[1:] == [
            b"-m",
            b"thornjunction",
            b"run",
            b"",
        ]
    except OSError:
        return False


def until(holds: Callable[[], bool]) -> None:
    end = time.monotonic() + WITHIN_S
    while not holds():
        assert time.monotonic() < end, "not in time"
        time.sleep(0.02)


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM])
def test_no_process_outlives_its_run(number: signal.Signals, tmp_path: Path) -> None:
    command = [sys.executable, "-m", "fleet_scale", "small", "--modes", "direct"]
    env = dict(os.environ) | {"TMPDIR": str(tmp_path)}
    run = subprocess.Popen(command, cwd=ROOT, env=env, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    try:
        until(lambda: len(children(run.pid)) >= 13)  # shelfs, discoveries, links, whole routers, load
        # What has become a router is held by the kernel's signal alone.
        until(lambda: sum(map(is_router, children(run.pid))) == 3)
        begun = children(run.pid)
        run.send_signal(number)
        assert run.wait(WITHIN_S) == (-9 if number is signal.SIGKILL else 143)
        until(lambda: not any(map(runs, begun)))
        if number is signal.SIGTERM:
            assert list(tmp_path.iterdir()) == []
    finally:
        run.kill()
        run.wait()


def test_a_faulty_file_ends_with_2_and_a_missed_verdict_with_1(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["small", "--topology", str(tmp_path / "none.toml")]) == 2
    assert "none.toml" in capsys.readouterr().err
    out = tmp_path / "out.md"
    assert main(["small", "--modes", "direct", "--most-s", "0.1", "--out", str(out)]) == 1
    assert "played to the end (the run took longer than it may)" in out.read_text()
