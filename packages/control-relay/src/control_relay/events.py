"""Events and actions of ``Relay``, and the reports that it gives about itself.

Times are milliseconds on the caller's monotonic clock unless a name contains ``unix``.  Values that come from
the network are not trusted: a value of the wrong type or range is replaced by the field's default.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import Any

from sansio_core import Notice, SetTimer, Started, TimerFired

# One endpoint in its wire form: ``host``, ``dial``, ``site`` and so on; unknown keys are passed on.
Endpoint = Mapping[str, Any]


class PollerRole(StrEnum):
    """Who sends a poll; the values are those of the wire format.  An unknown value counts as ``ROUTER``."""

    ROUTER = "router"
    RELAY = "relay"
    # A relay of the same level, which is served without being tracked as a member.
    SIBLING = "sibling"
    # A health check: answered at once with the age alone.  A probe with a name deregisters its sender.
    PROBE = "probe"


class RejectReason(StrEnum):
    """Why a poll is answered with status 503; the values appear in logs and counters."""

    NO_STATE = "no-state"
    POLLS_FULL = "polls-full"
    ROUTERS_FULL = "routers-full"


class MemberState(StrEnum):
    """State of a member that lacks events; the values are those that the admin endpoint shows."""

    LAGGING = "lagging"
    UNREACHABLE = "cut-off"


class Readiness(Enum):
    """Whether a relay can serve.  It becomes ready once and stays so."""

    NO_STATE = "no-state"
    READY = "ready"


@dataclass(frozen=True, slots=True)
class UpstreamChanged:
    """The relay now follows another upstream, or the same one in a new epoch: event numbers restart."""


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """The upstream sent its endpoint list, or changes of it.

    ``number`` is the upstream's event number, and ``seq`` discovery's version of the list, None where it
    could not be read.  Endpoints that cannot be read are counted as faults.
    """

    number: int
    seq: int | None
    is_complete: bool
    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class PurgeReceived:
    """The upstream sent a purge of an object (``key``, hexadecimal) or of a group (``key`` is None).

    With a key, ``group`` is the object's group, or -1 where it is unknown.  A non-finite ``issued_unix_ms``
    could not be read: the purge counts as issued now.  ``age_ms`` is a lower bound of the time since it was
    issued, 0 where that is unknown; it shortens the retention.
    """

    number: int
    key: str | None
    group: int
    issued_unix_ms: float
    age_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class UpstreamConfirmed:
    """A response of the upstream was received completely.

    Everything received so far was current ``age_ms`` ago or later.  ``number`` is the upstream's event number
    up to which everything was processed, 0 for that of the last event received.  Only what a confirmation
    covers is ever reported upstream as acknowledged.  The first one after a complete list makes the relay
    ready.
    """

    age_ms: float
    number: int = 0


@dataclass(frozen=True, slots=True)
class PollRequest:
    """The content of a poll.

    ``resume`` is the number of the last event that the poller has, and ``epoch`` the epoch of that number,
    empty where the poll states none.  ``name`` is empty for a poller that is known by its connection only.
    The last three fields are a relay's ``UpstreamProgress``.
    """

    resume: int
    block_ms: float
    epoch: str = ""
    role: str = PollerRole.ROUTER
    name: str = ""
    acknowledged: int = 0
    lagging_count: int = 0
    lagging_names: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class PollReceived:
    """A poll arrived on connection ``poller``.  An earlier poll of the same connection gets no response."""

    poller: int
    request: PollRequest


@dataclass(frozen=True, slots=True)
class PollerDisconnected:
    """A connection ended; its poll gets no response."""

    poller: int


@dataclass(frozen=True, slots=True)
class MemberDeregistered:
    """Operators took a router or relay out of service: it is no member until it polls again."""

    name: str


@dataclass(frozen=True, slots=True)
class SendResponse:
    """Answer a poll with this JSON body; members that lack the same events share one object."""

    poller: int
    body: bytes


@dataclass(frozen=True, slots=True)
class RejectPoll:
    """Answer a poll with status 503."""

    poller: int
    reason: RejectReason


RelayEvent = (
    Started
    | TimerFired
    | UpstreamChanged
    | EndpointListUpdate
    | PurgeReceived
    | UpstreamConfirmed
    | PollReceived
    | PollerDisconnected
    | MemberDeregistered
)
RelayAction = SendResponse | RejectPoll | SetTimer | Notice


@dataclass(frozen=True, slots=True)
class RelayStatus:
    """Readiness, event numbers, sizes and counts of a relay.

    ``head`` is the last delivered event number and ``acknowledged`` the last one that all members have
    acknowledged.  ``age_ms`` is None until discovery has confirmed the state.
    """

    ready: bool
    epoch: str
    head: int
    acknowledged: int
    age_ms: float | None
    seq: int | None
    endpoints: int
    purges: int
    log_events: int
    log_bytes: int
    pending_polls: int
    reachable_members: int
    unreachable_members: int
    evicted_members: int
    faults: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class PurgeStatus:
    """Propagation of a purge, under the relay's own event number.

    While ``propagated_at_ms`` is None, ``lagging_count`` routers have not acknowledged it, some of which are
    ``lagging_names``.
    """

    number: int
    key: str | None
    group: int
    issued_unix_ms: float
    received_at_ms: float
    propagated_at_ms: float | None
    lagging_count: int
    lagging_names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """A member that has not acknowledged the last delivered event.

    It has lacked a delivered event since ``lagging_since_ms``.  For a relay the last two fields describe the
    routers below it, as it reported them last.
    """

    name: str
    role: PollerRole
    state: MemberState
    lagging_since_ms: float
    lagging_count: int
    lagging_names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class UpstreamProgress:
    """What a relay reports with its own polls (``done``, ``behind`` and ``names`` on the wire).

    ``acknowledged`` is in the upstream's numbers; ``lagging_count`` routers have acknowledged nothing later.
    """

    acknowledged: int
    lagging_count: int
    lagging_names: tuple[str, ...]
