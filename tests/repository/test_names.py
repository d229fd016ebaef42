"""No module, class, function, parameter or attribute has a withdrawn word of docs/GLOSSARY.md as its name."""

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

# Why a word stays, by the word and the beginning of the paths where it does.
EXCEPTIONS: dict[tuple[str, str], str] = {
    ("code", "packages/control-relay/"): "the cause of a fault, as the relay's counters name it on the wire",
    ("code", "thornjunction/net/"): "the status code of a response, or the log's field of that name",
    ("code", "thornjunction/signing/"): "the cause of a rejected token, as the log's field names it",
    ("drop", "thornjunction/net/wire/"): "the wire's word for a purge event",
    ("late", "thornjunction/limits/"): "an answer after its latency objective is late",
    ("late", "thornjunction/policy/"): "an answer after its latency objective is late",
    ("link", "packages/fleet-harness/"): "a directed link of the simulated network between two members",
    ("link", "packages/fleet-membership/"): "the state of the network link to a member",
    ("link", "packages/fleet-sim/"): "a directed link of the simulated network between two members",
    ("plan", "packages/control-client/"): "the verb: a scheduler plans its probes",
    ("plan", "packages/fleet-scale/"): "a workload plan is a term of this package",
    ("plan", "packages/fleet-sim/"): "a fault plan is a term of the glossary",
    ("retire", "thornjunction/runtime/signed_settings.py"): "the operators' key [signed.retire]",
    ("settled", "packages/fleet-harness/"): "a word of the scenario files",
    ("settled", "packages/fleet-sim/"): "a word of the scenario files",
    ("suspect", "packages/gossip-codec/"): "a member's state in the membership protocol",
    ("suspect", "packages/fleet-membership/"): "a member's state in the membership protocol",
    ("turns", "benchmarks/"): "the recorded turns of an event loop",
    ("turns", "tests/net/discovery/"): "the turns of an event loop",
    ("unread", "packages/fleet-scale/"): "bytes that were received and not parsed yet",
}


@cache
def withdrawn_words() -> frozenset[str]:
    """Return the words of the glossary's table."""
    section = read_source("docs/GLOSSARY.md").partition(HEADING)[2]
    words = {word for cell in TABLE_ROW.findall(section) for word in QUOTED_WORD.findall(cell)}
    return frozenset(words)


def class_attributes(node: ast.ClassDef) -> Iterator[tuple[str, int]]:
    """Find the names that a class body annotates or assigns, with their lines."""
    for statement in node.body:
        if isinstance(statement, ast.AnnAssign) and isinstance(statement.target, ast.Name):
            yield statement.target.id, statement.lineno
        if isinstance(statement, ast.Assign):
            for target in statement.targets:
                if isinstance(target, ast.Name):
                    yield target.id, statement.lineno


def names(module: ast.Module) -> Iterator[tuple[str, int]]:
    """Find the names of classes, functions, parameters and attributes, with their lines."""
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
    """Find the names of a file, its own among them, that are withdrawn words, with their lines."""
    for name, line in ((PurePosixPath(path).stem, 1), *names(module)):
        word = name.strip("_").lower()
        if word in withdrawn_words():
            yield word, line


@cache
def found_words() -> tuple[tuple[str, str, int], ...]:
    """Return word, path and line of each withdrawn name in the files that are done."""
    return tuple(
        (word, path, line)
        for path, module in checked_modules()
        for word, line in withdrawn_names(path, module)
    )


def is_exception(word: str, path: str) -> bool:
    """Whether the word may stay in this file."""
    return any(word == listed and path.startswith(start) for listed, start in EXCEPTIONS)


def test_no_name_is_a_withdrawn_word() -> None:
    found = [f"{path}:{line}: {word}" for word, path, line in found_words() if not is_exception(word, path)]
    assert found == []


@pytest.mark.parametrize(("word", "start"), EXCEPTIONS)
def test_each_exception_is_of_a_withdrawn_word_that_occurs(word: str, start: str) -> None:
    assert word in withdrawn_words()
    assert [path for found, path, _ in found_words() if found == word and path.startswith(start)]


def test_the_glossary_has_the_words_of_the_earlier_style() -> None:
    assert withdrawn_words() >= {"told", "held", "asked", "whole", "behind", "most", "own", "far", "one"}


def test_each_kind_of_name_is_found() -> None:
    source = (
        "class Rig:\n    held = 1\n    most: int = 2\n    def told(self, whole):\n        self._asked = 3\n"
    )
    found = [word for word, _ in withdrawn_names("door.py", ast.parse(source))]
    assert sorted(found) == ["asked", "door", "held", "most", "rig", "told", "whole"]
