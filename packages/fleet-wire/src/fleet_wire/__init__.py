"""The fleet's datagrams."""

from __future__ import annotations

from fleet_wire.codec import MOST, UPDATES_MOST, Codec, RefusedError
from fleet_wire.messages import (
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
from fleet_wire.replay import ReplayWindow

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
