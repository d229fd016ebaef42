"""Which source of control to poll, and what may be taken of what it tells (``docs/design/control.md``)."""

from __future__ import annotations

from control_client.events import (
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
from control_client.selection_timings import SourceTimes
from control_client.source_selection import Sources
from control_client.state_follower import HOLD_MS, Follower

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
