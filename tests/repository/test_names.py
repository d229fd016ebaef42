"""No name of a module, class, function, parameter or attribute is a withdrawn word of docs/GLOSSARY.md."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from functools import cache
from pathlib import PurePosixPath

import pytest

from tests.repository.source_files import Function, checked_modules, read_source

HEADING = "## Withdrawn words"

TABLE_ROW = re.compile(r"^\| (`[^|]*`) \|", re.MULTILINE)

QUOTED_WORD = re.compile(r"`([a-z_]+)`")

# Reason for which a withdrawn word is allowed, by the word and the prefix of the paths in which it is.
EXCEPTIONS: dict[tuple[str, str], str] = {
    ("code", "packages/control-relay/"): "the cause of a fault, under which the relay's counters are sent",
    ("code", "thornjunction/net/"): "the status code of a response, or the log field of this name",
    ("code", "thornjunction/signing/"): "the cause of a rejected token, which is logged under this name",
    ("drop", "thornjunction/net/wire/"): "the name of a purge event on the wire",
    ("late", "thornjunction/limits/"): "an answer after its latency objective is late",
    ("late", "thornjunction/policy/"): "an answer after its latency objective is late",
    ("link", "packages/fleet-harness/"): "a directed link of the simulated network between two members",
    ("link", "packages/fleet-membership/"): "the state of the network link to a member",
    ("link", "packages/fleet-sim/"): "a directed link of the simulated network between two members",
    ("plan", "packages/control-client/"): "the verb: a scheduler plans its probes",
    ("plan", "packages/fleet-scale/"): "a workload plan is a term of this package",
    ("plan", "packages/fleet-sim/"): "a fault plan is a term of the glossary",
    ("retire", "thornjunction/runtime/signed_settings.py"): "the key [signed.retire] of the operators' file",
    ("settled", "packages/fleet-harness/"): "an expectation in the scenario files",
    ("settled", "packages/fleet-sim/"): "an expectation in the scenario files",
    ("suspect", "packages/gossip-codec/"): "a member's state in the membership protocol",
    ("suspect", "packages/fleet-membership/"): "a member's state in the membership protocol",
    ("turns", "benchmarks/"): "the recorded iterations of an event loop",
    ("turns", "tests/net/discovery/"): "the iterations of an event loop",
    ("unread", "packages/fleet-scale/"): "bytes that were received and not parsed yet",
}


@cache
def withdrawn_words() -> frozenset[str]:
    """Return the words in the glossary's table of withdrawn words."""
    section = read_source("docs/GLOSSARY.md").partition(HEADING)[2]
    words = {word for cell in TABLE_ROW.findall(section) for word in QUOTED_WORD.findall(cell)}
    return frozenset(words)


def class_attributes(node: ast.ClassDef) -> Iterator[tuple[str, int]]:
    """Yield the names that a class body annotates or assigns, with their lines."""
    for statement in node.body:
        if isinstance(statement, ast.AnnAssign) and isinstance(statement.target, ast.Name):
            yield statement.target.id, statement.lineno
        if isinstance(statement, ast.Assign):
            for target in statement.targets:
                if isinstance(target, ast.Name):
                    yield target.id, statement.lineno


def names(module: ast.Module) -> Iterator[tuple[str, int]]:
    """Yield the names of classes, functions, parameters and attributes, with their lines."""
    for node in ast.walk(module):
        if isinstance(node, ast.ClassDef | Function):
            yield node.name, node.lineno
        if isinstance(node, ast.ClassDef):
            yield from class_attributes(node)
        if isinstance(node, ast.arg):
            yield node.arg, node.lineno
        if isinstance(node, ast.Attribute) and isinstance(node.ctx, ast.Store):
            yield node.attr, node.lineno


def withdrawn_names(path: str, module: ast.Module) -> Iterator[tuple[str, int]]:
    """Yield the names in a file, including the module's, that are withdrawn words, with their lines."""
    for name, line in ((PurePosixPath(path).stem, 1), *names(module)):
        word = name.strip("_").lower()
        if word in withdrawn_words():
            yield word, line


@cache
def found_words() -> tuple[tuple[str, str, int], ...]:
    """Return word, path and line of each withdrawn name in all files."""
    return tuple(
        (word, path, line)
        for path, module in checked_modules()
        for word, line in withdrawn_names(path, module)
    )


def is_exception(word: str, path: str) -> bool:
    """Return whether the word is allowed in this file."""
    return any(word == listed and path.startswith(prefix) for listed, prefix in EXCEPTIONS)


def test_no_name_is_a_withdrawn_word() -> None:
    found = [f"{path}:{line}: {word}" for word, path, line in found_words() if not is_exception(word, path)]
    assert found == []


@pytest.mark.parametrize(("word", "prefix"), EXCEPTIONS)
def test_each_exception_is_a_withdrawn_word_in_use(word: str, prefix: str) -> None:
    assert word in withdrawn_words()
    assert [path for found, path, _ in found_words() if found == word and path.startswith(prefix)]


def test_the_glossary_lists_withdrawn_words() -> None:
    assert withdrawn_words() >= {"told", "held", "asked", "whole", "behind", "most", "own", "far", "one"}


def test_withdrawn_words_are_found_in_each_kind_of_name() -> None:
    source = (
        "class Rig:\n    held = 1\n    most: int = 2\n    def told(self, whole):\n        self._asked = 3\n"
    )
    found = [word for word, _ in withdrawn_names("door.py", ast.parse(source))]
    assert sorted(found) == ["asked", "door", "held", "most", "rig", "told", "whole"]
