"""What goes into ``Relay`` and comes out of it.  Times are ms on the caller's monotonic clock."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from sansio_core import Notice, SetTimer, Started, TimerFired

Host = Mapping[
    str, Any
]  # a shelf's line in the form of the wire: host, dial, site, ..., and keys not known here


@dataclass(frozen=True, slots=True)
class Attached:
    """From now on another upstream is followed, or the same one under another epoch: numbers start anew."""


@dataclass(frozen=True, slots=True)
class ListTold:
    """A list event of the upstream that was taken.  ``number`` is the upstream's; ``seq`` is discovery's,
    None where it could not be read.  Lines that can't be read are counted, and passed over or told as
    leaving."""

    number: int
    seq: int | None
    whole: bool
    hosts: tuple[Host, ...]


@dataclass(frozen=True, slots=True)
class PurgeTold:
    """A purge of the upstream that was taken: of an object (``key``, hex digits), or of a group (``key``
    None, ``family`` 0 to 255).  With an object, ``family`` is its group, or -1 where it is not known.
    ``when_ms`` in Unix ms; not finite: it could not be read, and counts as now.  ``age_ms``: for how long it
    has been told at least, 0 where that is not known; its hold is shorter by that."""

    number: int
    key: str | None
    family: int
    when_ms: float
    age_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Confirmed:
    """An upstream's answer has come whole: all that was told so far stood so ``age_ms`` ago, or later.  The
    first one after a whole list makes the relay ready.  ``number`` is the upstream's up to which all was
    taken or passed over; 0 where that is not known: then up to the last event that came.  Only what it covers
    is ever handed up as done."""

    age_ms: float
    number: int = 0


@dataclass(frozen=True, slots=True)
class Polled:
    """A poll has come.  ``poller`` names its connection; an earlier poll of the same one gets no answer any
    more. ``epoch`` is empty where the poll has none; ``role`` is ``router``, ``relay``, ``sibling`` or
    ``probe``: this is answered at once with nothing but the age, and one with a name says that its sender is
    served elsewhere now and is not to be waited for.  ``name`` is empty where it counts as long as its
    connection lives.  ``done``, ``behind`` and ``names`` are a relay's."""

    poller: int
    resume: int
    block_ms: float
    epoch: str = ""
    role: str = "router"
    name: str = ""
    done: int = 0
    behind: int = 0
    names: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class PollerGone:
    """A connection has ended; its poll gets no answer any more."""

    poller: int


@dataclass(frozen=True, slots=True)
class Dismissed:
    """Operators took a router or relay out of service: it is not waited for any more, until it polls
    again."""

    name: str


@dataclass(frozen=True, slots=True)
class Answer:
    """The body of a poll's answer, JSON; one object for all that are told the same."""

    poller: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer 503.  ``why``: ``no-state``, ``polls-full`` or ``routers-full``."""

    poller: int
    why: str


RelayEvent = (
    Started | TimerFired | Attached | ListTold | PurgeTold | Confirmed | Polled | PollerGone | Dismissed
)
RelayAction = Answer | Refuse | SetTimer | Notice


@dataclass(frozen=True, slots=True)
class Status:
    """``head`` is the last number told; ``age_ms`` None before the first ``Confirmed``; ``purges`` that
    hold."""

    ready: bool
    epoch: str
    head: int
    done: int
    age_ms: float | None
    seq: int | None
    shelfs: int
    purges: int
    log_events: int
    log_bytes: int
    waiting: int
    present: int
    cut_off: int
    forgotten: int
    faults: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class PurgeStanding:
    """A purge under the relay's own number.  ``done_since`` None: ``unconfirmed`` have not confirmed it,
    some of them are ``names``."""

    number: int
    key: str | None
    family: int
    when_ms: float
    told_at: float
    done_since: float | None
    unconfirmed: int
    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RouterStanding:
    """Who has not confirmed the head.  ``state`` is ``lagging`` or ``cut-off``; ``since`` it has not; of a
    relay ``unconfirmed`` and ``names`` are those behind it, as it last said."""

    name: str
    role: str
    state: str
    since: float
    unconfirmed: int
    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class HandedUp:
    """For the relay's own poll: ``done``, ``behind`` and ``names`` of ``docs/design/control.md``."""

    done: int
    behind: int
    names: tuple[str, ...]
