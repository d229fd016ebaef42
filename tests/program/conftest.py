"""The clock fixture of the tests that step the wall clock."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.program.clock_environment import SteppedClock


@pytest.fixture
def clock(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> SteppedClock:
    """A clock that all processes started by the test use."""
    folder = tmp_path / "clock-folder"
    folder.mkdir()
    monkeypatch.syspath_prepend(str(folder))
    monkeypatch.setenv("PYTHONPATH", str(folder))
    return SteppedClock(folder)
