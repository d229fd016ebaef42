"""What a reader may expect of every module that pyproject.toml does not list as not yet rewritten."""

from __future__ import annotations

import ast
from collections.abc import Callable, Iterator
from fnmatch import fnmatch

import pytest

from tests.repository.source_files import (
    Function,
    checked_modules,
    excused_patterns,
    read_source,
    source_files,
)

MAX_FUNCTION_LINES = 40

MAX_FILE_LINES = 300

# Files that are longer and not split yet: this list only shrinks.
LONG_FILES_LEFT = {
    "packages/fleet-scale/src/fleet_scale/messages.py",
}

Finder = Callable[[ast.Module], Iterator[ast.AST]]


def long_functions(module: ast.Module) -> Iterator[ast.AST]:
    """Find functions of more lines than a reader takes in at once; decorators don't count."""
    for node in ast.walk(module):
        if isinstance(node, Function) and (node.end_lineno or 0) - node.lineno + 1 > MAX_FUNCTION_LINES:
            yield node


def tuple_assignments(module: ast.Module) -> Iterator[ast.AST]:
    """Find assignments of several values to several names in one step."""
    for node in ast.walk(module):
        if not isinstance(node, ast.Assign) or not isinstance(node.value, ast.Tuple):
            continue
        if any(isinstance(target, ast.Tuple) for target in node.targets):
            yield node


def undocumented(node: ast.AST) -> Iterator[ast.AST]:
    """Find the module, its public classes and functions and their public methods without a docstring."""
    if not isinstance(node, ast.Module | ast.ClassDef | Function):
        return
    if isinstance(node, ast.ClassDef | Function) and node.name.startswith("_"):
        return
    if ast.get_docstring(node) is None:
        yield node
    # What is inside a function is not public.
    if isinstance(node, Function):
        return
    for child in ast.iter_child_nodes(node):
        yield from undocumented(child)


def is_test(path: str) -> bool:
    """Whether a file is in a folder of tests: there the name of a test says what it shows."""
    return "tests" in path.split("/")


@pytest.mark.parametrize("find", [long_functions, tuple_assignments, undocumented])
def test_done_modules_have_none(find: Finder) -> None:
    found = [
        f"{path}:{getattr(node, 'lineno', 1)}"
        for path, module in checked_modules()
        if not (find is undocumented and is_test(path))
        for node in find(module)
    ]
    assert found == []


def is_long_file(text: str) -> bool:
    """Whether a file has more lines than a reader keeps in mind."""
    return len(text.splitlines()) > MAX_FILE_LINES


def test_no_done_module_is_a_long_file_but_those_left() -> None:
    assert {path for path, _ in checked_modules() if is_long_file(read_source(path))} == LONG_FILES_LEFT


def test_the_list_of_modules_not_done_is_sorted_and_names_only_what_exists() -> None:
    patterns = excused_patterns()
    files = source_files()
    assert patterns == sorted(patterns)
    assert [pattern for pattern in patterns if not any(fnmatch(path, pattern) for path in files)] == []


def test_each_count_finds_what_it_is_for() -> None:
    long_function = "def f():\n" + "    a = 1\n" * MAX_FUNCTION_LINES
    module = ast.parse(long_function + "class C:\n    'Doc.'\n    def g(self):\n        b, c = 1, 2\n")
    assert len(list(long_functions(module))) == 1
    assert len(list(tuple_assignments(module))) == 1
    assert len(list(undocumented(module))) == 3


def test_a_file_with_one_line_too_many_is_found() -> None:
    assert is_long_file("a = 1\n" * (MAX_FILE_LINES + 1))
    assert not is_long_file("a = 1\n" * MAX_FILE_LINES)
