"""Known red tests: KNOWN-RED.txt at the root lists tests that fail for a real fault which is not mended yet,
one a line as ``test, cause, issue``.  Each is a strict xfail, so one that passes fails the run; so do a
fourth line, a line of another form, and one that names no collected test of a whole run.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"
MOST = 3


@dataclass(frozen=True, slots=True)
class KnownRed:
    """A line: the test's node id as pytest prints it, why it fails, and the issue that will mend it."""

    test: str
    cause: str
    issue: str


def read_known_red(path: Path) -> list[KnownRed]:
    """The listed tests; none where there is no file.  pytest.UsageError names the faulty line."""
    if not path.exists():
        return []
    lines = [line.strip() for line in path.read_text(encoding="utf-8").splitlines() if line.strip()]
    if len(lines) > MOST:
        raise pytest.UsageError(f"{FILE}: {len(lines)} lines, {MOST} at most")
    return [_known_red(line) for line in lines]


def _known_red(line: str) -> KnownRed:
    test, _, rest = line.partition(", ")
    cause, _, issue = rest.rpartition(", ")
    if not (test and cause and issue):
        raise pytest.UsageError(f"{FILE}: not 'test, cause, issue': {line[:120]}")
    return KnownRed(test, cause, issue)


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    listed = {known.test: known for known in read_known_red(config.rootpath / FILE)}
    for item in items:
        known = listed.pop(item.nodeid, None)
        if known is not None:
            item.add_marker(pytest.mark.xfail(strict=True, reason=f"{known.cause} ({known.issue})"))
    whole = [str(path) for path in config.args] == list(config.getini("testpaths"))
    if listed and whole:
        raise pytest.UsageError(f"{FILE}: no such test: {', '.join(sorted(listed))}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for known in read_known_red(config.rootpath / FILE):
        terminalreporter.write_line(f"KNOWN RED: {known.test}: {known.cause} ({known.issue})")
