"""Tests of members on a simulated network: crashes, pauses, partitions, loss and forged datagrams."""

from __future__ import annotations

from dataclasses import replace

import pytest
from fleet_membership import LinkState, MembershipSettings, MemberState, PartitionMode
from gossip_codec import (
    Codec,
    Probe,
    UserMessage,
)
from membership_cluster import SECRET, UNUSED_ADDRESS, MembershipCluster
from sansio_core import MAX_DATAGRAM_BYTES

FAILED = MemberState.FAILED
LEFT = MemberState.LEFT
SUSPECT = MemberState.SUSPECT


def converged_cluster(count: int = 5) -> MembershipCluster:
    cluster = MembershipCluster(count).start_all()
    assert cluster.converges_within(5000.0)
    return cluster


def test_members_join_through_seeds_and_have_a_majority() -> None:
    cluster = MembershipCluster(5).start_all()
    assert set(cluster.modes().values()) == {PartitionMode.REJOINING}
    assert not cluster.view("r4").has_majority
    cluster.run_for(3000.0)
    assert cluster.converged()
    assert set(cluster.modes().values()) == {PartitionMode.WITH_MAJORITY}
    cluster.run_for(60_000.0)
    assert not cluster.notices("member", state="suspect")
    assert max(map(len, cluster.sent)) <= MAX_DATAGRAM_BYTES


def test_all_members_detect_a_crash_and_a_restart_rejoins_with_any_incarnation() -> None:
    cluster = converged_cluster()
    cluster.kill("r1")
    cluster.run_for(10_000.0)
    assert cluster.states("r1") == {FAILED}
    assert cluster.view("r0").has_majority
    for incarnation in (0, 1, 9):  # below, at and above the known incarnation
        cluster.overrides["r1"] = {"incarnation": incarnation}
        cluster.start("r1")
        assert cluster.converges_within(10_000.0)
        cluster.kill("r1")
        cluster.run_for(10_000.0)


def test_a_paused_member_declares_no_member_failed_and_rejoins_soon() -> None:
    cluster = converged_cluster()
    cluster.pause("r0")
    cluster.run_for(30_000.0)
    assert cluster.states("r0") == {FAILED}
    before = len(cluster.observed)
    cluster.resume("r0")
    assert cluster.modes()["r0"] is PartitionMode.REJOINING
    assert not cluster.view("r0").has_majority
    assert cluster.view("r0").local_health > 0
    assert cluster.converges_within(5000.0)
    states = [observed.notice.fields.get("state") for observed in cluster.observed[before:]]
    assert not {"suspect", "failed"} & set(states)


def test_two_sides_of_a_partition_declare_each_other_failed_and_merge_when_it_heals() -> None:
    cluster = converged_cluster()
    cluster.partition(["r0", "r1"], ["r2", "r3", "r4"])
    cluster.run_for(60_000.0)
    majority = dict.fromkeys(["r0", "r1"], PartitionMode.WITH_MAJORITY)
    minority = dict.fromkeys(["r2", "r3", "r4"], PartitionMode.MINORITY)
    assert cluster.modes() == majority | minority
    assert cluster.state("r2", seen_by="r0") is cluster.state("r0", seen_by="r2") is FAILED
    lost_ms = cluster.view("r2").majority_since_ms
    cluster.heal_partition()
    assert cluster.converges_within(20_000.0)
    assert cluster.view("r2").majority_since_ms - lost_ms > 40_000.0
    without_majority = cluster.notices("majority", has_majority=0)
    assert {observed.observer for observed in without_majority} == {"r2", "r3", "r4"}


def test_a_partition_that_outlasts_tombstones_merges_through_seeds() -> None:
    cluster = MembershipCluster(4).start_all(tombstone_ms=20_000.0)
    cluster.run_for(5000.0)
    cluster.partition(["r0", "r1"], ["r2", "r3"])
    cluster.run_for(60_000.0)
    assert cluster.state("r2", seen_by="r0") is None
    cluster.heal_partition()
    assert cluster.converges_within(40_000.0)


def test_an_isolated_member_degrades_its_local_health() -> None:
    cluster = converged_cluster()
    cluster.partition(["r0"], ["r1", "r2", "r3", "r4"])
    cluster.run_for(10_000.0)
    assert cluster.view("r0").local_health > 0
    assert {cluster.view(name).local_health for name in cluster.nodes if name != "r0"} == {
        0
    }  # the members that they asked for indirect probes sent Nack
    cluster.run_for(120_000.0)
    assert cluster.modes()["r0"] is PartitionMode.ISOLATED


def test_a_one_way_cut_is_shown_as_link_state_and_no_member_fails() -> None:
    cluster = converged_cluster()
    cluster.cut([("r0", "r3")], "partition")
    cluster.run_for(30_000.0)
    assert cluster.view("r0").members["r3"].link is LinkState.ONE_WAY
    assert cluster.view("r3").members["r0"].link is LinkState.INDIRECT
    assert not cluster.notices("member", state="failed")
    cluster.heal_partition()
    cluster.run_for(10_000.0)
    assert cluster.view("r0").members["r3"].link is LinkState.DIRECT


