"""What a reader may expect of every module that pyproject.toml does not list as not yet rewritten."""

from __future__ import annotations

import ast
import tomllib
from collections.abc import Iterator
from fnmatch import fnmatch
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
FOLDERS = ("benchmarks", "packages", "tests", "thornjunction")
MAX_FUNCTION_LINES = 40

Function = ast.FunctionDef | ast.AsyncFunctionDef


def not_done_patterns() -> list[str]:
    """The per-file-ignores of ruff that excuse a file from all docstring rules."""
    config = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))
    ignores = config["tool"]["ruff"]["lint"]["per-file-ignores"]
    return [pattern for pattern, codes in ignores.items() if "D" in codes]


def source_files() -> list[str]:
    """Python files of the project, as paths relative to its root."""
    paths = [
        path for folder in FOLDERS for path in (ROOT / folder).rglob("*.py") if "build" not in path.parts
    ]
    return [path.relative_to(ROOT).as_posix() for path in (*paths, ROOT / "conftest.py")]


def done_modules() -> list[tuple[str, ast.Module]]:
    """Path and syntax tree of each file that no pattern excuses."""
    patterns = not_done_patterns()
    paths = [path for path in source_files() if not any(fnmatch(path, pattern) for pattern in patterns)]
    return [(path, ast.parse((ROOT / path).read_text(encoding="utf-8"))) for path in paths]


def long_functions(module: ast.Module) -> Iterator[ast.AST]:
    """Functions of more lines than a reader takes in at once; decorators don't count."""
    for node in ast.walk(module):
        if isinstance(node, Function) and (node.end_lineno or 0) - node.lineno + 1 > MAX_FUNCTION_LINES:
            yield node


def tuple_assignments(module: ast.Module) -> Iterator[ast.AST]:
    """Assignments of several values to several names in one step."""
    for node in ast.walk(module):
        if not isinstance(node, ast.Assign) or not isinstance(node.value, ast.Tuple):
            continue
        if any(isinstance(target, ast.Tuple) for target in node.targets):
            yield node


def undocumented(node: ast.AST) -> Iterator[ast.AST]:
    """The module, its public classes and functions and their public methods that have no docstring."""
    if not isinstance(node, ast.Module | ast.ClassDef | Function):
        return
    if isinstance(node, ast.ClassDef | Function) and node.name.startswith("_"):
        return
    if ast.get_docstring(node) is None:
        yield node
    if not isinstance(node, Function):  # what is inside a function is not public
        for child in ast.iter_child_nodes(node):
            yield from undocumented(child)


@pytest.mark.parametrize("find", [long_functions, tuple_assignments, undocumented])
def test_done_modules_have_none(find) -> None:  # type: ignore[no-untyped-def]
    found = [
        f"{path}:{getattr(node, 'lineno', 1)}"
        for path, module in done_modules()
        if not (find is undocumented and "tests" in path.split("/"))  # a test's name says what it shows
        for node in find(module)
    ]
    assert found == []


def test_the_list_of_modules_not_done_is_sorted_and_names_only_what_exists() -> None:
    patterns = not_done_patterns()
    files = source_files()
    assert patterns == sorted(patterns)
    assert [pattern for pattern in patterns if not any(fnmatch(path, pattern) for path in files)] == []


def test_each_count_finds_what_it_is_for() -> None:
    long_function = "def f():\n" + "    a = 1\n" * MAX_FUNCTION_LINES
    module = ast.parse(long_function + "class C:\n    'Doc.'\n    def g(self):\n        b, c = 1, 2\n")
    assert len(list(long_functions(module))) == 1
    assert len(list(tuple_assignments(module))) == 1
    assert len(list(undocumented(module))) == 3
