"""Every scenario file, played side by side by one process of the rig; and what a file may not hold."""

from __future__ import annotations

import json
import os
import re
import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from fleet_harness.scenario_run import Stage
from fleet_sim.scenario import ScenarioSyntaxError, parse

SCENES = sorted((Path(__file__).parent / "timelines").glob("*.timeline"))
JOBS, WITHIN_S = 4, 180.0
ROOT = Path(__file__).parents[3]  # from where the router is run


@pytest.fixture(scope="session")
def verdicts() -> Iterator[dict[str, Any]]:
    """The verdict of each file by its name; the rig ends its processes also where this is cut short."""
    command = [sys.executable, "-m", "fleet_harness", "play", "--jobs", str(JOBS), *map(str, SCENES)]
    rig = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True, cwd=ROOT)
    try:
        told, faults = rig.communicate(timeout=WITHIN_S)
    finally:
        rig.terminate()
        rig.communicate()
    assert not faults, faults
    lines = [json.loads(line) for line in told.splitlines()]
    yield {line["name"]: line for line in lines}


@pytest.mark.parametrize("name", [path.stem for path in SCENES])
def test_all_is_seen_that_the_file_names(name: str, verdicts: dict[str, Any]) -> None:
    verdict = verdicts[name]
    assert not verdict["why"], f"{verdict['why']}\n{verdict['timeline']}"


HEAD = "title: x\nnodes: a b\n"


@pytest.mark.parametrize(
    ("text", "names"),
    [
        (HEAD + "at 5 wait", "no times"),
        (HEAD + "voters: c\nthen wait", "no node c"),
        (HEAD + "then 5 wait", "no times"),
        (HEAD + "votes: a\nthen wait", "votes"),
        (HEAD + "then wait | a: x\n | then b: x", "line 4: then b: x: a rig holds no order"),
    ],
)
def test_what_a_rig_can_not_do_is_refused(text: str, names: str) -> None:
    with pytest.raises(ScenarioSyntaxError, match=names):
        Stage(None, parse(text))


def test_what_is_not_seen_is_told_with_its_timeline(tmp_path: Path) -> None:
    scenes = {"none": "boil a", "wrong": "wait | a: exit 0"}
    for name, act in scenes.items():
        (tmp_path / name).write_text(HEAD + f"for: 6000\nthen {act}\n")
    command = [sys.executable, "-m", "fleet_harness", "play", *(str(tmp_path / name) for name in scenes)]
    ended = subprocess.run(command, capture_output=True, text=True, timeout=60, cwd=ROOT)
    told = {line["name"]: line for line in map(json.loads, ended.stdout.splitlines())}
    assert ended.returncode == 1 and told["none"]["why"] == "line 4: not an act: boil a (no such act)"
    assert told["wrong"]["why"] == "not seen in time: line 4: a: exit 0"
    assert told["wrong"]["timeline"].count("* started") == 2
    assert told["wrong"]["timeline"].count("exit signal_9") == 2


def test_the_demo_tells_of_its_routers_and_ends_them() -> None:
    command = [sys.executable, "-m", "fleet_harness"]
    demo = subprocess.Popen(command, stdout=subprocess.PIPE, text=True, cwd=ROOT)
    try:
        assert demo.stdout is not None
        lines = [next(demo.stdout) for _ in range(5)]
        pids = [int(found[1]) for line in lines if (found := re.search(r"process (\d+)", line))]
        assert len(pids) == 3
        os.kill(pids[2], signal.SIGKILL)
        while "member router-3 failed" not in next(demo.stdout):
            pass  # it ends with the pipe, where this is never said
    finally:
        demo.terminate()
        demo.communicate()
    assert demo.returncode == 0
    for pid in pids:
        with pytest.raises(ProcessLookupError):
            os.kill(pid, 0)