def test_a_member_that_receives_nothing_is_declared_failed_and_rejoins() -> None:
    cluster = converged_cluster()
    cluster.cut([(name, "r0") for name in cluster.nodes], "partition")
    cluster.run_for(8000.0)
    assert cluster.modes()["r0"] is PartitionMode.MINORITY  # although its suspicions expire late
    cluster.run_for(12_000.0)
    assert cluster.states("r0") == {FAILED}
    cluster.heal_partition()
    assert cluster.converges_within(20_000.0)


def test_a_flapping_member_is_shown_as_flapping_and_as_suspect_for_longer_each_time() -> None:
    cluster = converged_cluster()
    for _ in range(6):
        cluster.partition(["r1"], ["r0", "r2", "r3", "r4"])
        cluster.run_for(4000.0)
        cluster.heal_partition()
        cluster.run_for(5000.0)
    assert cluster.view("r0").members["r1"].link is LinkState.FLAPPING
    assert cluster.state("r1", seen_by="r0") is SUSPECT
    assert cluster.view("r0").has_majority  # formed by the stable voters
    flaps = [observed for observed in cluster.notices("link", link="flapping") if observed.observer == "r0"]
    holds = [observed.notice.fields["hold_ms"] for observed in flaps]
    assert holds == sorted(holds)
    assert len(set(holds)) > 1
    assert cluster.converges_within(130_000.0)


@pytest.mark.parametrize(("count", "loss"), [(5, 0.05), (5, 0.2), (20, 0.2)])
def test_no_member_fails_under_datagram_loss(count: int, loss: float) -> None:
    cluster = MembershipCluster(count, loss=loss).start_all()
    cluster.run_for(90_000.0)
    assert not cluster.notices("member", state="failed")
    assert cluster.converged()


def test_a_leave_is_not_a_failure_and_its_tombstone_expires() -> None:
    cluster = converged_cluster()
    cluster.leave("r4")
    cluster.run_for(3000.0)
    assert cluster.states("r4") == {LEFT}
    cluster.run_for(700_000.0)
    assert cluster.states("r4") == {None}
    assert not cluster.notices("member", name="r4", state="suspect")


def test_all_voters_restarted_at_the_same_time_form_a_majority_again() -> None:
    cluster = converged_cluster()
    for name in cluster.voters:
        cluster.kill(name)
    cluster.run_for(500.0)
    for name in cluster.voters:
        cluster.start(name)
    assert cluster.converges_within(15_000.0)


def test_foreign_forged_and_replayed_datagrams_are_rejected_and_change_nothing() -> None:
    cluster = converged_cluster()
    view = cluster.view("r0")
    for codec in (Codec("other", SECRET), Codec("fleet", SECRET[::-1])):
        cluster.inject("r0", UNUSED_ADDRESS, codec.encode("x", 1, Probe(1, "r0")).data)
    cluster.inject("r0", UNUSED_ADDRESS, b"?")
    cluster.inject("r0", UNUSED_ADDRESS, cluster.network.recorded("r1", "r0")[-1].data)
    cluster.run_for(0.0)
    reasons = [observed.notice.fields["cause"] for observed in cluster.notices("refused")]
    assert reasons == ["fleet", "tag", "size", "replay"]
    assert cluster.view("r0") is view


def test_bytes_sent_by_a_member_do_not_grow_with_the_fleet_size() -> None:
    rates = []
    for count in (5, 40):
        cluster = MembershipCluster(count).start_all()
        cluster.run_for(40_000.0)
        cluster.sent.clear()
        cluster.run_for(20_000.0)
        rates.append(sum(map(len, cluster.sent)) / count)
    assert rates[1] < 1.5 * rates[0]


def test_user_messages_are_delivered_and_answered() -> None:
    cluster = MembershipCluster(3)
    cluster.user_message_handlers["r1"] = lambda now, sender, channel, body: (
        f"{sender} {channel} ".encode() + body
    )
    assert cluster.start_all().converges_within(5000.0)
    sender = cluster.member("r0")
    cluster.carry_out_all("r0", sender.send_user_message("r1", 5, b"question"))
    assert sender.send_user_message("nobody", 5, b"") == []
    cluster.run_for(4.0)
    assert UserMessage(5, b"r0 5 question") in [envelope.message for envelope in cluster.datagrams_from("r1")]


@pytest.mark.parametrize(
    ("setting", "value", "message"),
    [
        ("voters", (), "voters must"),
        ("voters", ("a", "a"), "voters must"),
        ("probe_timeout_ms", 1000.0, "probe_timeout_ms must"),
        ("suspicion_most_ms", 1.0, "suspicion_least_ms must"),
        ("sync_every_ms", 0.0, "sync_every_ms must"),
        ("indirect", -1, "indirect must"),
        ("incarnation", -1, "incarnation must"),
        ("seeds", (("localhost", 1),), "Expected 4 octets"),
    ],
)
def test_invalid_settings_raise_an_error_that_names_the_setting(
    setting: str, value: object, message: str
) -> None:
    settings = MembershipSettings("a", ("127.0.0.1", 1), "f", SECRET, (), ("a",), 1)
    with pytest.raises(ValueError, match=message):
        replace(settings, **{setting: value})  # type: ignore[arg-type]
