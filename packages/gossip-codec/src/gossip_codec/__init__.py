"""The fleet's datagrams."""

from __future__ import annotations

from gossip_codec.codec import MOST, UPDATES_MOST, Codec, RefusedError
from gossip_codec.messages import (
    DIGEST,
    DIGESTS,
    Ack,
    Carried,
    Envelope,
    MemberState,
    Message,
    Nack,
    Part,
    Probe,
    ProbeFor,
    Superseded,
    Sync,
    Update,
    to_address,
    to_place,
)
from gossip_codec.replay_window import ReplayWindow

__all__ = [
    "DIGEST",
    "DIGESTS",
    "MOST",
    "UPDATES_MOST",
    "Ack",
    "Carried",
    "Codec",
    "Envelope",
    "MemberState",
    "Message",
    "Nack",
    "Part",
    "Probe",
    "ProbeFor",
    "RefusedError",
    "ReplayWindow",
    "Superseded",
    "Sync",
    "Update",
    "to_address",
    "to_place",
]
