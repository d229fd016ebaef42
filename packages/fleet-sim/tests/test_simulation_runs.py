"""Seeded runs: determined by their plans, failing on mutants, and shrunk to the faults that matter."""

from __future__ import annotations

import pytest
from counter_gossip import Mutant, gossip_subject
from fleet_sim import Fault, FaultProfile, Outcome, Plan, draw_plan, render_trace, run, shrink
from fleet_sim.faults import Cut, Flap, Garbage, Kill, Lag, Leave, Partition, Pause, Replay, WallClockStep

NAMES = ("a", "b", "c", "d")


def first_failure(mutant: Mutant, seeds: int = 30) -> Outcome:
    outcomes = (run(gossip_subject(mutant), draw_plan(seed, 4, FaultProfile())) for seed in range(seeds))
    return next(outcome for outcome in outcomes if outcome.violation)


def test_a_sound_state_machine_holds_under_every_kind_of_fault() -> None:
    for seed in range(25):
        outcome = run(gossip_subject(), draw_plan(seed, 4, FaultProfile()))
        assert outcome.violation is None, outcome.report_text()
    assert outcome.steps > 200


def test_a_run_is_determined_by_its_plan() -> None:
    first = run(gossip_subject(), draw_plan(3, 4, FaultProfile()))
    second = run(gossip_subject(), draw_plan(3, 4, FaultProfile()), trace=True)
    other = run(gossip_subject(), draw_plan(4, 4, FaultProfile()))
    assert render_trace(first.trace, NAMES) == render_trace(second.trace, NAMES)
    assert first.steps == second.steps
    assert first.steps != other.steps


@pytest.mark.parametrize(
    ("mutant", "check", "remaining"),
    [
        (Mutant.OVERSIZED_DATAGRAMS, "size", []),
        (Mutant.TRUSTS_INPUT, "raised", [Garbage]),
        (Mutant.ACCEPTS_LOWER_COUNTS, "monotonic counts", [Kill]),
    ],
)
def test_mutants_are_found_and_their_schedules_shrunk(
    mutant: Mutant, check: str, remaining: list[type[Fault]]
) -> None:
    failed = first_failure(mutant)
    assert failed.violation
    assert failed.violation.check == check
    small = shrink(gossip_subject(mutant), failed)
    assert small.violation
    assert small.violation.check == check
    assert [type(fault) for fault in small.plan.schedule] == remaining
    assert f"seed {failed.plan.seed}" in small.report_text()
    assert check in small.report_text()


def test_only_a_failure_can_be_shrunk() -> None:
    outcome = run(gossip_subject(), draw_plan(0, 4, FaultProfile()))
    with pytest.raises(ValueError, match="nothing to shrink"):
        shrink(gossip_subject(), outcome)


def test_a_subject_that_does_not_settle_fails() -> None:
    plan = Plan(1, NAMES, (Cut(0.0, 1.0, "a", "b"),))
    outcome = run(gossip_subject(nodes=2, settle_timeout_ms=1_000.0), plan)  # c and d are nobody's peers
    assert outcome.violation
    assert outcome.violation.check == "settled"


@pytest.mark.parametrize(
    ("fault", "drawn"),
    [
        (Cut(1_000, 500, "a", "b"), ["|--", "X cut X--", ">|", "=healed=--", ">|"]),
        (Cut(1_000, 500, "b", "a", True), ["|<--", "X cut X--", "|<--", "=healed=--"]),
        (Partition(1_000, 500, (("a", "b"), ("c", "d"))), ["==== split a b / c d ===="]),
        (Flap(1_000, 1_000, "a", "b", 300), ["! link to b", "X cut X", "=healed="]),
        (Kill(1_000, 500, "a", keep_disk=False), ["* killed, disk", "* started (2)"]),
        (Leave(1_000, 500, "a"), ["! asked to", "bye", "* ended", "* started (2)"]),
        (Pause(1_000, 500, "a"), ["* paused", ": ", "* continued"]),
        (Lag(1_000, 500, "a", 900.0), ["! timers up to", "! timers on"]),
        (WallClockStep(1_000, 0, "a", -5.0), ["! wall clock -5"]),
        (Replay(1_000, 0, "a", "b", 2), ["! 2 datagrams"]),
    ],
)
def test_each_fault_is_drawn_and_undone(fault: Fault, drawn: list[str]) -> None:
    outcome = run(gossip_subject(), Plan(5, NAMES, (fault,)), trace=True)
    assert outcome.violation is None
    timeline = render_trace(outcome.trace, NAMES)
    position = 0
    for part in drawn:
        assert part in timeline[position:], timeline
        position = timeline.index(part, position)
