"""The commands that a run sends to its workers."""

from __future__ import annotations

from fleet_scale.event_plan import EventKind, EventPlan
from fleet_scale.messages.base import Direction, Message


class ReportFigures(Message, frozen=True):
    """Report the figures of the role; every role answers it."""


class PublishPlan(Message, frozen=True):
    """Discovery publishes the events of a plan at their times."""

    plan: EventPlan


class BlockRoutes(Message, frozen=True):
    """A proxy holds back these directions of the routes, and forwards the others again."""

    routes: tuple[str, ...]
    directions: tuple[Direction, ...]


class StartRouters(Message, frozen=True):
    """Start the hollow routers that do not run; they know nothing of what was published before."""

    names: tuple[str, ...]


class EndRouters(Message, frozen=True):
    """End hollow routers at once, as if their process were killed."""

    names: tuple[str, ...]


class ResetConnections(Message, frozen=True):
    """Reset the connections of hollow routers, or of a proxy's routes."""

    names: tuple[str, ...]


class ReportRouterStates(Message, frozen=True):
    """Report what hollow routers know: these, or all without names."""

    names: tuple[str, ...] | None = None


class ReportMembers(Message, frozen=True):
    """Report what the members of the process hold of these members."""

    names: tuple[str, ...]


class ReportDeliveries(Message, frozen=True):
    """Report who received the events with numbers from ``first`` on and below ``end``."""

    kind: EventKind
    first: int
    end: int


class SetRequestRate(Message, frozen=True):
    """Change how many requests a second each router receives."""

    requests_per_s: float


class ClearLatencies(Message, frozen=True):
    """Forget the latencies that were measured so far."""


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
