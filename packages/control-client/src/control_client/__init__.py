"""Selects the source of control state to poll, and accepts what it sends (``docs/design/control.md``)."""

from __future__ import annotations

from control_client.backoff import jittered
from control_client.events import (
    AcceptedEvents,
    EndpointListEvent,
    PollAnswered,
    PollFailed,
    PollResponse,
    PollSent,
    ProbeAnswered,
    ProbeFailed,
    PurgeEvent,
    ResponseOutcome,
    ResumePosition,
    SelectorAction,
    SelectorEvent,
    SelectorState,
    SendProbe,
    StartPolling,
    StateEvent,
    StopPolling,
    SwitchReason,
    SyncStatus,
)
from control_client.notices import SelectorNotice
from control_client.selection_timings import InvalidTimingError, SelectionTimings
from control_client.source_health import SourceHealth
from control_client.source_pool import InvalidSourcesError
from control_client.source_selection import SourceSelector
from control_client.state_follower import PURGE_RETENTION_MS, FollowerState, StateFollower

__all__ = [
    "PURGE_RETENTION_MS",
    "AcceptedEvents",
    "EndpointListEvent",
    "FollowerState",
    "InvalidSourcesError",
    "InvalidTimingError",
    "PollAnswered",
    "PollFailed",
    "PollResponse",
    "PollSent",
    "ProbeAnswered",
    "ProbeFailed",
    "PurgeEvent",
    "ResponseOutcome",
    "ResumePosition",
    "SelectionTimings",
    "SelectorAction",
    "SelectorEvent",
    "SelectorNotice",
    "SelectorState",
    "SendProbe",
    "SourceHealth",
    "SourceSelector",
    "StartPolling",
    "StateEvent",
    "StateFollower",
    "StopPolling",
    "SwitchReason",
    "SyncStatus",
    "jittered",
]
