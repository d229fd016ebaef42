"""KNOWN-RED.txt as CI reads it: only the listed tests may fail, and no listed one may pass."""

from __future__ import annotations

from pathlib import Path

import pytest

pytest_plugins = ["pytester"]

CONFTEST = Path(__file__).resolve().parents[2] / "conftest.py"
RED = "test_it.py::test_red, adds wrongly, issue 1\n"


@pytest.fixture
def run(pytester: pytest.Pytester, request: pytest.FixtureRequest):  # type: ignore[no-untyped-def]
    """Runs a red and a green test under the given list, as a whole run does."""
    pytester.makeconftest(CONFTEST.read_text(encoding="utf-8"))
    pytester.makeini("[pytest]\ntestpaths = .\n")
    pytester.makepyfile(test_it="def test_red(): assert 1 + 1 == 3\ndef test_green(): pass\n")

    def play(text: str | None) -> pytest.RunResult:
        if text is not None:
            (pytester.path / "KNOWN-RED.txt").write_text(text, encoding="utf-8")
        return pytester.runpytest_inprocess()

    return play


def test_a_listed_failure_passes_and_is_printed(run) -> None:  # type: ignore[no-untyped-def]
    result = run(RED)
    assert result.ret == 0
    result.assert_outcomes(passed=1, xfailed=1)
    result.stdout.fnmatch_lines(["KNOWN RED: test_it.py::test_red: adds wrongly (issue 1)"])


def test_a_failure_that_is_not_listed_fails(run) -> None:  # type: ignore[no-untyped-def]
    assert run(None).ret == pytest.ExitCode.TESTS_FAILED


def test_a_listed_pass_fails(run) -> None:  # type: ignore[no-untyped-def]
    assert run(RED + "test_it.py::test_green, nothing, issue 1\n").ret == pytest.ExitCode.TESTS_FAILED


@pytest.mark.parametrize("text", [RED * 4, "test_it.py::test_red\n", "test_it.py::test_gone, x, issue 1\n"])
def test_a_list_of_another_form_fails(run, text: str) -> None:  # type: ignore[no-untyped-def]
    assert run(text).ret not in (0, pytest.ExitCode.TESTS_FAILED)
