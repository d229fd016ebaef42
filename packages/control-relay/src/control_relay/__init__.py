"""The core of a relay of the command channel (``docs/design/control.md``)."""

from __future__ import annotations

from control_relay.events import (
    Answer,
    Attached,
    Confirmed,
    Dismissed,
    HandedUp,
    Host,
    ListTold,
    Polled,
    PollerGone,
    PurgeStanding,
    PurgeTold,
    Refuse,
    RelayAction,
    RelayEvent,
    RouterStanding,
    Status,
)
from control_relay.relay import Relay
from control_relay.settings import RelaySettings

__all__ = [
    "Answer",
    "Attached",
    "Confirmed",
    "Dismissed",
    "HandedUp",
    "Host",
    "ListTold",
    "Polled",
    "PollerGone",
    "PurgeStanding",
    "PurgeTold",
    "Refuse",
    "Relay",
    "RelayAction",
    "RelayEvent",
    "RelaySettings",
    "RouterStanding",
    "Status",
]
