from __future__ import annotations

import pytest
from counter_gossip import gossip
from fleet_sim.scenario import FormError, parse
from fleet_sim.scenario_player import Report, play

HEAD = "title: Lives are counted\nnodes: a b c d\n"
SOUND = (
    HEAD
    + """
never: a: learned b 3
at 0     wait                       | a b: learned c 1
                                    | settled
then 100 kill c                     # its disk stays
at 3000  restart c                  | a b d: learned c 2
                                    | no d: learned a *
then     split a b / c d
then 500 kill d without disk        # it counts from one again: no one learns of it
then     restart d                  | c: bye
"""
)


def played(text: str, *flaws: str) -> Report:
    return play(parse(text), lambda scenario: gossip(*flaws, names=len(scenario.names)), seed=1)


def test_a_scenario_holds_up_to_the_line_that_does_not() -> None:
    report = played(SOUND)
    assert report.faults == ["MISSING line 12: c: bye (at c)"]
    text = report.text()
    assert "ok line 5: a b: learned c 1" in text and "ok line 8: a b d: learned c 2" in text
    assert text.index("line 7: kill c") < text.index("line 8: restart c") < text.rindex("MISSING line 12")


@pytest.mark.parametrize(
    ("steps", "fault"),
    [
        ("at 0 wait | a: learned b 1\n | then c: learned b 1\n", None),
        ("at 3000 leave b | b: bye\nthen restart b | a c d: learned b 2\n", None),
        ("at 3000 pause b\nthen restart c | b: learned c 2", "MISSING line 4: b: learned c 2 (at b)"),
        ("at 3000 pause b\nthen restart c\nthen 900 continue b | b: learned c *", "MISSING"),
        ("at 3000 pause b\nthen kill c\nthen restart c\nthen 900 continue b | b: learned c *", None),
        ("at 3000 cut a <-> b\nthen flap c -> d every 100\nthen 900 heal | settled", None),
        ("at 3000 kill c\nthen restart c | no a: learned c *", "BROKEN line 4: no a: learned c *"),
        ("at 3000 wait | a: learned b 1", "MISSING line 3: a: learned b 1"),  # seen, but before the step
        ("at 0 garbage a 3 | settled", "VIOLATION raised"),
        ("at 0 noise loss 1 node a\nat 5000 wait | settled", "settled (tables differ)"),
        ("at 0 late a 90000\nat 5000 ontime a | settled", None),
    ],
)
def test_what_is_seen_is_held_against_what_is_expected(steps: str, fault: str | None) -> None:
    report = played(HEAD + steps, "trusts")
    assert bool(report.faults) is bool(fault), report.text()
    assert fault is None or fault in report.faults[0]


@pytest.mark.parametrize(
    "text",
    [
        "nodes: a b\n",
        HEAD + "at 0 fly a\n",
        HEAD + "at 0 cut a to b\n",
        HEAD + "at 0 noise los 1\n",
        HEAD + "at 0 wait | e: learned a 1\n",
        HEAD + "at 0 wait | learned a 1\n",
        HEAD + "| a: learned b 1\n",
        HEAD + "at 0 wait\nlater on\n",
    ],
)
def test_what_is_not_of_the_form_is_refused_by_its_line(text: str) -> None:
    with pytest.raises(FormError):
        played(text)
