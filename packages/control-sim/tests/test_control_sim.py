"""Relays under drawn faults, and that the checks have teeth."""

from __future__ import annotations

import pytest
from control_sim import KINDS, NAMES, outcome_of, plan, subject
from control_sim.command import main
from control_sim.fault_plans import KillAll
from fleet_sim import Plan, run, shrink
from fleet_sim.faults import Kill, Noise, Pause
from mutants import MUTANTS, count_failures

SEEDS = 500
RARE = {  # found by few seeds, or by none: see docs/design/control.md
    "the epoch of a poll is ignored",
    "an older list is accepted from another source",
    "the age ignores undelivered events",
    "superseded events are removed at once",
    "a restarted router keeps its acknowledgements",
    "an earlier purge replaces a later one",
    "a complete state overtakes undelivered events",
    "the floor of the log is ignored",
}


def first_failure(most: int) -> str:
    """The check that fails first."""
    for seed in range(most):
        violation = outcome_of(seed).violation
        if violation is not None:
            return violation.check
    return ""


def test_nothing_is_lost_goes_back_or_is_done_too_early() -> None:
    met = set()
    for seed in range(SEEDS):
        outcome = outcome_of(seed)
        assert outcome.violation is None, run(subject(), outcome.plan, trace=True).story()
        met |= {type(fault) for fault in outcome.plan.schedule}
    assert len(met) >= 7


def test_every_kind_of_fault_is_drawn() -> None:
    assert {type(fault) for seed in range(200) for fault in plan(seed).schedule} >= {
        KillAll,
        Kill,
        Noise,
        Pause,
    }
    assert len(KINDS) == 13


def test_a_run_is_determined_by_its_seed() -> None:
    one, again, other = outcome_of(3), outcome_of(3), outcome_of(4)
    assert (one.steps, one.counts, one.settled_ms) == (again.steps, again.counts, again.settled_ms)
    assert one.steps != other.steps


@pytest.mark.parametrize("mutant", [mutant for mutant in MUTANTS if mutant not in RARE])
def test_what_is_broken_on_purpose_is_found(mutant: str) -> None:
    with MUTANTS[mutant]():
        assert first_failure(30)


@pytest.mark.parametrize(
    ("mutant", "check"),
    [("the floor of the log is ignored", "mixed"), ("the epoch of a poll is ignored", "lost")],
)
def test_rare_mutants_are_found_by_more_seeds(mutant: str, check: str) -> None:
    assert count_failures(mutant, 250)[check] > 0


def test_a_failure_is_shrunk_to_the_faults_that_it_needs() -> None:
    with MUTANTS["each page acknowledges"]():
        failed = next(o for seed in range(100) if (o := outcome_of(seed)).violation)
        small = shrink(subject(), failed)
    assert small.violation and small.violation.check == "early"
    assert len(small.plan.schedule) <= len(failed.plan.schedule)
    assert f"seed {failed.plan.seed}" in small.story()


def test_the_command_runs_seeds_prints_one_and_ends_with_the_story_of_a_failure(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert main(["--seeds", "3"]) == 0
    assert capsys.readouterr().out.startswith("3 seeds, 0 failed")
    assert main(["--seed", "2"]) == 0
    assert "relay-ready" in capsys.readouterr().out
    with MUTANTS["unreachable routers count as acknowledged"]():
        assert main(["--seeds", "20", "--keep-going"]) == 1
    told = capsys.readouterr().out
    assert "early at" in told and "schedule:" in told


def test_all_relays_restarted_while_discovery_is_down_lose_nothing() -> None:
    faults = (KillAll(2_000.0, 300.0), Kill(1_900.0, 4_000.0, "d"))
    outcome = run(subject(), Plan(1, NAMES, faults))
    assert outcome.violation is None, outcome.story()


def test_a_router_paused_for_longer_than_the_log_comes_back_into_step() -> None:
    outcome = run(subject(), Plan(1, NAMES, (Pause(500.0, 9_000.0, "x1"), Pause(500.0, 9_000.0, "c1"))))
    assert outcome.violation is None, outcome.story()
