"""The fixture that runs a scenario, in a folder of its own."""

from __future__ import annotations

from functools import partial
from pathlib import Path

import pytest
from control_harness import relay_environment


@pytest.fixture
def run_scenario(tmp_path: Path) -> relay_environment.ScenarioRunner:
    """Returns a runner that ends a scenario's processes whether it succeeds or fails."""
    return partial(relay_environment.run_scenario, tmp_path)
