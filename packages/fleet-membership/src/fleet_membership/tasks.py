"""The delayed tasks of a member; ``TaskSchedule`` stores them and ``Membership`` runs them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ProbeNextMember:
    """A probe interval ends: evaluate its probe and send the next one."""


@dataclass(frozen=True, slots=True)
class ProbeVoters:
    """Probe the voters, all of them or those without a valid answer."""


@dataclass(frozen=True, slots=True)
class ProbeTimeout:
    """The timeout of a probe; ignored if its target has answered."""

    probe_id: int


@dataclass(frozen=True, slots=True)
class RelayedProbeTimeout:
    """The timeout of a probe sent for another member; ignored if its target has answered."""

    probe_id: int


@dataclass(frozen=True, slots=True)
class SuspicionTimeout:
    """The timeout of a suspicion; ignored if the member is no longer suspected."""

    name: str


@dataclass(frozen=True, slots=True)
class ProbeSuspect:
    """Probe a suspect again, so that it can refute before its suspicion expires."""

    name: str


@dataclass(frozen=True, slots=True)
class SynchronizeTables:
    """Exchange member tables with a peer."""


@dataclass(frozen=True, slots=True)
class DropTombstones:
    """Remove members that failed or left more than ``tombstone_ms`` ago."""


@dataclass(frozen=True, slots=True)
class EndFlapHold:
    """A flapping member may be shown as alive again."""


@dataclass(frozen=True, slots=True)
class EndRejoin:
    """The time to rejoin ends: a router without a majority is then in a minority or isolated."""


Task = (
    ProbeNextMember
    | ProbeVoters
    | ProbeTimeout
    | RelayedProbeTimeout
    | SuspicionTimeout
    | ProbeSuspect
    | SynchronizeTables
    | DropTombstones
    | EndFlapHold
    | EndRejoin
)
