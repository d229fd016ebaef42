"""Members on a simulated network: what fails, what each side sees, and how it ends."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest
from fleet_membership import Link, Membership, MembershipSettings, MemberState, Mode
from gossip_codec import (
    MAX_DATAGRAM_BYTES,
    Codec,
    Probe,
    Sync,
    Update,
    UpdateBatch,
    UserMessage,
    pack_address,
)
from membership_cluster import SECRET, Bench

ALIVE, SUSPECT, FAILED, LEFT = MemberState


def started(count: int = 5, **more: float) -> Bench:
    bench = Bench(count, **more).begin()  # type: ignore[arg-type]
    assert bench.agreed_within(5000.0)
    return bench


def test_members_find_each_other_through_seeds_and_hold_the_majority() -> None:
    bench = Bench(5).begin()
    assert set(bench.modes().values()) == {Mode.REJOINING}
    assert not bench.view("r4").majority
    bench.run(3000.0)
    assert bench.agreed()
    assert set(bench.modes().values()) == {Mode.WITH_MAJORITY}
    bench.run(60_000.0)
    assert not bench.events("member", state="suspect")
    assert max(map(len, bench.sent)) <= MAX_DATAGRAM_BYTES


def test_a_crash_is_seen_by_all_and_a_restart_comes_back_whatever_its_incarnation() -> None:
    bench = started()
    bench.kill("r1")
    bench.run(10_000.0)
    assert bench.states("r1") == {FAILED}
    assert bench.view("r0").majority
    for incarnation in (0, 1, 9):  # below, at and above what is known
        bench.given["r1"] = {"incarnation": incarnation}
        bench.start("r1")
        assert bench.agreed_within(10_000.0)
        bench.kill("r1")
        bench.run(10_000.0)


def test_one_that_was_paused_fails_nobody_and_is_back_soon() -> None:
    bench = started()
    bench.pause("r0")
    bench.run(30_000.0)
    assert bench.states("r0") == {FAILED}
    before = len(bench.told)
    bench.resume("r0")
    assert bench.modes()["r0"] is Mode.REJOINING
    assert not bench.view("r0").majority
    assert bench.view("r0").health > 0
    assert bench.agreed_within(5000.0)
    assert not [told for told in bench.told[before:] if told[2].fields.get("state") in ("suspect", "failed")]


def test_two_halves_each_think_the_other_dead_and_find_each_other_again() -> None:
    bench = started()
    bench.split(["r0", "r1"], ["r2", "r3", "r4"])
    bench.run(60_000.0)
    cut, held = Mode.CUT_OFF, Mode.WITH_MAJORITY
    assert bench.modes() == {"r0": held, "r1": held, "r2": cut, "r3": cut, "r4": cut}
    assert bench.state("r2", by="r0") is bench.state("r0", by="r2") is FAILED
    lost = bench.view("r2").since_ms
    bench.mend("split")
    assert bench.agreed_within(20_000.0)
    assert bench.view("r2").since_ms - lost > 40_000.0
    assert {by for _, by, _ in bench.events("majority", held=0)} == {"r2", "r3", "r4"}


def test_halves_parted_for_longer_than_tombstones_are_kept_meet_through_seeds() -> None:
    bench = Bench(4).begin(tombstone_ms=20_000.0)
    bench.run(5000.0)
    bench.split(["r0", "r1"], ["r2", "r3"])
    bench.run(60_000.0)
    assert bench.state("r2", by="r0") is None
    bench.mend("split")
    assert bench.agreed_within(40_000.0)


def test_one_without_anybody_is_alone_and_doubts_itself() -> None:
    bench = started()
    bench.split(["r0"], ["r1", "r2", "r3", "r4"])
    bench.run(10_000.0)
    assert bench.view("r0").health > 0
    assert {bench.view(name).health for name in bench.nodes if name != "r0"} == {0}  # their helpers said Nack
    bench.run(120_000.0)
    assert bench.modes()["r0"] is Mode.ALONE


def test_a_one_way_cut_is_named_and_fails_nobody() -> None:
    bench = started()
    bench.cut([("r0", "r3")], "split")
    bench.run(30_000.0)
    assert bench.view("r0").members["r3"].link is Link.ONE_WAY
    assert bench.view("r3").members["r0"].link is Link.INDIRECT
    assert not bench.events("member", state="failed")
    bench.mend("split")
    bench.run(10_000.0)
    assert bench.view("r0").members["r3"].link is Link.DIRECT


def test_a_member_heard_by_all_that_hears_nobody_fails_and_returns() -> None:
    bench = started()
    bench.cut([(name, "r0") for name in bench.nodes], "split")
    bench.run(8000.0)
    assert bench.modes()["r0"] is Mode.CUT_OFF  # soon, though it suspects others only slowly
    bench.run(12_000.0)
    assert bench.states("r0") == {FAILED}
    bench.mend("split")
    assert bench.agreed_within(20_000.0)


def test_a_flapping_member_is_named_and_held_as_suspect_for_longer_each_time() -> None:
    bench = started()
    for _ in range(6):
        bench.split(["r1"], ["r0", "r2", "r3", "r4"])
        bench.run(4000.0)
        bench.mend("split")
        bench.run(5000.0)
    assert bench.view("r0").members["r1"].link is Link.FLAPPING
    assert bench.state("r1", by="r0") is SUSPECT
    assert bench.view("r0").majority  # by the voters that stay
    holds = [told.fields["hold_ms"] for _, by, told in bench.events("link", link="flapping") if by == "r0"]
    assert holds == sorted(holds)
    assert len(set(holds)) > 1
    assert bench.agreed_within(130_000.0)


@pytest.mark.parametrize(("count", "loss"), [(5, 0.05), (5, 0.2), (20, 0.2)])
def test_loss_fails_nobody(count: int, loss: float) -> None:
    bench = Bench(count, loss=loss).begin()
    bench.run(90_000.0)
    assert not bench.events("member", state="failed")
    assert bench.agreed()


def test_a_leave_is_no_failure_and_its_tombstone_is_dropped() -> None:
    bench = started()
    bench.leave("r4")
    bench.run(3000.0)
    assert bench.states("r4") == {LEFT}
    bench.run(700_000.0)
    assert bench.states("r4") == {None}
    assert not bench.events("member", name="r4", state="suspect")


def test_all_voters_restarted_at_once_are_a_majority_again() -> None:
    bench = started()
    for name in bench.voters:
        bench.kill(name)
    bench.run(500.0)
    for name in bench.voters:
        bench.start(name)
    assert bench.agreed_within(15_000.0)


def test_what_is_not_of_this_fleet_is_refused_and_changes_nothing() -> None:
    bench = started()
    view = bench.view("r0")
    for codec in (Codec("other", SECRET), Codec("fleet", SECRET[::-1])):
        bench.forge("r0", ("127.0.0.1", 9), codec.encode("x", 1, Probe(1, "r0")).data)
    bench.forge("r0", ("127.0.0.1", 9), b"?")
    bench.forge("r0", ("127.0.0.1", 9), bench.network.taped("r1", "r0")[-1].data)
    bench.run(0.0)
    whys = [told.fields["why"] for _, _, told in bench.events("refused")]
    assert whys == ["fleet", "tag", "size", "replay"]
    assert bench.view("r0") is view


def among_strangers(*names: str) -> tuple[Bench, Callable[..., None]]:
    """A router among members that say only what the test makes them say."""
    bench = Bench(1 + len(names), voters=1)
    bench.start("r0")
    codecs = {name: Codec("fleet", SECRET) for name in names}

    def say(sender: str, state: MemberState, *about: str) -> None:
        for at, name in enumerate(about, 1):
            by = sender if state is SUSPECT else ""
            update = Update(name, pack_address(bench.nodes[f"r{at}"].address), 1, state, by)
            data = codecs[sender].encode(sender, 1, UpdateBatch(), [update]).data
            bench.forge("r0", ("127.0.0.1", 9), data)
        bench.run(0.0)

    say(names[0], ALIVE, *names)
    return bench, say


def test_a_pause_in_a_suspicion_or_a_probe_counts_against_nobody() -> None:
    bench, say = among_strangers("a", "b", "c", "d", "e")
    say("b", SUSPECT, "a")
    bench.run(1100.0)  # a probe is out
    bench.pause("r0")
    bench.run(30_000.0)
    bench.resume("r0")
    for accuser in "cde":
        say(accuser, SUSPECT, "a")
    assert bench.state("a", by="r0") is SUSPECT
    bench.run(950.0)
    assert bench.view("r0").health == 1  # for the pause alone
    bench.run(40_000.0)  # nobody answers, so this router trusts itself least
    assert bench.state("a", by="r0") is FAILED


def test_every_suspect_is_asked_once_more_before_it_counts_as_failed() -> None:
    names = "abcdefgh"
    bench, say = among_strangers(*names)
    say("a", SUSPECT, *names)
    bench.sent.clear()
    bench.run(2000.0)
    asked = [(one.message, one.updates[0]) for one in bench.datagrams("r0")]
    warned = {m.target for m, first in asked if isinstance(m, Probe) and first.name == m.target}
    assert warned == set(names)


def test_tables_are_exchanged_soon_while_they_differ_and_with_strangers_once_a_period() -> None:
    bench, _ = among_strangers("a")
    bench.run(10_000.0)
    for first, message, within in (
        ("x", Probe(1, "r0"), 1.0),
        ("y", Sync(bytes(128), is_reply=True), 2600.0),
    ):
        bench.sent.clear()
        for at in range(5):
            data = Codec("fleet", SECRET).encode(f"{first}{at}", 1, message).data
            bench.forge("r0", bench.nodes["r1"].address, data)
        bench.run(within)
        asked = [one for one in bench.datagrams("r0") if isinstance(one.message, Sync)]
        assert len(asked) == 1


def test_bytes_a_member_do_not_grow_with_the_fleet() -> None:
    rates = []
    for count in (5, 40):
        bench = Bench(count).begin()
        bench.run(40_000.0)
        bench.sent.clear()
        bench.run(20_000.0)
        rates.append(sum(map(len, bench.sent)) / count)
    assert rates[1] < 1.5 * rates[0]


def test_bodies_of_other_machines_are_carried_and_answered() -> None:
    bench = Bench(3)
    bench.inboxes["r1"] = lambda now, sender, channel, body: f"{sender} {channel} {body.decode()}".encode()
    assert bench.begin().agreed_within(5000.0)
    sender = bench.nodes["r0"].machine
    assert isinstance(sender, Membership)
    bench.act("r0", sender.carry("r1", 5, b"question"))
    assert sender.carry("nobody", 5, b"") == []
    bench.run(4.0)
    assert UserMessage(5, b"r0 5 question") in [one.message for one in bench.datagrams("r1")]


WRONG: list[dict[str, object]] = [{"voters": ()}, {"voters": ("a", "a")}, {"probe_timeout_ms": 1000.0}]
WRONG += [{"suspicion_most_ms": 1.0}, {"incarnation": -1}, {"seeds": (("localhost", 1),)}]


@pytest.mark.parametrize("wrong", WRONG)
def test_settings_that_cannot_be_are_refused(wrong: dict[str, object]) -> None:
    settings = MembershipSettings("a", ("127.0.0.1", 1), "f", SECRET, (), ("a",), 1)
    with pytest.raises(ValueError, match=r".+"):
        replace(settings, **wrong)  # type: ignore[arg-type]
