"""Tests of seeded runs: reproducible, failing for mutants, and shrunk to the faults that cause a failure."""

from __future__ import annotations

import pytest
from counter_gossip import Mutant, gossip_subject
from fleet_sim import Fault, FaultProfile, Outcome, Plan, draw_plan, render_trace, run, shrink
from fleet_sim.faults import Cut, Flap, Garbage, Kill, Lag, Leave, Partition, Pause, Replay, WallClockStep

NAMES = ("a", "b", "c", "d")


def first_failure(mutant: Mutant, seeds: int = 30) -> Outcome:
    outcomes = (run(gossip_subject(mutant), draw_plan(seed, 4, FaultProfile())) for seed in range(seeds))
    return next(outcome for outcome in outcomes if outcome.violation)


def test_a_correct_state_machine_passes_under_every_kind_of_fault() -> None:
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
        (Mutant.SKIPS_INPUT_CHECK, "raised", [Garbage]),
        (Mutant.ACCEPTS_LOWER_COUNTS, "monotonic counts", [Kill]),
    ],
)
def test_mutants_are_detected_and_their_schedules_shrunk(
    mutant: Mutant, check: str, remaining: list[type[Fault]]
) -> None:
    failed = first_failure(mutant)
    assert failed.violation
    assert failed.violation.check == check
    shrunk = shrink(gossip_subject(mutant), failed)
    assert shrunk.violation
    assert shrunk.violation.check == check
    assert [type(fault) for fault in shrunk.plan.schedule] == remaining
    assert f"seed {failed.plan.seed}" in shrunk.report_text()
    assert check in shrunk.report_text()


def test_a_run_that_did_not_fail_cannot_be_shrunk() -> None:
    outcome = run(gossip_subject(), draw_plan(0, 4, FaultProfile()))
    with pytest.raises(ValueError, match="nothing to shrink"):
        shrink(gossip_subject(), outcome)


def test_a_subject_that_does_not_settle_fails() -> None:
    plan = Plan(1, NAMES, (Cut(0.0, 1.0, "a", "b"),))
    outcome = run(gossip_subject(nodes=2, settle_timeout_ms=1_000.0), plan)  # no node has c or d as a peer
    assert outcome.violation
    assert outcome.violation.check == "settled"


@pytest.mark.parametrize(
    ("fault", "expected_parts"),
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
def test_each_fault_appears_in_the_timeline_and_is_ended(fault: Fault, expected_parts: list[str]) -> None:
    outcome = run(gossip_subject(), Plan(5, NAMES, (fault,)), trace=True)
    assert outcome.violation is None
    timeline = render_trace(outcome.trace, NAMES)
    position = 0
    for part in expected_parts:
        assert part in timeline[position:], timeline
        position = timeline.index(part, position)
