"""Runs the scenarios in ``tests/timelines``, each with the number of seeds in its header."""

from __future__ import annotations

from pathlib import Path

import pytest
from fleet_sim.membership import subject_of_scenario
from fleet_sim.scenario import load
from fleet_sim.scenario_runner import run_scenario

FILES = sorted((Path(__file__).parents[3] / "tests" / "timelines").glob("*.timeline"))


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_timeline(path: Path) -> None:
    scenario = load(path)
    for seed in range(scenario.seeds):
        report = run_scenario(scenario, subject_of_scenario, seed)
        assert not report.failures, report.text()
