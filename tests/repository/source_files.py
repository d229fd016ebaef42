"""The Python files of the project, and those that pyproject.toml does not excuse from the readers' rules."""

from __future__ import annotations

import ast
import tomllib
from fnmatch import fnmatch
from functools import cache
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]

FOLDERS = ("benchmarks", "packages", "tests", "thornjunction")

# A ruff code that excuses a file from all docstring rules: such a file is not yet rewritten for its readers.
ALL_DOCSTRING_RULES = "D"

Function = ast.FunctionDef | ast.AsyncFunctionDef


def excused_patterns() -> list[str]:
    """Return the patterns of files that are not yet rewritten, as ruff's per-file-ignores list them."""
    config = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))
    ignores = config["tool"]["ruff"]["lint"]["per-file-ignores"]
    return [pattern for pattern, codes in ignores.items() if ALL_DOCSTRING_RULES in codes]


@cache
def source_files() -> tuple[str, ...]:
    """Return all Python files, as paths relative to the root."""
    paths = [
        path for folder in FOLDERS for path in (ROOT / folder).rglob("*.py") if "build" not in path.parts
    ]
    return tuple(path.relative_to(ROOT).as_posix() for path in (*paths, ROOT / "conftest.py"))


def read_source(path: str) -> str:
    """Return the text of a file."""
    return (ROOT / path).read_text(encoding="utf-8")


@cache
def checked_modules() -> tuple[tuple[str, ast.Module], ...]:
    """Return path and syntax tree of each file that no pattern excuses."""
    patterns = excused_patterns()
    paths = [path for path in source_files() if not any(fnmatch(path, pattern) for pattern in patterns)]
    return tuple((path, ast.parse(read_source(path))) for path in paths)
