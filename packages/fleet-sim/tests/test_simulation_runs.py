from __future__ import annotations

import pytest
from counter_gossip import gossip
from fleet_sim import Fault, Outcome, Plan, Weather, drawn_plan, render, run, shrink
from fleet_sim.faults import Cut, Flap, Garbage, Kill, Lag, Leave, Partition, Pause, Replay, WallStep

NAMES = ("a", "b", "c", "d")


def first_failure(*flaws: str, seeds: int = 30) -> Outcome:
    outcomes = (run(gossip(*flaws), drawn_plan(seed, 4, Weather())) for seed in range(seeds))
    return next(outcome for outcome in outcomes if outcome.violation)


def test_a_sound_machine_holds_under_every_kind_of_fault() -> None:
    for seed in range(25):
        outcome = run(gossip(), drawn_plan(seed, 4, Weather()))
        assert outcome.violation is None, outcome.story()
    assert outcome.steps > 200


def test_a_run_is_determined_by_its_plan() -> None:
    plans = [drawn_plan(seed, 4, Weather()) for seed in (3, 3, 4)]
    same, again, other = (
        run(gossip(), plan, trace=traced) for plan, traced in zip(plans, (False, True, False), strict=True)
    )
    assert (render(same.log, NAMES), same.steps) == (render(again.log, NAMES), again.steps)
    assert same.steps != other.steps


@pytest.mark.parametrize(
    ("flaw", "check", "left"),
    [("talks", "size", []), ("trusts", "raised", [Garbage]), ("forgets", "never back", [Kill])],
)
def test_flaws_are_found_and_shrunk(flaw: str, check: str, left: list[type[Fault]]) -> None:
    failed = first_failure(flaw)
    assert failed.violation and failed.violation.check == check
    small = shrink(gossip(flaw), failed)
    assert small.violation and small.violation.check == check
    assert [type(fault) for fault in small.plan.schedule] == left
    assert f"seed {failed.plan.seed}" in small.story() and check in small.story()


def test_only_a_failure_can_be_shrunk() -> None:
    with pytest.raises(ValueError):
        shrink(gossip(), run(gossip(), drawn_plan(0, 4, Weather())))


def test_what_never_heals_fails_the_end() -> None:
    forever = Plan(1, NAMES, (Cut(0.0, 1.0, "a", "b"),))
    alone = run(gossip(names=2, settle_ms=1_000.0), forever)  # c and d are no one's peers
    assert alone.violation and alone.violation.check == "settled"


@pytest.mark.parametrize(
    ("fault", "seen"),
    [
        (Cut(1_000, 500, "a", "b"), ["|--", "X cut X--", ">|", "=healed=--", ">|"]),
        (Cut(1_000, 500, "b", "a", True), ["|<--", "X cut X--", "|<--", "=healed=--"]),
        (Partition(1_000, 500, (("a", "b"), ("c", "d"))), ["==== split a b / c d ===="]),
        (Flap(1_000, 1_000, "a", "b", 300), ["! link to b", "X cut X", "=healed="]),
        (Kill(1_000, 500, "a", keep_disk=False), ["* killed, disk", "* started (2)"]),
        (Leave(1_000, 500, "a"), ["! asked to", "bye", "* ended", "* started (2)"]),
        (Pause(1_000, 500, "a"), ["* paused", ": ", "* continued"]),
        (Lag(1_000, 500, "a", 900.0), ["! timers up to", "! timers on"]),
        (WallStep(1_000, 0, "a", -5.0), ["! wall clock -5"]),
        (Replay(1_000, 0, "a", "b", 2), ["! 2 datagrams"]),
    ],
)
def test_each_fault_is_drawn_and_undone(fault: Fault, seen: list[str]) -> None:
    outcome = run(gossip(), Plan(5, NAMES, (fault,)), trace=True)
    assert outcome.violation is None
    text, at = render(outcome.log, NAMES, 0), 0
    for part in seen:
        assert part in text[at:], text
        at = text.index(part, at)
