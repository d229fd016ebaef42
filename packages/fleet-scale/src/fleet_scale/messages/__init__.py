"""The messages between a run and its worker processes, each one line of JSON.

The first line to a worker holds its settings, whose type selects its role; each further line is a command.
The worker answers the settings with its figures (counters and state), and each command with one reply.
"""

from __future__ import annotations

from fleet_scale.messages.base import (
    Direction,
    Message,
)
from fleet_scale.messages.commands import (
    BlockRoutes,
    ClearLatencies,
    Command,
    EndRouters,
    PublishPlan,
    ReportDeliveries,
    ReportFigures,
    ReportMembers,
    ReportRouterStates,
    ResetConnections,
    SetRequestRate,
    StartRouters,
)
from fleet_scale.messages.replies import (
    Acknowledged,
    CacheServerFigures,
    ChannelCounters,
    CommandRejected,
    Deliveries,
    DiscoveryCounters,
    DiscoveryFigures,
    HollowGroupFigures,
    LoadFigures,
    MemberStates,
    ProxyCounters,
    ProxyFigures,
    Reply,
    RouterStates,
)
from fleet_scale.messages.settings import (
    CacheServerSettings,
    DiscoverySettings,
    HollowGroupSettings,
    HollowRouterSettings,
    LoadSettings,
    MemberSettings,
    ProxyRoute,
    ProxySettings,
    Settings,
)

__all__ = [
    "Acknowledged",
    "BlockRoutes",
    "CacheServerFigures",
    "CacheServerSettings",
    "ChannelCounters",
    "ClearLatencies",
    "Command",
    "CommandRejected",
    "Deliveries",
    "Direction",
    "DiscoveryCounters",
    "DiscoveryFigures",
    "DiscoverySettings",
    "EndRouters",
    "HollowGroupFigures",
    "HollowGroupSettings",
    "HollowRouterSettings",
    "LoadFigures",
    "LoadSettings",
    "MemberSettings",
    "MemberStates",
    "Message",
    "ProxyCounters",
    "ProxyFigures",
    "ProxyRoute",
    "ProxySettings",
    "PublishPlan",
    "Reply",
    "ReportDeliveries",
    "ReportFigures",
    "ReportMembers",
    "ReportRouterStates",
    "ResetConnections",
    "RouterStates",
    "SetRequestRate",
    "Settings",
    "StartRouters",
]
