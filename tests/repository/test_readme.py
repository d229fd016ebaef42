"""Tests that the README's example prints the output that the README states."""

import re
from pathlib import Path

import pytest

README = Path(__file__).resolve().parents[2] / "README.md"


def test_example_prints_the_stated_output(capsys: pytest.CaptureFixture[str]) -> None:
    text = README.read_text(encoding="utf-8")
    (example,) = re.findall(r"```python\n(.*?)```", text, re.DOTALL)
    exec(compile(example, str(README), "exec"), {})
    (printed,) = re.findall(r"prints `([^`]*)`", text)
    assert capsys.readouterr().out.strip() == printed
