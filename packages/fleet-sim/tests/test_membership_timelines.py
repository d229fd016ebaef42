from __future__ import annotations

from pathlib import Path

import pytest
from fleet_sim.membership import from_scenario
from fleet_sim.scenario import load
from fleet_sim.scenario_player import play

FILES = sorted((Path(__file__).parents[3] / "tests" / "timelines").glob("*.timeline"))


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_timeline(path: Path) -> None:
    scenario = load(path)
    for seed in range(scenario.seeds):
        report = play(scenario, from_scenario, seed)
        assert not report.faults, report.text()
