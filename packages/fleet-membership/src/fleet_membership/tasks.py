"""What a member has to do at a later time; ``TaskSchedule`` keeps these, ``Membership`` carries them out."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ProbeNextMember:
    """A probe interval ends: conclude its probe and begin the next."""


@dataclass(frozen=True, slots=True)
class ProbeVoters:
    """Probe the voters whose answers the majority depends on."""


@dataclass(frozen=True, slots=True)
class ProbeTimeout:
    """The target of a probe may not have answered in time."""

    probe_id: int


@dataclass(frozen=True, slots=True)
class RelayedProbeTimeout:
    """The target of a probe that was sent for another member may not have answered in time."""

    probe_id: int


@dataclass(frozen=True, slots=True)
class SuspicionTimeout:
    """The suspicion of a member may have expired."""

    name: str


@dataclass(frozen=True, slots=True)
class ProbeSuspect:
    """Give a suspect one more chance to refute before its suspicion expires."""

    name: str


@dataclass(frozen=True, slots=True)
class SynchronizeTables:
    """Exchange member tables with a peer."""


@dataclass(frozen=True, slots=True)
class DropTombstones:
    """Forget the members that failed or left long ago."""


@dataclass(frozen=True, slots=True)
class EndFlapHold:
    """A flapping member may be shown as alive again."""


@dataclass(frozen=True, slots=True)
class EndRejoin:
    """The time to rejoin is over: a router without a majority is in a minority or isolated."""


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
