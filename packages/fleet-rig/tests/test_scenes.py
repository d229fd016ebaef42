"""Every scenario file, played side by side by one process of the rig; and what a file may not hold."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from fleet_rig.stage import Stage
from fleet_sim.scenario import FormError, parse

SCENES = sorted((Path(__file__).parent / "timelines").glob("*.timeline"))
JOBS, WITHIN_S = 4, 180.0


@pytest.fixture(scope="session")
def verdicts() -> Iterator[dict[str, Any]]:
    """The verdict of each file by its name; the rig ends its processes also where this is cut short."""
    command = [sys.executable, "-m", "fleet_rig", "play", "--jobs", str(JOBS), *map(str, SCENES)]
    rig = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
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
    with pytest.raises(FormError, match=names):
        Stage(None, parse(text))


def test_what_is_not_seen_is_told_with_its_timeline_and_no_process_stays(tmp_path: Path) -> None:
    path = tmp_path / "wrong.timeline"
    path.write_text(HEAD + "for: 4000\nthen wait | settled\n | a: member b failed\n")
    command = [sys.executable, "-m", "fleet_rig", "play", str(path)]
    ended = subprocess.run(command, capture_output=True, text=True, timeout=60)
    verdict = json.loads(ended.stdout)
    assert ended.returncode == 1 and verdict["why"] == "not seen in time: line 5: a: member b failed"
    assert "member b alive" in verdict["timeline"] and "signal 9" in verdict["timeline"]
