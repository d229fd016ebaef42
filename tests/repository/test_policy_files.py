"""Tests that all policy modules, which the operators sign, are listed in deploy/balancer.toml and short.

The limit on the length of each function replaced a limit of 500 lines on all modules together.
"""

import ast
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]

# Limits: lines of a function with its signature and docstring, characters of a line, and lines of a file.
MAX_FUNCTION_LINES = 40
MAX_LINE_CHARACTERS = 110
MAX_FILE_LINES = 300

LISTED = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["policy"]
TEXTS = {name: (ROOT / name).read_text(encoding="utf-8") for name in LISTED}
LINES = {name: text.splitlines() for name, text in TEXTS.items()}


def test_every_function_is_short() -> None:
    functions = [
        (node.end_lineno - node.lineno + 1, name, node.name)
        for name, text in TEXTS.items()
        for node in ast.walk(ast.parse(text))
        if isinstance(node, ast.FunctionDef) and node.end_lineno is not None
    ]
    assert functions
    assert max(functions) <= (MAX_FUNCTION_LINES, "~", "~")


def test_every_policy_file_is_listed() -> None:
    assert set(LISTED) == {str(path.relative_to(ROOT)) for path in ROOT.glob("thornjunction/policy/*.py")}


def test_no_line_and_no_file_is_too_long() -> None:
    assert max(len(line) for lines in LINES.values() for line in lines) <= MAX_LINE_CHARACTERS
    assert max(len(lines) for lines in LINES.values()) <= MAX_FILE_LINES
