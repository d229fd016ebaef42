"""Tokens with a jti taken once per fleet in intent: two routers' windows on loopback UDP."""

from __future__ import annotations

from dataclasses import replace
from typing import Any, cast

import pytest
from fakes.event_loop import wait_until
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.trial.unittest import TestCase

from tests.loopback import BASE, TRUST
from thornjunction.net.event_loop.timer_service import TimerService, core_ms
from thornjunction.net.gossip.replay_gossip import ReplayGossip
from thornjunction.net.wire import ProtocolError, gossip
from thornjunction.runtime.signed_front import SignedFront
from thornjunction.runtime.signed_settings import GossipSettings, SignedFrontSettings
from thornjunction.signing import tokens
from thornjunction.signing.replay import ReplayEntry, ReplayWindow

SECRET, URI, NOW = b"s" * 32, BASE + "/films/17/7f3a9c21e0b4d655/0", 1_000_000.0


class GossipTest(TestCase):
    timeout = 20

    def setUp(self) -> None:
        self.alarm = TimerService(reactor)
        self.addCleanup(self.alarm.stop)
        self.routers = [self.router() for _ in range(2)]
        (a, port_a), (b, port_b) = self.routers
        a.peers, b.peers = (("127.0.0.1", port_b.getHost().port),), (("127.0.0.1", port_a.getHost().port),)

    def router(self) -> tuple[ReplayGossip, Any]:
        told = ReplayGossip(ReplayWindow(), (), SECRET, self.alarm.deadlines, core_ms, lambda: NOW)
        port = reactor.listenUDP(0, told, interface="127.0.0.1")
        self.addCleanup(port.stopListening)
        return told, port

    def take(self, at: ReplayGossip, jti: str) -> str:
        token = tokens.issue(TRUST, "hash:" + tokens.uri_hash(URI), NOW, 60, jti=jti)
        try:
            grant = tokens.verify(token, URI, TRUST, at.window, NOW)
        except tokens.TokenError as error:
            return error.code
        assert grant.replay_entry is not None
        at.tell(grant.replay_entry)
        return ""

    @inlineCallbacks
    def test_a_token_taken_at_one_is_refused_at_the_other(self) -> Any:
        (a, _), (b, port_b) = self.routers
        self.assertEqual([self.take(a, jti) for jti in ("one", "two")], ["", ""])
        yield wait_until(lambda: b.counts["learnt"] == 2)
        self.assertEqual([self.take(b, "one"), self.take(b, "three")], ["token-replayed", ""])
        yield wait_until(lambda: a.counts["learnt"] == 1)
        self.assertEqual(self.take(a, "three"), "token-replayed")
        a.transport.write(
            gossip.encode([ReplayEntry(b"k" * 16, NOW + 9)], b"t" * 32), ("127.0.0.1", port_b.getHost().port)
        )
        a.transport.write(b"junk", ("127.0.0.1", port_b.getHost().port))
        yield wait_until(lambda: b.counts["gossip-forged"] == 1 and b.counts["gossip-size"] == 1)
        self.assertEqual(len(b.window), 3)


@settings(derandomize=True, max_examples=80, deadline=None)
@given(
    st.binary(max_size=1400), st.lists(st.tuples(st.binary(min_size=16, max_size=16), st.integers(0, 2**31)))
)
def test_datagrams_decode_to_what_was_sent_or_are_refused(
    junk: bytes, entries: list[tuple[bytes, int]]
) -> None:
    sent = [ReplayEntry(key, float(at)) for key, at in entries[: gossip.MAX_ENTRIES]]
    assert gossip.decode(gossip.encode(sent, SECRET), SECRET) == [
        ReplayEntry(entry.key, entry.expires_s + 1) for entry in sent
    ]
    whole = gossip.encode(sent, SECRET)
    for spoilt in (junk, whole[:-1] + bytes([whole[-1] ^ 1])):
        with pytest.raises(ProtocolError):
            gossip.decode(spoilt, SECRET)


def test_the_operators_file_turns_it_on() -> None:
    """The section was read and checked, and then nothing was started."""
    peers = GossipSettings(("127.0.0.1", 8490), (("127.0.0.1", 8491),), SECRET)
    told = SignedFrontSettings(("127.0.0.1", 0), "http://a", TRUST, ReplayWindow(), gossip=peers)
    door = SignedFront(told, *(cast(Any, None),) * 4).shared
    assert door.gossip is not None and door.gossip.window is told.replays
    assert SignedFront(replace(told, gossip=None), *(cast(Any, None),) * 4).shared.gossip is None
