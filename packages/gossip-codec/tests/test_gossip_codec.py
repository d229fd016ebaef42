"""The datagram: what goes in comes out, and nothing else is taken."""

from __future__ import annotations

import pytest
from gossip_codec import (
    MOST,
    Ack,
    Carried,
    Codec,
    MemberState,
    Message,
    Probe,
    ProbeFor,
    RefusedError,
    ReplayWindow,
    Superseded,
    Sync,
    Update,
    to_address,
    to_place,
)
from hypothesis import given, settings
from hypothesis import strategies as st

SECRET = b"a secret of the fleet"
names = st.text("abcXYZ019._-", min_size=1, max_size=32)
counts = st.integers(0, 2**63 - 1)
places = st.binary(min_size=6, max_size=6)
updates = st.builds(Update, names, places, counts, st.sampled_from(MemberState), st.just("") | names)
messages = st.one_of(
    st.builds(Probe, counts, names),
    st.builds(Ack, counts),
    st.builds(ProbeFor, counts, names, places),
    st.builds(Sync, st.binary(min_size=128, max_size=128), st.booleans()),
    st.builds(Superseded, counts),
    st.builds(Carried, st.integers(0, 127), st.binary(max_size=100)),
)


def codec(fleet: str = "fleet", secret: bytes = SECRET) -> Codec:
    return Codec(fleet, secret)


def code_of(reader: Codec, data: bytes) -> str:
    with pytest.raises(RefusedError) as caught:
        reader.decode(data)
    return caught.value.code


@settings(derandomize=True, max_examples=300)
@given(names, counts, messages, st.lists(updates, max_size=20))
def test_what_fits_comes_back_and_no_datagram_is_too_large(
    sender: str, incarnation: int, message: Message, told: list[Update]
) -> None:
    data, packed = codec().encode(sender, incarnation, message, told)
    assert len(data) <= MOST
    envelope = codec().decode(data)
    assert (envelope.sender, envelope.incarnation, envelope.message) == (sender, incarnation, message)
    assert envelope.updates == told[:packed]
    if packed < min(len(told), 15):  # the next one would not have fitted
        assert len(data) + 80 + 12 > MOST


def test_every_truncation_bit_flip_and_addition_is_refused_and_named() -> None:
    data, _ = codec().encode("a", 7, Probe(1, "b"), [Update("c", bytes(6), 1, MemberState.ALIVE)])
    for size in range(len(data)):
        assert code_of(codec(), data[:size]) in ("size", "tag")
    for bit in range(len(data) * 8):
        flipped = bytearray(data)
        flipped[bit // 8] ^= 1 << bit % 8
        expected = "version" if bit < 8 else "fleet" if bit < 72 else "tag"
        assert code_of(codec(), bytes(flipped)) == expected
    assert code_of(codec(), data + b"x") == "tag"
    assert code_of(codec(), bytes(MOST + 1)) == "size"


def test_foreign_fleets_other_secrets_and_unreadable_bodies_are_refused() -> None:
    data, _ = codec().encode("a", 7, Ack(1))
    assert code_of(codec(fleet="other"), data) == "fleet"
    assert code_of(codec(secret=b"another secret, as long"), data) == "tag"
    writer = codec()
    for sender, number in (("a b", 1), ("a", -1), ("", 1)):
        assert code_of(codec(), writer.encode(sender, 7, Ack(number))[0]) == "malformed"
    with pytest.raises(ValueError, match="too large"):
        writer.encode("a", 7, Carried(1, bytes(230)))
    with pytest.raises(ValueError, match="16 bytes"):
        codec(secret=b"short")


def test_a_datagram_is_taken_once_and_an_older_life_never() -> None:
    writer, reader = codec(), codec()
    old, _ = writer.encode("a", 7, Ack(1))
    reader.decode(old)
    assert code_of(reader, old) == "replay"
    reader.decode(writer.encode("a", 8, Ack(2))[0])
    late, _ = writer.encode("a", 7, Ack(3))
    assert code_of(reader, late) == "replay"


@settings(derandomize=True)
@given(st.lists(st.integers(0, 600), max_size=300))
def test_the_window_takes_each_number_once_and_refuses_what_is_too_old(numbers: list[int]) -> None:
    window, taken, newest = ReplayWindow(), set[int](), -1
    for number in numbers:
        fresh = number not in taken and number > newest - 256
        assert window.take("a", 1, number) == fresh
        taken.add(number)
        newest = max(newest, number)


def test_the_window_forgets_the_sender_unheard_for_longest() -> None:
    window = ReplayWindow(senders=2)
    for name in ("a", "b", "a", "c"):
        window.take(name, 1, ord(name) if window.incarnation(name) < 0 else 500)
    assert [window.incarnation(name) for name in "abc"] == [1, -1, 1]


def test_addresses() -> None:
    assert to_address(to_place(("127.0.0.1", 65535))) == ("127.0.0.1", 65535)
    for bad in (("localhost", 1), ("127.0.0.1", 65536)):
        with pytest.raises(ValueError, match=r"port|Expected"):
            to_place(bad)
