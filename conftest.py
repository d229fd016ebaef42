"""Known red tests: ``KNOWN-RED.txt`` at the root lists tests that fail for a fault which is not mended yet.

Each line has the form ``test, cause, issue``.  Each test is a strict xfail: one that passes fails the run.
So do more lines than are allowed, a line of another form, and one that names no collected test of a complete
run.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

KNOWN_RED_FILE = "KNOWN-RED.txt"

# Lines of the file.
MAX_KNOWN_RED = 3

# Characters of a faulty line that the error shows.
MAX_SHOWN_CHARACTERS = 120


@dataclass(frozen=True, slots=True)
class KnownRed:
    """A line: the test's node id as pytest prints it, why it fails, and the issue that will mend it."""

    test: str
    cause: str
    issue: str


class KnownRedFileError(pytest.UsageError):
    """The file has a fault, which the message names."""

    def __init__(self, fault: str) -> None:
        super().__init__(f"{KNOWN_RED_FILE}: {fault}")


def read_known_red(path: Path) -> list[KnownRed]:
    """Return the listed tests; none if there is no file.  Raises KnownRedFileError."""
    if not path.exists():
        return []
    lines = [line.strip() for line in path.read_text(encoding="utf-8").splitlines() if line.strip()]
    if len(lines) > MAX_KNOWN_RED:
        fault = f"{len(lines)} lines, {MAX_KNOWN_RED} at most"
        raise KnownRedFileError(fault)
    return [_parse_line(line) for line in lines]


def _parse_line(line: str) -> KnownRed:
    test, _, cause_and_issue = line.partition(", ")
    cause, _, issue = cause_and_issue.rpartition(", ")
    if not (test and cause and issue):
        fault = f"not 'test, cause, issue': {line[:MAX_SHOWN_CHARACTERS]}"
        raise KnownRedFileError(fault)
    return KnownRed(test, cause, issue)


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures; reject a list with names that a complete run lacks."""
    listed = {known.test: known for known in read_known_red(config.rootpath / KNOWN_RED_FILE)}
    for item in items:
        known = listed.pop(item.nodeid, None)
        if known is not None:
            item.add_marker(pytest.mark.xfail(strict=True, reason=f"{known.cause} ({known.issue})"))
    is_complete_run = [str(path) for path in config.args] == list(config.getini("testpaths"))
    if listed and is_complete_run:
        fault = f"no such test: {', '.join(sorted(listed))}"
        raise KnownRedFileError(fault)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the listed tests at the end of each run."""
    for known in read_known_red(config.rootpath / KNOWN_RED_FILE):
        terminalreporter.write_line(f"KNOWN RED: {known.test}: {known.cause} ({known.issue})")
