"""The router's interface: the events that it handles, the actions that it returns, and its settings.

All times are floats in milliseconds: durations, or points of the caller's monotonic clock, whose zero is
arbitrary.  All sizes are in KB.

A caller builds one ``Router(settings, seed, name)`` (``thornjunction.policy.router``) per process start,
passes it each event together with the time at which it happened, and carries out the returned actions at that
same time and in their order.  Routers read no clock, do no I/O and share no state.
"""

from thornjunction.interface.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    FailRequest,
    RejectRequest,
    SetTimer,
    StartAttempt,
)
from thornjunction.interface.enums import (
    AttemptStatus,
    DeduplicationScope,
    FillReporting,
    FillResult,
    Idempotency,
    PeerFill,
    Role,
    ServerState,
)
from thornjunction.interface.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListUpdate,
    Event,
    ExecutionsReported,
    HealthCheckEnded,
    PurgeReceived,
    Request,
    RequestExpired,
    TimerFired,
)
from thornjunction.interface.servers import (
    LoadReport,
    PossibleExecution,
    ServerEntry,
)
from thornjunction.interface.settings import (
    RequestClass,
    Settings,
)

__all__ = [
    "Action",
    "AttemptEnded",
    "AttemptStatus",
    "CancelAttempt",
    "CheckHealth",
    "ClientDisconnected",
    "DeduplicationScope",
    "EndpointListUpdate",
    "Event",
    "ExecutionsReported",
    "FailRequest",
    "FillReporting",
    "FillResult",
    "HealthCheckEnded",
    "Idempotency",
    "LoadReport",
    "PeerFill",
    "PossibleExecution",
    "PurgeReceived",
    "RejectRequest",
    "Request",
    "RequestClass",
    "RequestExpired",
    "Role",
    "ServerEntry",
    "ServerState",
    "SetTimer",
    "Settings",
    "StartAttempt",
    "TimerFired",
]
