"""Peers reject tokens with a ``jti`` that one router has accepted; tested over UDP on the loopback."""

from __future__ import annotations

from dataclasses import replace
from typing import Any, cast

import pytest
from fakes.event_loop import Steps, reactor, wait_until
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import inlineCallbacks
from twisted.trial.unittest import TestCase

from tests.loopback import BASE, TRUST
from thornjunction.net.event_loop.ports import ListeningPort
from thornjunction.net.event_loop.timer_service import TimerService, core_ms
from thornjunction.net.gossip.replay_gossip import GossipGroup, ReplayGossip
from thornjunction.net.wire import ProtocolError, gossip
from thornjunction.runtime.signed_front import SignedFront
from thornjunction.runtime.signed_settings import GossipSettings, SignedFrontSettings
from thornjunction.signing import tokens
from thornjunction.signing.replay import ReplayEntry, ReplayWindow

SECRET = b"s" * 32
OTHER_SECRET = b"t" * 32
URI = BASE + "/films/17/7f3a9c21e0b4d655/0"
NOW_UNIX_S = 1_000_000.0
TOKEN_LIFETIME_S = 60


class GossipTest(TestCase):
    timeout = 20

    def setUp(self) -> None:
        self.timer_service = TimerService(reactor)
        self.addCleanup(self.timer_service.stop)
        self.first = self.build_gossip()
        self.second = self.build_gossip()
        self.first_port = self.listen(self.first)
        self.second_port = self.listen(self.second)
        self.first.group = GossipGroup((address_of(self.second_port),), SECRET)
        self.second.group = GossipGroup((address_of(self.first_port),), SECRET)

    def build_gossip(self) -> ReplayGossip:
        group = GossipGroup((), SECRET)
        deadlines = self.timer_service.deadlines
        return ReplayGossip(ReplayWindow(), group, deadlines, core_ms, lambda: NOW_UNIX_S)

    def listen(self, replay_gossip: ReplayGossip) -> ListeningPort:
        port = reactor.listenUDP(0, replay_gossip, interface="127.0.0.1")
        self.addCleanup(port.stopListening)
        return port

    @inlineCallbacks
    def test_a_token_accepted_by_one_router_is_rejected_by_the_other(self) -> Steps[None]:
        first = self.first
        second = self.second
        assert [accept_token(first, jti) for jti in ("one", "two")] == ["", ""]
        yield wait_until(lambda: second.counts["learnt"] == 2)
        assert [accept_token(second, jti) for jti in ("one", "three")] == ["token-replayed", ""]
        yield wait_until(lambda: first.counts["learnt"] == 1)
        assert accept_token(first, "three") == "token-replayed"
        forged = gossip.encode([ReplayEntry(b"k" * 16, NOW_UNIX_S + 9)], OTHER_SECRET)
        first.transport.write(forged, address_of(self.second_port))
        first.transport.write(b"junk", address_of(self.second_port))
        yield wait_until(lambda: second.counts["gossip-forged"] == 1 and second.counts["gossip-size"] == 1)
        assert len(second.window) == 3


def address_of(port: ListeningPort) -> tuple[str, int]:
    return "127.0.0.1", port.getHost().port


def accept_token(replay_gossip: ReplayGossip, jti: str) -> str:
    """Verify a token with this ``jti`` and announce it; returns the code if it is rejected, else ''."""
    token = tokens.issue(TRUST, "hash:" + tokens.uri_hash(URI), NOW_UNIX_S, TOKEN_LIFETIME_S, jti=jti)
    try:
        grant = tokens.verify(token, URI, TRUST, replay_gossip.window, NOW_UNIX_S)
    except tokens.TokenError as error:
        return error.code
    assert grant.replay_entry is not None
    replay_gossip.announce(grant.replay_entry)
    return ""


@settings(derandomize=True, max_examples=80, deadline=None)
@given(
    st.binary(max_size=1400), st.lists(st.tuples(st.binary(min_size=16, max_size=16), st.integers(0, 2**31)))
)
def test_datagrams_decode_to_what_was_sent_or_are_rejected(
    junk: bytes, keys_and_expiries: list[tuple[bytes, int]]
) -> None:
    entries = [ReplayEntry(key, float(at)) for key, at in keys_and_expiries[: gossip.MAX_ENTRIES]]
    datagram = gossip.encode(entries, SECRET)
    assert gossip.decode(datagram, SECRET) == [
        ReplayEntry(entry.key, entry.expires_s + 1) for entry in entries
    ]
    last_bit_flipped = datagram[:-1] + bytes([datagram[-1] ^ 1])
    for malformed in (junk, last_bit_flipped):
        with pytest.raises(ProtocolError):
            gossip.decode(malformed, SECRET)


def build_signed_front(signed: SignedFrontSettings) -> SignedFront:
    """Build a signed front; only its gossip can be used."""
    unused = cast(Any, None)
    return SignedFront(signed, unused, unused, unused, unused)


def test_the_operators_file_enables_gossip() -> None:
    """Guards against a section that is read and checked, but starts no gossip."""
    gossip_settings = GossipSettings(("127.0.0.1", 8490), (("127.0.0.1", 8491),), SECRET)
    signed = SignedFrontSettings(("127.0.0.1", 0), "http://a", TRUST, ReplayWindow(), gossip=gossip_settings)
    front = build_signed_front(signed)
    assert front.request_context.gossip is not None
    assert front.request_context.gossip.window is signed.replay_window
    assert build_signed_front(replace(signed, gossip=None)).request_context.gossip is None
