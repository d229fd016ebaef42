"""What goes into ``Sources`` and ``Follower`` and comes out of them.  Times are ms on the caller's clock."""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from sansio_core import Address, Notice, SetTimer, Started, TimerFired


@dataclass(frozen=True, slots=True)
class Polled:
    """A poll was sent to the source that is asked; an answer or a failure follows."""

    source: Address


@dataclass(frozen=True, slots=True)
class Answered:
    """A poll or probe was answered.  ``age_ms`` as the answer tells it; 0 from a plain discovery.  ``older``
    where the follower keeps what is held against it (``Standing.OLDER``)."""

    source: Address
    age_ms: float
    older: bool = False
    probe: bool = False


@dataclass(frozen=True, slots=True)
class Failed:
    """A dial, poll or probe failed, or the connection ended; the caller has no connection to it any more."""

    source: Address
    why: str
    probe: bool = False


@dataclass(frozen=True, slots=True)
class Ask:
    """Poll this source from now on.  No other is being asked: it was left or has failed."""

    source: Address


@dataclass(frozen=True, slots=True)
class Leave:
    """Stop polling this source, and report nothing more of it."""

    source: Address


@dataclass(frozen=True, slots=True)
class Probe:
    """One short poll beside the others, of which nothing is taken and which confirms nothing; report
    ``Answered`` or ``Failed`` with ``probe`` set."""

    source: Address


SourcesEvent = Started | TimerFired | Polled | Answered | Failed
SourcesAction = Ask | Leave | Probe | SetTimer | Notice


@dataclass(frozen=True, slots=True)
class ListEvent:
    """A change of the list of shelfs.  ``lines`` by name of shelf, None for one that has left; ``seq`` is
    discovery's, None where it could not be read.  ``body`` is the caller's own form; None in an event that
    the follower has put together, which is whole and has no line of a shelf that has left."""

    number: int
    seq: int | None
    whole: bool
    lines: Mapping[str, Any]
    body: Any = None


@dataclass(frozen=True, slots=True)
class PurgeEvent:
    """``what`` is the object or group.  ``when_ms`` is in Unix ms; a time to come is handed in as now, else
    purges told after it, and before that time, would be taken for earlier ones."""

    number: int
    what: Hashable
    when_ms: float
    body: Any = None


Event = ListEvent | PurgeEvent


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer.  ``epoch`` is empty, and ``age_ms`` 0, from a plain discovery; ``cursor`` is its
    own."""

    epoch: str
    age_ms: float
    cursor: int
    events: tuple[Event, ...] = ()


@dataclass(frozen=True, slots=True)
class Position:
    """What the next poll says: whose numbers, and the number of the last event taken; 0 asks for all."""

    epoch: str
    resume: int


class Standing(Enum):
    IN_STEP = "in step"  # all that the source had to tell was taken
    MORE = "more"  # more is to come: the next poll tells it at once
    OLDER = "older"  # the list that is held is kept against the source's: another should be asked


@dataclass(frozen=True, slots=True)
class Taken:
    """What is to be applied now, in this order."""

    events: tuple[Event, ...] = field(default=())
    standing: Standing = Standing.IN_STEP
