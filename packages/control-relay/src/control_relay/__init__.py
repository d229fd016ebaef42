"""The core of a relay of the command channel, sans-I/O (``docs/design/control.md``)."""

from __future__ import annotations

from control_relay.events import (
    Endpoint,
    EndpointListUpdate,
    MemberDeregistered,
    MemberState,
    MemberStatus,
    PollerDisconnected,
    PollerRole,
    PollReceived,
    PollRequest,
    PurgeReceived,
    PurgeStatus,
    Readiness,
    RejectPoll,
    RejectReason,
    RelayAction,
    RelayEvent,
    RelayStatus,
    SendResponse,
    UpstreamChanged,
    UpstreamConfirmed,
    UpstreamProgress,
)
from control_relay.relay import InvalidEpochError, Relay
from control_relay.settings import RelaySettings

__all__ = [
    "Endpoint",
    "EndpointListUpdate",
    "InvalidEpochError",
    "MemberDeregistered",
    "MemberState",
    "MemberStatus",
    "PollReceived",
    "PollRequest",
    "PollerDisconnected",
    "PollerRole",
    "PurgeReceived",
    "PurgeStatus",
    "Readiness",
    "RejectPoll",
    "RejectReason",
    "Relay",
    "RelayAction",
    "RelayEvent",
    "RelaySettings",
    "RelayStatus",
    "SendResponse",
    "UpstreamChanged",
    "UpstreamConfirmed",
    "UpstreamProgress",
]
