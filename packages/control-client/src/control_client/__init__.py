"""Which source of control to poll, and what may be taken of what it tells (``docs/design/control.md``)."""

from __future__ import annotations

from control_client.follower import HOLD_MS, Follower
from control_client.seam import (
    Answer,
    Answered,
    Ask,
    Event,
    Failed,
    Leave,
    ListEvent,
    Polled,
    Position,
    Probe,
    PurgeEvent,
    SourcesAction,
    SourcesEvent,
    Standing,
    Taken,
)
from control_client.sources import Sources
from control_client.times import SourceTimes

__all__ = [
    "HOLD_MS",
    "Answer",
    "Answered",
    "Ask",
    "Event",
    "Failed",
    "Follower",
    "Leave",
    "ListEvent",
    "Polled",
    "Position",
    "Probe",
    "PurgeEvent",
    "SourceTimes",
    "Sources",
    "SourcesAction",
    "SourcesEvent",
    "Standing",
    "Taken",
]
