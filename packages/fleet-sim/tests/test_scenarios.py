"""Tests of scenarios: comparison of observations with expectations, and rejection of malformed files."""

from __future__ import annotations

import pytest
from counter_gossip import Mutant, gossip_subject
from fleet_sim.scenario import ScenarioSyntaxError, parse
from fleet_sim.scenario_runner import ScenarioReport, run_scenario

HEADER = "title: Starts are counted\nnodes: a b c d\n"
VALID_SCENARIO = (
    HEADER
    + """
never: a: learned b 3
at 0     wait                       | a b: learned c 1
                                    | settled
then 100 kill c                     # its disk is kept
at 3000  restart c                  | a b d: learned c 2
                                    | no d: learned a *
then     split a b / c d
then 500 kill d without disk        # its count restarts at 1, so no node accepts it
then     restart d                  | c: bye
"""
)


def report_of(text: str, *mutants: Mutant) -> ScenarioReport:
    scenario = parse(text)
    return run_scenario(scenario, lambda _: gossip_subject(*mutants, nodes=len(scenario.names)), seed=1)


def test_a_scenario_passes_until_its_first_unmet_expectation() -> None:
    report = report_of(VALID_SCENARIO)
    assert report.failures == ["MISSING line 12: c: bye (at c)"]
    text = report.text()
    assert "ok line 5: a b: learned c 1" in text
    assert "ok line 8: a b d: learned c 2" in text
    assert text.index("line 7: kill c") < text.index("line 8: restart c") < text.rindex("MISSING line 12")


@pytest.mark.parametrize(
    ("steps", "failure"),
    [
        ("at 0 wait | a: learned b 1\n | then c: learned b 1\n", None),
        ("at 3000 leave b | b: bye\nthen restart b | a c d: learned b 2\n", None),
        ("at 3000 pause b\nthen restart c | b: learned c 2", "MISSING line 4: b: learned c 2 (at b)"),
        ("at 3000 pause b\nthen restart c\nthen 900 continue b | b: learned c *", "MISSING"),
        ("at 3000 pause b\nthen kill c\nthen restart c\nthen 900 continue b | b: learned c *", None),
        ("at 3000 cut a <-> b\nthen flap c -> d every 100\nthen 900 heal | settled", None),
        ("at 3000 kill c\nthen restart c | no a: learned c *", "BROKEN line 4: no a: learned c *"),
        ("at 3000 wait | a: learned b 1", "MISSING line 3: a: learned b 1"),  # observed, but before the step
        ("at 0 garbage a 3 | settled", "VIOLATION raised"),
        ("at 0 noise loss 1 node a\nat 5000 wait | settled", "settled (tables differ)"),
        ("at 0 late a 90000\nat 5000 ontime a | settled", None),
    ],
)
def test_observations_are_compared_with_expectations(steps: str, failure: str | None) -> None:
    report = report_of(HEADER + steps, Mutant.SKIPS_INPUT_CHECK)
    assert bool(report.failures) is bool(failure), report.text()
    assert failure is None or failure in report.failures[0]


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("nodes: a b\n", "at least one step"),
        (HEADER + "at 0 fly a\n", "line 3: not an action: fly a"),
        (HEADER + "at 0 cut a to b\n", "line 3: not an action"),
        (HEADER + "at 0 noise los 1\n", "line 3: not an action"),
        (HEADER + "at 0 noise loss\n", "line 3: not an action"),
        (HEADER + "at 0 wait | e: learned a 1\n", "line 3: no node e"),
        (HEADER + "at 0 wait | learned a 1\n", "line 3: not an expectation"),
        (HEADER + "| a: learned b 1\n", "line 3: neither"),
        (HEADER + "at 0 wait\nlater on\n", "line 4: neither"),
    ],
)
def test_malformed_scenarios_are_rejected(text: str, message: str) -> None:
    with pytest.raises(ScenarioSyntaxError, match=message):
        report_of(text)
