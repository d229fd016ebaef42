"""The messages that routers exchange: one in each datagram, with member updates piggybacked on it.

Messages follow SWIM (Das, Gupta and Motivala, 2002): a probe, its acknowledgement, and an indirect probe; the
negative acknowledgement is Lifeguard's (Dadgar, Phillips and Currey, 2017).  All are encoded as msgpack
arrays, so their wire form depends on the order of their fields and not on the names.
"""

from __future__ import annotations

from enum import IntEnum
from ipaddress import IPv4Address
from typing import Annotated

from msgspec import Meta, Struct
from sansio_core import Address

# Buckets into which ``Sync`` divides the member table.
DIGEST_BUCKETS = 16

# Length in bytes of the digest of a bucket.
DIGEST_BYTES = 8

# Maximum number of updates in a datagram: a msgpack array of up to 15 elements has a header of one byte.
MAX_UPDATES = 15

# The largest integer on the wire: signed 64 bits, which every msgpack implementation supports.
MAX_INTEGER = (1 << 63) - 1

# Length in bytes of the UDP port in a packed address.
PORT_BYTES = 2

# Length in bytes of the IPv4 address in a packed address.
IP_BYTES = 4

# The name of a member, unique in its fleet.
MemberName = Annotated[str, Meta(min_length=1, max_length=32, pattern=r"\A[A-Za-z0-9._-]+\Z")]

# The name of a member, or the empty string.
OptionalMemberName = Annotated[str, Meta(max_length=32, pattern=r"\A[A-Za-z0-9._-]*\Z")]

# A non-negative integer of the wire format.
Natural = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]

# IPv4 address and port in network byte order.
PackedAddress = Annotated[bytes, Meta(min_length=IP_BYTES + PORT_BYTES, max_length=IP_BYTES + PORT_BYTES)]


class InvalidPortError(ValueError):
    """A port number that is not a valid UDP port."""

    def __init__(self, port: int) -> None:
        super().__init__(f"invalid port: {port}")
        self.port = port


class MemberState(IntEnum):
    """The state of a member; of two claims about the same incarnation the higher state prevails."""

    ALIVE = 0
    SUSPECT = 1
    FAILED = 2
    LEFT = 3


def pack_address(address: Address) -> bytes:
    """Return the wire form of an address.

    Raises ValueError if the host is not a dotted IPv4 address or the port is out of range.
    """
    host, port = address
    try:
        return IPv4Address(host).packed + port.to_bytes(PORT_BYTES, "big")
    except OverflowError:
        raise InvalidPortError(port) from None


def unpack_address(packed: bytes) -> Address:
    """Return the address that was packed by ``pack_address``."""
    host = IPv4Address(packed[:IP_BYTES])
    port = int.from_bytes(packed[IP_BYTES:], "big")
    return str(host), port


class Update(Struct, frozen=True, array_like=True):
    """A claim about the state of a member; ``accuser`` is the member that suspects it, else empty."""

    name: MemberName
    address: PackedAddress
    incarnation: Natural
    state: MemberState
    accuser: OptionalMemberName = ""


class Probe(Struct, frozen=True, array_like=True, tag=1):
    """Asks ``target`` for an ``Ack``.

    Other members do not answer it, so a process that reuses the address of a failed member does not make
    that member appear alive.
    """

    probe_id: Natural
    target: MemberName


class Ack(Struct, frozen=True, array_like=True, tag=2):
    """The target of a probe is alive; sent by the target, or by a member that probed it on request."""

    probe_id: Natural


class IndirectProbe(Struct, frozen=True, array_like=True, tag=3):
    """Asks the receiver to probe ``target`` for the sender and answer ``Ack``, or ``Nack`` on timeout."""

    probe_id: Natural
    target: MemberName
    address: PackedAddress


class Nack(Struct, frozen=True, array_like=True, tag=4):
    """The target of an ``IndirectProbe`` has not answered the sender of this message yet."""

    probe_id: Natural


class Sync(Struct, frozen=True, array_like=True, tag=5):
    """Anti-entropy: digests of the sender's member table by bucket.

    The receiver sends its claims in the buckets that differ and, unless this is a reply, its own ``Sync``.
    """

    digests: Annotated[
        bytes, Meta(min_length=DIGEST_BUCKETS * DIGEST_BYTES, max_length=DIGEST_BUCKETS * DIGEST_BYTES)
    ]
    is_reply: bool


class UpdateBatch(Struct, frozen=True, array_like=True, tag=6):
    """Carries updates and no other content."""


class Superseded(Struct, frozen=True, array_like=True, tag=7):
    """The receiver's incarnation is outdated: the higher ``incarnation`` is known under its name."""

    incarnation: Natural


class UserMessage(Struct, frozen=True, array_like=True, tag=8):
    """The payload of another state machine of the fleet, which is identified by ``channel``."""

    channel: Annotated[int, Meta(ge=0, lt=128)]
    body: bytes


Message = Probe | Ack | IndirectProbe | Nack | Sync | UpdateBatch | Superseded | UserMessage


class Envelope(Struct, frozen=True, array_like=True):
    """The body of a datagram; ``updates`` must be the last field, since the codec appends to it."""

    sender: MemberName
    incarnation: Natural
    sequence: Natural
    message: Message
    updates: Annotated[list[Update], Meta(max_length=MAX_UPDATES)] = []
