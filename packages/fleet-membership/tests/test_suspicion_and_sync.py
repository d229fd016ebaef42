"""Tests of one member with scripted peers: suspicions, probes of suspects, and table exchanges."""

from __future__ import annotations

import pytest
from gossip_codec import Codec, MemberState, Message, Probe, Sync, Update, UpdateBatch, pack_address
from membership_cluster import SECRET, UNUSED_ADDRESS, MembershipCluster

ALIVE = MemberState.ALIVE
SUSPECT = MemberState.SUSPECT
FAILED = MemberState.FAILED


class ScriptedPeers(MembershipCluster):
    """The member ``r0`` with peers that send only the messages of the test."""

    def __init__(self, *names: str) -> None:
        super().__init__(1 + len(names), voters=1)
        self.codecs = {name: Codec("fleet", SECRET) for name in names}
        self.start("r0")
        self.claim(names[0], ALIVE, *names)

    def send(self, sender: str, message: Message, *updates: Update) -> None:
        data = self.codecs[sender].encode(sender, 1, message, updates).data
        self.inject("r0", UNUSED_ADDRESS, data)

    def claim(self, sender: str, state: MemberState, *names: str) -> None:
        accuser = sender if state is SUSPECT else ""
        for index, name in enumerate(names, 1):
            address = pack_address(self.nodes[f"r{index}"].address)
            self.send(sender, UpdateBatch(), Update(name, address, 1, state, accuser))
        self.run_for(0.0)


def test_a_pause_during_a_suspicion_or_a_probe_counts_against_no_peer() -> None:
    cluster = ScriptedPeers("a", "b", "c", "d", "e")
    cluster.claim("b", SUSPECT, "a")
    cluster.run_for(1100.0)  # a probe is pending
    cluster.pause("r0")
    cluster.run_for(30_000.0)
    cluster.resume("r0")
    for accuser in "cde":
        cluster.claim(accuser, SUSPECT, "a")
    assert cluster.state("a", seen_by="r0") is SUSPECT
    cluster.run_for(950.0)
    assert cluster.view("r0").local_health == 1  # degraded by the pause alone
    cluster.run_for(40_000.0)  # no peer answers, so the local health reaches its worst score
    assert cluster.state("a", seen_by="r0") is FAILED


def test_every_suspect_is_probed_once_more_before_it_fails() -> None:
    names = "abcdefgh"
    cluster = ScriptedPeers(*names)
    cluster.claim("a", SUSPECT, *names)
    cluster.sent.clear()
    cluster.run_for(2000.0)
    probed = set()
    for envelope in cluster.datagrams_from("r0"):
        message = envelope.message
        if isinstance(message, Probe) and envelope.updates[0].name == message.target:
            probed.add(message.target)
    assert probed == set(names)


def test_tables_are_exchanged_sooner_while_they_differ_and_with_unknown_senders_once_per_interval() -> None:
    cluster = ScriptedPeers("a")
    cluster.run_for(10_000.0)
    for prefix, message, within_ms in (
        ("x", Probe(1, "r0"), 1.0),
        ("y", Sync(bytes(128), is_reply=True), 2600.0),
    ):
        cluster.sent.clear()
        for index in range(5):
            data = Codec("fleet", SECRET).encode(f"{prefix}{index}", 1, message).data
            cluster.inject("r0", cluster.nodes["r1"].address, data)
        cluster.run_for(within_ms)
        syncs = [envelope for envelope in cluster.datagrams_from("r0") if isinstance(envelope.message, Sync)]
        assert len(syncs) == 1


@pytest.mark.parametrize("is_reply", [False, True])
def test_a_sync_is_answered_with_claims_and_with_a_sync_unless_it_is_a_reply(is_reply: bool) -> None:
    cluster = ScriptedPeers("a")
    cluster.sent.clear()
    cluster.send("a", Sync(bytes(128), is_reply))
    cluster.run_for(0.0)
    messages = [envelope.message for envelope in cluster.datagrams_from("r0")]
    assert UpdateBatch() in messages
    assert [message.is_reply for message in messages if isinstance(message, Sync)] == [True] * (not is_reply)
