"""What routers tell each other: one message a datagram, and updates on members packed behind it.

Messages follow SWIM (Das et al., 2002): a probe, its acknowledgement, and a probe asked of others; the
negative acknowledgement is Lifeguard's (Dadgar et al., 2017).  All are msgpack arrays.
"""

from __future__ import annotations

from enum import IntEnum
from ipaddress import IPv4Address
from typing import Annotated

from msgspec import Meta, Struct
from sansio_core import Address

DIGESTS, DIGEST = 16, 8  # buckets of the table in a ``Sync``; bytes of each bucket's digest

Name = Annotated[str, Meta(min_length=1, max_length=32, pattern=r"\A[A-Za-z0-9._-]+\Z")]
Accuser = Annotated[str, Meta(max_length=32, pattern=r"\A[A-Za-z0-9._-]*\Z")]
Count = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
Place = Annotated[bytes, Meta(min_length=6, max_length=6)]  # an address: IPv4 and port, network order


class MemberState(IntEnum):
    ALIVE = 0
    SUSPECT = 1
    FAILED = 2
    LEFT = 3


def to_place(address: Address) -> bytes:
    """Raises ValueError where the address is no IPv4 address in dotted form, or the port no port."""
    try:
        return IPv4Address(address[0]).packed + address[1].to_bytes(2, "big")
    except OverflowError:
        raise ValueError(f"no port: {address[1]}") from None


def to_address(place: bytes) -> Address:
    return str(IPv4Address(place[:4])), int.from_bytes(place[4:], "big")


class Update(Struct, frozen=True, array_like=True):
    """A claim on one member.  ``by`` is the router that suspects it, empty with other states."""

    name: Name
    place: Place
    incarnation: Count
    state: MemberState
    by: Accuser = ""


class Probe(Struct, frozen=True, array_like=True, tag=1):
    """Are you there?  Only ``target`` answers, so a reused address is no sign of life of the one before."""

    number: Count
    target: Name


class Ack(Struct, frozen=True, array_like=True, tag=2):
    """The target of probe ``number`` is there: said by itself, or by one that probed it for the reader."""

    number: Count


class ProbeFor(Struct, frozen=True, array_like=True, tag=3):
    """Probe ``target`` for the writer; answer ``Ack`` or, soon enough, ``Nack``."""

    number: Count
    target: Name
    place: Place


class Nack(Struct, frozen=True, array_like=True, tag=4):
    """The writer is well, but has no answer from the target of ``ProbeFor`` ``number`` yet."""

    number: Count


class Sync(Struct, frozen=True, array_like=True, tag=5):
    """Anti-entropy: digests of the writer's table by bucket.  The reader sends the members of the buckets
    that differ and, unless this is an ``answer``, a ``Sync`` of its own."""

    digests: Annotated[bytes, Meta(min_length=DIGESTS * DIGEST, max_length=DIGESTS * DIGEST)]
    answer: bool


class Part(Struct, frozen=True, array_like=True, tag=6):
    """Nothing but the updates behind it."""


class Superseded(Struct, frozen=True, array_like=True, tag=7):
    """The reader's incarnation is past: ``incarnation`` of the same name was seen."""

    incarnation: Count


class Carried(Struct, frozen=True, array_like=True, tag=8):
    """A body of another machine of the fleet, told apart by ``channel``."""

    channel: Annotated[int, Meta(ge=0, lt=128)]
    body: bytes


Message = Probe | Ack | ProbeFor | Nack | Sync | Part | Superseded | Carried


class Envelope(Struct, frozen=True, array_like=True):
    """The body of a datagram.  ``updates`` stays the last field: the codec appends to it."""

    sender: Name
    incarnation: Count
    sequence: Count
    message: Message
    updates: Annotated[list[Update], Meta(max_length=15)] = []
