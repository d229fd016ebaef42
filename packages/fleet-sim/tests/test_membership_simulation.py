from __future__ import annotations

import pytest
from fleet_membership.failure_verdicts import FailureVerdicts
from fleet_membership.member_table import MemberTable
from fleet_membership.quorum import VoterQuorum
from fleet_sim import Outcome, Weather, drawn_plan, node_names, run
from fleet_sim.command import main
from fleet_sim.membership import subject
from quota_leases import QuotaSettings

LONG = Weather(longest_ms=60_000.0, most_faults=3, kinds=("split", "kill", "pause"))


def outcomes(seeds: range, weather: Weather) -> list[Outcome]:
    members = subject(node_names(5))
    return [run(members, drawn_plan(seed, 5, weather)) for seed in seeds]


@pytest.mark.parametrize(("weather", "seeds"), [(Weather(), 60), (LONG, 20)])
def test_members_and_shares_hold_under_drawn_faults(weather: Weather, seeds: int) -> None:
    for outcome in outcomes(range(seeds), weather):
        assert outcome.violation is None, outcome.story()


@pytest.mark.parametrize(
    ("owner", "name", "broken", "check"),
    [
        (QuotaSettings, "issuer_lease_ms", 0.0, "shares"),
        (FailureVerdicts, "_handle_claim_about_self", lambda *_: None, "settled"),
        (VoterQuorum, "_is_reachable", lambda *_: True, "sides"),
        (MemberTable, "bump_version", lambda *_: None, "settled"),
    ],
)
def test_what_is_broken_on_purpose_is_found(
    owner: type, name: str, broken: object, check: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(owner, name, broken)
    found = {outcome.violation.check for outcome in outcomes(range(20), LONG) if outcome.violation}
    assert check in found


def test_the_command_runs_seeds_and_one_alone(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["--seeds", "3", "--nodes", "3"]) == 0
    assert capsys.readouterr().out.startswith("3 seeds, 0 failed")
    assert main(["--seed", "7", "--nodes", "3"]) == 0
    assert "seed 7, 3 nodes: holds" in capsys.readouterr().out
