"""The README's example runs as printed."""

import re
from pathlib import Path

import pytest

README = Path(__file__).resolve().parents[2] / "README.md"


def test_example_prints_what_it_says(capsys: pytest.CaptureFixture[str]) -> None:
    text = README.read_text(encoding="utf-8")
    (example,) = re.findall(r"```python\n(.*?)```", text, re.DOTALL)
    exec(compile(example, str(README), "exec"), {})
    (printed,) = re.findall(r"prints `([^`]*)`", text)
    assert capsys.readouterr().out.strip() == printed
