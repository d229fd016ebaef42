"""Known red tests: ``KNOWN-RED.txt`` at the root lists tests that fail because of an unfixed fault.

Each line has the form ``test, cause, issue``.  Each listed test is a strict xfail: if it passes, the run
fails.  The run also fails if the file has more than ``MAX_KNOWN_RED`` lines or a malformed line, or, in a
complete run, if a line names a test that was not collected.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

KNOWN_RED_FILE = "KNOWN-RED.txt"

# Greatest number of lines in the file.
MAX_KNOWN_RED = 3

# Number of characters of a malformed line that the error message shows.
MAX_SHOWN_CHARACTERS = 120


@dataclass(frozen=True, slots=True)
class KnownRed:
    """A line: the test's node id as pytest prints it, the cause of its failure, and the issue to fix it."""

    test: str
    cause: str
    issue: str


class KnownRedFileError(pytest.UsageError):
    """``KNOWN-RED.txt`` is invalid; the message gives the reason."""

    def __init__(self, fault: str) -> None:
        super().__init__(f"{KNOWN_RED_FILE}: {fault}")


def read_known_red(path: Path) -> list[KnownRed]:
    """Return the listed tests, or none if there is no file.  Raises KnownRedFileError."""
    if not path.exists():
        return []
    lines = [line.strip() for line in path.read_text(encoding="utf-8").splitlines() if line.strip()]
    if len(lines) > MAX_KNOWN_RED:
        fault = f"{len(lines)} lines; at most {MAX_KNOWN_RED} are allowed"
        raise KnownRedFileError(fault)
    return [_parse_line(line) for line in lines]


def _parse_line(line: str) -> KnownRed:
    test, _, cause_and_issue = line.partition(", ")
    cause, _, issue = cause_and_issue.rpartition(", ")
    if not (test and cause and issue):
        fault = f"not of the form 'test, cause, issue': {line[:MAX_SHOWN_CHARACTERS]}"
        raise KnownRedFileError(fault)
    return KnownRed(test, cause, issue)


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as strict xfail; in a complete run, reject names that were not collected."""
    listed = {known_red.test: known_red for known_red in read_known_red(config.rootpath / KNOWN_RED_FILE)}
    for item in items:
        known_red = listed.pop(item.nodeid, None)
        if known_red is not None:
            item.add_marker(pytest.mark.xfail(strict=True, reason=f"{known_red.cause} ({known_red.issue})"))
    is_complete_run = [str(path) for path in config.args] == list(config.getini("testpaths"))
    if listed and is_complete_run:
        fault = f"no such test: {', '.join(sorted(listed))}"
        raise KnownRedFileError(fault)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the listed tests with cause and issue at the end of each run."""
    for known_red in read_known_red(config.rootpath / KNOWN_RED_FILE):
        terminalreporter.write_line(f"KNOWN RED: {known_red.test}: {known_red.cause} ({known_red.issue})")
