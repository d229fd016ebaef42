"""Tests of the codec: encoding and decoding round-trip, and rejections of datagrams with their reasons."""

from __future__ import annotations

import pytest
from gossip_codec import (
    MAX_UPDATES,
    Ack,
    Codec,
    DatagramRejectedError,
    IndirectProbe,
    MemberState,
    Message,
    Probe,
    ReplayWindow,
    Superseded,
    Sync,
    Update,
    UserMessage,
    pack_address,
    unpack_address,
)
from hypothesis import given, settings
from hypothesis import strategies as st
from sansio_core import MAX_DATAGRAM_BYTES

SECRET = b"a secret of the fleet"
member_names = st.text("abcXYZ019._-", min_size=1, max_size=32)
counts = st.integers(0, 2**63 - 1)
addresses = st.binary(min_size=6, max_size=6)
accusers = st.just("") | member_names
updates = st.builds(Update, member_names, addresses, counts, st.sampled_from(MemberState), accusers)
messages = st.one_of(
    st.builds(Probe, counts, member_names),
    st.builds(Ack, counts),
    st.builds(IndirectProbe, counts, member_names, addresses),
    st.builds(Sync, st.binary(min_size=128, max_size=128), st.booleans()),
    st.builds(Superseded, counts),
    st.builds(UserMessage, st.integers(0, 127), st.binary(max_size=100)),
)


def codec(fleet: str = "fleet", secret: bytes = SECRET) -> Codec:
    return Codec(fleet, secret)


def rejection(receiver_codec: Codec, data: bytes) -> str:
    with pytest.raises(DatagramRejectedError) as caught:
        receiver_codec.decode(data)
    return caught.value.reason.value


@settings(derandomize=True, max_examples=300)
@given(member_names, counts, messages, st.lists(updates, max_size=20))
def test_encoded_updates_are_decoded_unchanged_and_no_datagram_is_too_large(
    sender: str, incarnation: int, message: Message, offered: list[Update]
) -> None:
    encoded = codec().encode(sender, incarnation, message, offered)
    assert len(encoded.data) <= MAX_DATAGRAM_BYTES
    envelope = codec().decode(encoded.data)
    assert (envelope.sender, envelope.incarnation, envelope.message) == (sender, incarnation, message)
    assert envelope.updates == offered[: encoded.updates_packed]
    if encoded.updates_packed < min(len(offered), MAX_UPDATES):  # the next update would not have fitted
        assert len(encoded.data) + 80 + 12 > MAX_DATAGRAM_BYTES


def test_every_truncation_bit_flip_and_addition_is_rejected_with_its_reason() -> None:
    data = codec().encode("a", 7, Probe(1, "b"), [Update("c", bytes(6), 1, MemberState.ALIVE)]).data
    for size in range(len(data)):
        assert rejection(codec(), data[:size]) in ("size", "tag")
    for bit in range(len(data) * 8):
        flipped = bytearray(data)
        flipped[bit // 8] ^= 1 << bit % 8
        expected = "version" if bit < 8 else "fleet" if bit < 72 else "tag"
        assert rejection(codec(), bytes(flipped)) == expected
    assert rejection(codec(), data + b"x") == "tag"
    assert rejection(codec(), bytes(MAX_DATAGRAM_BYTES + 1)) == "size"


def test_datagrams_of_other_fleets_or_secrets_and_malformed_bodies_are_rejected() -> None:
    data = codec().encode("a", 7, Ack(1)).data
    assert rejection(codec(fleet="other"), data) == "fleet"
    assert rejection(codec(secret=b"another secret, as long"), data) == "tag"
    sender_codec = codec()
    for sender, probe_id in (("a b", 1), ("a", -1), ("", 1)):
        assert rejection(codec(), sender_codec.encode(sender, 7, Ack(probe_id)).data) == "malformed"
    with pytest.raises(ValueError, match="too large"):
        sender_codec.encode("a", 7, UserMessage(1, bytes(230)))
    with pytest.raises(ValueError, match="16 bytes"):
        codec(secret=b"short")


def test_a_datagram_is_accepted_once_and_never_one_of_an_older_incarnation() -> None:
    sender_codec = codec()
    receiver_codec = codec()
    datagram = sender_codec.encode("a", 7, Ack(1)).data
    receiver_codec.decode(datagram)
    assert rejection(receiver_codec, datagram) == "replay"
    receiver_codec.decode(sender_codec.encode("a", 8, Ack(2)).data)
    late_datagram = sender_codec.encode("a", 7, Ack(3)).data
    assert rejection(receiver_codec, late_datagram) == "replay"


@settings(derandomize=True)
@given(st.lists(st.integers(0, 600), max_size=300))
def test_the_window_accepts_each_number_once_and_rejects_numbers_that_are_too_old(numbers: list[int]) -> None:
    window = ReplayWindow()
    accepted = set[int]()
    newest = -1
    for number in numbers:
        acceptable = number not in accepted and number > newest - 256
        assert window.accept("a", 1, number) == acceptable
        accepted.add(number)
        newest = max(newest, number)


def test_the_window_evicts_the_least_recently_heard_sender() -> None:
    window = ReplayWindow(max_senders=2)
    for name in ("a", "b", "a", "c"):
        window.accept(name, 1, ord(name) if window.newest_incarnation(name) is None else 500)
    assert [window.newest_incarnation(name) for name in "abc"] == [1, None, 1]


def test_addresses_are_packed_and_unpacked_and_invalid_ones_raise() -> None:
    assert unpack_address(pack_address(("127.0.0.1", 65535))) == ("127.0.0.1", 65535)
    for invalid in (("localhost", 1), ("127.0.0.1", 65536)):
        with pytest.raises(ValueError, match=r"port|Expected"):
            pack_address(invalid)
