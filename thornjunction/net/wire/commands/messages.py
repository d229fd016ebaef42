"""Decoded responses of the command channel and their events."""

from __future__ import annotations

from dataclasses import dataclass

from thornjunction import interface as api
from thornjunction.net.wire.commands.address import Address

# Server states by the value of ``health``.
STATES = {
    "active": api.ServerState.SERVING,
    "leaving": api.ServerState.DRAINING,
    "left": api.ServerState.REMOVED,
}

# Values of ``health`` by server state.
HEALTH_VALUES = {state: value for value, state in STATES.items()}


@dataclass(frozen=True, slots=True)
class Host:
    """One line of the endpoint list.

    Attributes:
        name: name of the host, unique in the list.
        address: address that the host listens on; None if it is not known.
        site: site of the host.
        kind: kind of endpoint, ``class`` in the protocol.
        cell: part of the site that the host is in, ``block`` in the protocol.
        state: whether the host serves, drains or was removed.
        weight: share of the load among endpoints of the same kind.
        started_unix_ms: start time of the host's process, in Unix milliseconds; 0 if it is not known.
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
        is_complete: whether the list replaces the known one; otherwise its lines are updates.
        hosts: the lines of the list.
        seq: the discovery service's version of the list; None if it is not reported.
    """

    cursor: int
    is_complete: bool
    hosts: tuple[Host, ...]
    seq: int | None = None


@dataclass(frozen=True, slots=True)
class Purge:
    """Forbids serving older copies of an object or of a group of objects.

    Attributes:
        cursor: number of the event.
        key: id of the object; None if a group is purged.
        group: number of the group; 0 if an object is purged.
        issued_unix_ms: when the purge was issued, in Unix milliseconds; infinite if it counts as issued now.
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
        cursor: number of the last existing event.
        events: the events, ordered by their numbers.
        faults: codes of the malformed parts, for the log.
        epoch: epoch that the event numbers belong to; None for the discovery service's own numbers.
        age_ms: time since the discovery service confirmed this state; None if it is not reported.
    """

    cursor: int
    events: tuple[Command, ...]
    faults: tuple[str, ...] = ()
    epoch: str | None = None
    age_ms: float | None = None
