"""Each scenario runs in a folder of its own."""

from __future__ import annotations

from functools import partial
from pathlib import Path

import pytest
from control_harness import relay_environment


@pytest.fixture
def run_scenario(tmp_path: Path) -> relay_environment.ScenarioRunner:
    """Runs a scenario, and ends its processes whatever happens."""
    return partial(relay_environment.run_scenario, tmp_path)
