"""Tests that every path of the repository and every test named on a documentation page exists."""

from __future__ import annotations

import re
from collections.abc import Iterator
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
FOLDERS = ("benchmarks", "deploy", "docs", "packages", "tests", "thornjunction")
PAGES = [
    ROOT / "README.md",
    ROOT / "CONTRIBUTING.md",
    *sorted((ROOT / "docs").glob("*.md")),
    *sorted((ROOT / "docs" / "design").glob("*.md")),
    *sorted((ROOT / "docs" / "incidents").glob("*.md")),
]
# Named on pages, but not in the repository: operators create it if they need one of its sections.
OPERATORS_FILES = {"deploy/extras.toml"}
# A placeholder for any file, in the example `tests/test_x.py::test_y`.
PLACEHOLDERS = {"tests/test_x.py"}
CODE = re.compile(r"`([^`\n]+)`")
TEST_NAME = re.compile(r"\btest_[a-z0-9_]+\b(?!\.py)")
TEST_DEFINITION = re.compile(r"^ *(?:async )?def (test_\w+)", re.MULTILINE)
CODE_BLOCK = re.compile(r"^```.*?^```", re.DOTALL | re.MULTILINE)


@cache
def files_and_folders() -> frozenset[str]:
    """Return the paths of all files and folders of the repository, relative to its root."""
    paths = [path for folder in FOLDERS for path in (ROOT / folder).rglob("*")]
    paths += ROOT.glob("*")
    return frozenset(path.relative_to(ROOT).as_posix() for path in paths)


@cache
def suffixes() -> frozenset[str]:
    """Return all paths and their suffixes, by which a page may name a file, as in ``wire/resp.py``."""
    found: set[str] = set()
    for path in files_and_folders():
        parts = path.split("/")
        found.update("/".join(parts[start:]) for start in range(len(parts)))
    return frozenset(found)


def named_paths(text: str) -> Iterator[str]:
    """Yield the paths in backticks: words that end in ``.py`` or begin with a folder in ``FOLDERS``."""
    for code in CODE.findall(CODE_BLOCK.sub("", text)):
        for word in code.split():
            path = word.partition("::")[0].rstrip("/,;")
            if path.endswith(".py") or path.split("/")[0] in FOLDERS:
                yield path


def is_in_repository(path: str) -> bool:
    """Return whether the repository has this path, or one that matches a pattern with ``*``."""
    if path in OPERATORS_FILES | PLACEHOLDERS:
        return True
    if "*" in path:
        return any(ROOT.glob(path))
    return path in suffixes()


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.relative_to(ROOT).as_posix())
def test_paths_on_the_page_exist(page: Path) -> None:
    missing = [path for path in named_paths(page.read_text(encoding="utf-8")) if not is_in_repository(path)]
    assert missing == []


@cache
def known_test_names() -> frozenset[str]:
    """Return the names of all tests and test modules."""
    files = [ROOT / path for path in files_and_folders() if re.search(r"(^|/)test_[^/]*\.py$", path)]
    texts = [path.read_text(encoding="utf-8") for path in files]
    names = {name for text in texts for name in TEST_DEFINITION.findall(text)}
    return frozenset(names | {path.stem for path in files})


def is_prefix_of_a_test(prefix: str) -> bool:
    """Return whether the name of a test begins with ``prefix``: pages may shorten names."""
    return prefix == "test_y" or any(name.startswith(prefix) for name in known_test_names())


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.relative_to(ROOT).as_posix())
def test_tests_on_the_page_exist(page: Path) -> None:
    found = TEST_NAME.findall(page.read_text(encoding="utf-8"))
    assert [name for name in found if not is_prefix_of_a_test(name)] == []


def test_a_missing_test_is_reported() -> None:
    assert not is_prefix_of_a_test("test_of_nothing")


@pytest.mark.parametrize(
    ("text", "missing"),
    [
        ("`thornjunction/net/wire/resp.py`, `net/wire/resp.py` and `resp.py`", []),
        ("`thornjunction/net/wire/none.py`", ["thornjunction/net/wire/none.py"]),
        ("`none.py` and `docs/none.md`", ["none.py", "docs/none.md"]),
        ("`python benchmarks/none.py --seconds 1`", ["benchmarks/none.py"]),
        ("`tests/none.py::test_x`", ["tests/none.py"]),
        ("`benchmarks/capacity_*.py` and `benchmarks/none_*.py`", ["benchmarks/none_*.py"]),
    ],
)
def test_a_missing_path_is_reported(text: str, missing: list[str]) -> None:
    assert [path for path in named_paths(text) if not is_in_repository(path)] == missing
