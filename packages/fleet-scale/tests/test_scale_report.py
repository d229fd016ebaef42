"""The Markdown report of a run."""

from __future__ import annotations

import math
from pathlib import Path

import pytest
from fleet_scale.report import Report, RowLengthError


def test_a_report_shows_its_command_its_rows_and_failed_verdicts(tmp_path: Path) -> None:
    report = Report("command")
    table = report.table("Duration", "a", "b", "c")
    table.add(1, 0.012345, "x")
    table.add(1234.5, math.nan, 0.0)
    with pytest.raises(RowLengthError):
        table.add(1)
    report.verdict("good", True)
    report.verdict("bad", False)
    report.write(tmp_path / "deep" / "out.md")
    text = (tmp_path / "deep" / "out.md").read_text()
    assert "Made by `command`." in text
    assert "| 1 | 0.0123 | x |" in text
    assert "| 1234 | none | 0 |" in text
    assert "| bad | **fails** |" in text
    assert report.failed == ["bad"]
