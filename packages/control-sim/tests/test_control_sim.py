"""The simulation: no seed fails, and the invariants detect injected defects."""

from __future__ import annotations

import pytest
from control_sim import FAULT_KINDS, NODE_NAMES, build_subject, draw_plan, run_seed
from control_sim.command import main
from control_sim.fault_plans import KillAllRelays
from fleet_sim import Outcome, Plan, run, shrink
from fleet_sim.faults import Kill, Noise, Pause
from mutants import MUTANTS, count_failures

SEEDS = 500
RARELY_DETECTED = {  # few seeds or none detect these mutants: see docs/design/control.md
    "the epoch of a poll is ignored",
    "an older list is accepted from another source",
    "the age ignores undelivered events",
    "superseded events are removed at once",
    "a restarted router keeps its acknowledgements",
    "an earlier purge replaces a later one",
    "a complete state overtakes undelivered events",
    "the floor of the log is ignored",
}


def first_failure(seeds: int) -> Outcome | None:
    """Return the first of the seeds' outcomes that has a violation."""
    outcomes = (run_seed(seed) for seed in range(seeds))
    return next((outcome for outcome in outcomes if outcome.violation), None)


def test_no_seed_violates_an_invariant() -> None:
    kinds_drawn = set()
    for seed in range(SEEDS):
        outcome = run_seed(seed)
        assert outcome.violation is None, run(build_subject(), outcome.plan, trace=True).report_text()
        kinds_drawn |= {type(fault) for fault in outcome.plan.schedule}
    assert len(kinds_drawn) >= 7


def test_all_kinds_of_faults_are_drawn() -> None:
    drawn = {type(fault) for seed in range(200) for fault in draw_plan(seed).schedule}
    assert drawn >= {KillAllRelays, Kill, Noise, Pause}
    assert len(FAULT_KINDS) == 13


def test_run_is_determined_by_its_seed() -> None:
    outcome = run_seed(3)
    repeated = run_seed(3)
    assert (outcome.steps, outcome.counts, outcome.settled_ms) == (
        repeated.steps,
        repeated.counts,
        repeated.settled_ms,
    )
    assert outcome.steps != run_seed(4).steps


@pytest.mark.parametrize("mutant", [mutant for mutant in MUTANTS if mutant not in RARELY_DETECTED])
def test_mutant_is_detected(mutant: str) -> None:
    with MUTANTS[mutant]():
        assert first_failure(30)


@pytest.mark.parametrize(
    ("mutant", "invariant"),
    [("the floor of the log is ignored", "mixed"), ("the epoch of a poll is ignored", "lost")],
)
def test_rarely_detected_mutant_is_detected_with_more_seeds(mutant: str, invariant: str) -> None:
    assert count_failures(mutant, 250)[invariant] > 0


def test_failure_is_shrunk_to_the_faults_that_cause_it() -> None:
    with MUTANTS["each page acknowledges"]():
        failed = first_failure(100)
        assert failed is not None
        shrunk = shrink(build_subject(), failed)
    assert shrunk.violation is not None
    assert shrunk.violation.check == "early"
    assert len(shrunk.plan.schedule) <= len(failed.plan.schedule)
    assert f"seed {failed.plan.seed}" in shrunk.report_text()


def test_command_runs_seeds_and_prints_the_timeline_of_one_seed_and_of_a_failure(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert main(["--seeds", "3"]) == 0
    assert capsys.readouterr().out.startswith("3 seeds, 0 failed")
    assert main(["--seed", "2"]) == 0
    assert "relay_ready" in capsys.readouterr().out
    with MUTANTS["unreachable routers count as acknowledged"]():
        assert main(["--seeds", "20", "--keep-going"]) == 1
    output = capsys.readouterr().out
    assert "early at" in output
    assert "schedule:" in output


def test_restart_of_all_relays_while_discovery_is_down_loses_nothing() -> None:
    faults = (KillAllRelays(2_000.0, 300.0), Kill(1_900.0, 4_000.0, "d"))
    outcome = run(build_subject(), Plan(1, NODE_NAMES, faults))
    assert outcome.violation is None, outcome.report_text()


def test_router_paused_for_longer_than_the_log_gets_back_in_sync() -> None:
    faults = (Pause(500.0, 9_000.0, "x1"), Pause(500.0, 9_000.0, "c1"))
    outcome = run(build_subject(), Plan(1, NODE_NAMES, faults))
    assert outcome.violation is None, outcome.report_text()
