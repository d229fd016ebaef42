"""Every scenario file, run concurrently by one harness process; unsupported files; and the demo."""

from __future__ import annotations

import json
import os
import re
import select
import signal
import subprocess
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest
from fleet_harness.scenario_run import ScenarioRun
from fleet_sim.scenario import ScenarioSyntaxError, parse

SCENARIOS = sorted((Path(__file__).parent / "timelines").glob("*.timeline"))
JOBS = 4
TIMEOUT_S = 180.0  # for all scenarios together; they take a minute on a busy machine
EXIT_TIMEOUT_S = 10.0  # enough for a busy machine; on an idle one a killed process ends at once
ROOT = Path(__file__).parents[3]  # the working directory of the harness, which has the router's package


@pytest.fixture(scope="session")
def verdicts() -> dict[str, Any]:
    """The verdict of each file, by its name.  The harness is ended also if the test run is interrupted."""
    command = [sys.executable, "-m", "fleet_harness", "play", "--jobs", str(JOBS), *map(str, SCENARIOS)]
    harness = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True, cwd=ROOT)
    try:
        output, errors = harness.communicate(timeout=TIMEOUT_S)
    finally:
        harness.terminate()
        harness.communicate()
    assert not errors, errors
    lines = [json.loads(line) for line in output.splitlines()]
    return {line["name"]: line for line in lines}


@pytest.mark.parametrize("name", [path.stem for path in SCENARIOS])
def test_every_expectation_of_the_file_is_met(name: str, verdicts: dict[str, Any]) -> None:
    verdict = verdicts[name]
    assert not verdict["why"], f"{verdict['why']}\n{verdict['timeline']}"


HEADER = "title: x\nnodes: a b\n"


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (HEADER + "at 5 wait", "does not support times"),
        (HEADER + "voters: c\nthen wait", "no node c"),
        (HEADER + "then 5 wait", "does not support times"),
        (HEADER + "votes: a\nthen wait", "votes"),
        (
            HEADER + "then wait | a: x\n | then b: x",
            "line 4: then b: x: the harness does not check the order",
        ),
    ],
)
def test_unsupported_scenarios_are_rejected(text: str, message: str) -> None:
    with pytest.raises(ScenarioSyntaxError, match=message):
        ScenarioRun(None, parse(text))


def test_a_failed_scenario_is_reported_with_its_timeline(tmp_path: Path) -> None:
    actions = {"none": "boil a", "wrong": "wait | a: exit 0"}
    for name, action in actions.items():
        (tmp_path / name).write_text(HEADER + f"for: 6000\nthen {action}\n")
    command = [sys.executable, "-m", "fleet_harness", "play", *(str(tmp_path / name) for name in actions)]
    completed = subprocess.run(command, capture_output=True, text=True, timeout=60, cwd=ROOT)
    verdicts = {line["name"]: line for line in map(json.loads, completed.stdout.splitlines())}
    assert completed.returncode == 1
    assert verdicts["none"]["why"] == "line 4: not an action: boil a (no such action)"
    assert verdicts["wrong"]["why"] == "not observed in time: line 4: a: exit 0"
    assert verdicts["wrong"]["timeline"].count("* started") == 2
    assert verdicts["wrong"]["timeline"].count("exit signal_9") == 2


def start_demo() -> tuple[subprocess.Popen[str], list[int]]:
    """Start the demo; return its process and the process ids that it prints for its routers."""
    command = [sys.executable, "-m", "fleet_harness"]
    demo = subprocess.Popen(command, stdout=subprocess.PIPE, text=True, cwd=ROOT)
    assert demo.stdout is not None
    lines = [next(demo.stdout) for _ in range(5)]
    return demo, [int(found[1]) for line in lines if (found := re.search(r"process (\d+)", line))]


def test_routers_end_with_a_harness_that_is_killed() -> None:
    demo, pids = start_demo()
    processes = [os.pidfd_open(pid) for pid in pids]
    try:
        demo.kill()
        demo.communicate()
        ended = [select.select([process], [], [], EXIT_TIMEOUT_S)[0] for process in processes]
        assert ended == [[process] for process in processes]
        assert len(pids) == 3
    finally:
        for process in processes:
            with suppress(ProcessLookupError):
                signal.pidfd_send_signal(process, signal.SIGKILL)
            os.close(process)


def test_the_demo_lists_its_routers_and_ends_them() -> None:
    demo, pids = start_demo()
    try:
        assert demo.stdout is not None
        assert len(pids) == 3
        os.kill(pids[2], signal.SIGKILL)
        while "member router-3 failed" not in next(demo.stdout):
            pass  # if the line is never printed, the pipe ends and next() raises
    finally:
        demo.terminate()
        demo.communicate()
    assert demo.returncode == 0
    for pid in pids:
        with pytest.raises(ProcessLookupError):
            os.kill(pid, 0)
