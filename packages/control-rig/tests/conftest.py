"""Each scene in a folder of its own."""

from __future__ import annotations

from functools import partial
from pathlib import Path

import pytest
from control_rig import stage


@pytest.fixture
def play(tmp_path: Path) -> stage.Play:
    """Plays a scene, and ends its processes whatever happens."""
    return partial(stage.play, tmp_path)
