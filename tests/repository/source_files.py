"""The Python files of the project, with their syntax trees."""

from __future__ import annotations

import ast
import tomllib
from functools import cache
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]

FOLDERS = ("benchmarks", "packages", "tests", "thornjunction")

Function = ast.FunctionDef | ast.AsyncFunctionDef


def files_with_ignored_rules() -> dict[str, list[str]]:
    """Return ruff's per-file ignores: file patterns, and the rules that are disabled for them."""
    config = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))
    rules_by_pattern: dict[str, list[str]] = config["tool"]["ruff"]["lint"]["per-file-ignores"]
    return rules_by_pattern


@cache
def source_files() -> tuple[str, ...]:
    """Return the paths of all Python files, relative to the root."""
    paths = [
        path for folder in FOLDERS for path in (ROOT / folder).rglob("*.py") if "build" not in path.parts
    ]
    return tuple(path.relative_to(ROOT).as_posix() for path in (*paths, ROOT / "conftest.py"))


def read_source(path: str) -> str:
    """Return the text of a file; the path is relative to the root."""
    return (ROOT / path).read_text(encoding="utf-8")


@cache
def checked_modules() -> tuple[tuple[str, ast.Module], ...]:
    """Return the path and the syntax tree of each Python file."""
    return tuple((path, ast.parse(read_source(path))) for path in source_files())
