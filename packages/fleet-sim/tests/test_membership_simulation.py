"""Tests of members and quotas under drawn faults: invariants hold, and mutants violate them."""

from __future__ import annotations

import pytest
from fleet_membership.failure_verdicts import FailureVerdicts
from fleet_membership.member_table import MemberTable
from fleet_membership.quorum import VoterQuorum
from fleet_sim import FaultProfile, Outcome, draw_plan, node_names, run
from fleet_sim.command import main
from fleet_sim.membership import subject
from quota_leases import QuotaSettings

LONG_FAULTS = FaultProfile(max_duration_ms=60_000.0, max_faults=3, kinds=("split", "kill", "pause"))


def run_seeds(seeds: range, profile: FaultProfile) -> list[Outcome]:
    members = subject(node_names(5))
    return [run(members, draw_plan(seed, 5, profile)) for seed in seeds]


@pytest.mark.parametrize(("profile", "seeds"), [(FaultProfile(), 60), (LONG_FAULTS, 20)])
def test_members_and_quotas_keep_their_invariants_under_drawn_faults(
    profile: FaultProfile, seeds: int
) -> None:
    for outcome in run_seeds(range(seeds), profile):
        assert outcome.violation is None, outcome.report_text()


@pytest.mark.parametrize(
    ("owner", "attribute", "mutation", "check"),
    [
        (QuotaSettings, "issuer_lease_ms", 0.0, "quotas"),
        (FailureVerdicts, "_handle_claim_about_self", lambda *_: None, "settled"),
        (VoterQuorum, "_is_reachable", lambda *_: True, "single-majority"),
        (MemberTable, "bump_version", lambda *_: None, "settled"),
    ],
)
def test_mutants_are_detected(
    owner: type, attribute: str, mutation: object, check: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(owner, attribute, mutation)
    failed_checks = {
        outcome.violation.check for outcome in run_seeds(range(20), LONG_FAULTS) if outcome.violation
    }
    assert check in failed_checks


def test_the_command_runs_many_seeds_or_one(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["--seeds", "3", "--nodes", "3"]) == 0
    assert capsys.readouterr().out.startswith("3 seeds, 0 failed")
    assert main(["--seed", "7", "--nodes", "3"]) == 0
    assert "seed 7, 3 nodes: holds" in capsys.readouterr().out
