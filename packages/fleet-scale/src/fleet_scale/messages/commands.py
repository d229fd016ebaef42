"""The commands that a run sends to its workers."""

from __future__ import annotations

from fleet_scale.event_plan import EventKind, EventPlan
from fleet_scale.messages.base import Direction, Message


class ReportFigures(Message, frozen=True):
    """Report the figures of the role; every role implements this command."""


class PublishPlan(Message, frozen=True):
    """Publish the events of a plan at their times; a command to a discovery."""

    plan: EventPlan


class BlockRoutes(Message, frozen=True):
    """Block these directions of the routes and unblock the others; a command to a proxy."""

    routes: tuple[str, ...]
    directions: tuple[Direction, ...]


class StartRouters(Message, frozen=True):
    """Start those hollow routers that are not running, without any earlier event."""

    names: tuple[str, ...]


class EndRouters(Message, frozen=True):
    """End hollow routers abruptly, as if their process were killed."""

    names: tuple[str, ...]


class ResetConnections(Message, frozen=True):
    """Reset the connections of these hollow routers, or of these routes of a proxy."""

    names: tuple[str, ...]


class ReportRouterStates(Message, frozen=True):
    """Report the state of these hollow routers, or of all if ``names`` is None."""

    names: tuple[str, ...] | None = None


class ReportMembers(Message, frozen=True):
    """Report the states in which the members of the process list these members."""

    names: tuple[str, ...]


class ReportDeliveries(Message, frozen=True):
    """Report the deliveries of the events with numbers from ``first`` to ``end - 1``."""

    kind: EventKind
    first: int
    end: int


class SetRequestRate(Message, frozen=True):
    """Set how many requests a second are sent to each router; 0 stops the load."""

    requests_per_s: float


class ClearLatencies(Message, frozen=True):
    """Discard the latencies that were measured so far."""


Command = (
    ReportFigures
    | PublishPlan
    | BlockRoutes
    | StartRouters
    | EndRouters
    | ResetConnections
    | ReportRouterStates
    | ReportMembers
    | ReportDeliveries
    | SetRequestRate
    | ClearLatencies
)
