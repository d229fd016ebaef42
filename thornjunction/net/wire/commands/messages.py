"""Responses of the command channel and their events."""

from __future__ import annotations

from dataclasses import dataclass

from thornjunction import interface as api
from thornjunction.net.wire.commands.address import Address

# States by the value of ``health``.
STATES = {
    "active": api.ServerState.SERVING,
    "leaving": api.ServerState.DRAINING,
    "left": api.ServerState.REMOVED,
}

# Values of ``health`` by state.
HEALTH_VALUES = {state: value for value, state in STATES.items()}


@dataclass(frozen=True, slots=True)
class Host:
    """One line of the endpoint list.

    Attributes:
        name: unique in the list.
        address: where it listens; None: nowhere that is known.
        site: the site that it is in.
        kind: its kind of endpoint, the wire's ``class``.
        cell: its part of the site, the wire's ``block``.
        state: whether it serves, drains or is gone.
        weight: its share of the load among endpoints of its kind.
        started_unix_ms: when its process started, in Unix milliseconds; 0: not known.
    """

    name: str
    address: Address | None
    site: str
    kind: str
    cell: int
    state: api.ServerState
    weight: float
    started_unix_ms: float


@dataclass(frozen=True, slots=True)
class ListChange:
    """A change of the endpoint list.

    Attributes:
        cursor: number of the event.
        is_complete: whether the list replaces the one known so far; otherwise its lines are updates.
        hosts: its lines.
        seq: the discovery service's version of the list; None: not reported.
    """

    cursor: int
    is_complete: bool
    hosts: tuple[Host, ...]
    seq: int | None = None


@dataclass(frozen=True, slots=True)
class Purge:
    """An order to serve no older copy of an object or a group.

    Attributes:
        cursor: number of the event.
        key: id of the object; None: the purge is of a group.
        group: the group.
        issued_unix_ms: when it was issued, in Unix milliseconds; infinite: now.
    """

    cursor: int
    key: int | None
    group: int
    issued_unix_ms: float


# An event of the command channel.
Command = ListChange | Purge


@dataclass(frozen=True, slots=True)
class Commands:
    """A response of the command channel.

    Attributes:
        cursor: number of the last event that exists.
        events: the events, by their numbers.
        faults: codes of what could not be read, for the log.
        epoch: whose numbers these are; None: the discovery service's own.
        age_ms: how long ago the discovery service confirmed this state; None: not reported.
    """

    cursor: int
    events: tuple[Command, ...]
    faults: tuple[str, ...] = ()
    epoch: str | None = None
    age_ms: float | None = None
