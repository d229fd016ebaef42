"""Tests of the readability of every module: lengths, tuple assignments and docstrings."""

from __future__ import annotations

import ast
from collections.abc import Callable, Iterator

import pytest

from tests.repository.source_files import (
    Function,
    checked_modules,
    files_with_ignored_rules,
    read_source,
)

MAX_FUNCTION_LINES = 40

MAX_FILE_LINES = 300

Finder = Callable[[ast.Module], Iterator[ast.AST]]


def long_functions(module: ast.Module) -> Iterator[ast.AST]:
    """Yield functions of more than ``MAX_FUNCTION_LINES`` lines; decorators do not count."""
    for node in ast.walk(module):
        if isinstance(node, Function) and (node.end_lineno or 0) - node.lineno + 1 > MAX_FUNCTION_LINES:
            yield node


def tuple_assignments(module: ast.Module) -> Iterator[ast.AST]:
    """Yield assignments of several values to several names in one statement."""
    for node in ast.walk(module):
        if not isinstance(node, ast.Assign) or not isinstance(node.value, ast.Tuple):
            continue
        if any(isinstance(target, ast.Tuple) for target in node.targets):
            yield node


def undocumented(node: ast.AST) -> Iterator[ast.AST]:
    """Yield the module, public classes, functions and methods that have no docstring."""
    if not isinstance(node, ast.Module | ast.ClassDef | Function):
        return
    if isinstance(node, ast.ClassDef | Function) and node.name.startswith("_"):
        return
    if ast.get_docstring(node) is None:
        yield node
    # Definitions inside a function are not public.
    if isinstance(node, Function):
        return
    for child in ast.iter_child_nodes(node):
        yield from undocumented(child)


def is_test(path: str) -> bool:
    """Return whether a file is in a folder of tests, where the name of a test describes what it checks."""
    return "tests" in path.split("/")


@pytest.mark.parametrize("find", [long_functions, tuple_assignments, undocumented])
def test_no_module_has_violations(find: Finder) -> None:
    found = [
        f"{path}:{getattr(node, 'lineno', 1)}"
        for path, module in checked_modules()
        if not (find is undocumented and is_test(path))
        for node in find(module)
    ]
    assert found == []


def is_long_file(text: str) -> bool:
    """Return whether a file has more than ``MAX_FILE_LINES`` lines."""
    return len(text.splitlines()) > MAX_FILE_LINES


def test_no_file_is_too_long() -> None:
    assert [path for path, _ in checked_modules() if is_long_file(read_source(path))] == []


def test_only_tests_ignore_rules() -> None:
    """The name of a test describes what it checks, and a fake has the parameters of what it replaces."""
    assert files_with_ignored_rules() == {"**/tests/**": ["ARG", "D1"]}


def test_each_finder_finds_its_violations() -> None:
    long_function = "def f():\n" + "    a = 1\n" * MAX_FUNCTION_LINES
    module = ast.parse(long_function + "class C:\n    'Doc.'\n    def g(self):\n        b, c = 1, 2\n")
    assert len(list(long_functions(module))) == 1
    assert len(list(tuple_assignments(module))) == 1
    assert len(list(undocumented(module))) == 3


def test_a_file_with_one_line_too_many_is_long() -> None:
    assert is_long_file("a = 1\n" * (MAX_FILE_LINES + 1))
    assert not is_long_file("a = 1\n" * MAX_FILE_LINES)
