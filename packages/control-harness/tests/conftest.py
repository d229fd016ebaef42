"""Each scene in a folder of its own."""

from __future__ import annotations

from functools import partial
from pathlib import Path

import pytest
from control_harness import relay_environment


@pytest.fixture
def play(tmp_path: Path) -> relay_environment.Play:
    """Plays a scene, and ends its processes whatever happens."""
    return partial(relay_environment.play, tmp_path)
