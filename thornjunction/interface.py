"""What goes into a router and what comes out: settings, events and actions.

Every time is in milliseconds, as a float, on the caller's own monotonic clock (any zero will do); every
size is in KB.  A caller builds one ``Router(settings, seed)`` (``thornjunction.policy.router``) per life of a
front, hands it each event together with the time at which it happened, and carries out the returned
actions at that same time and in their order.  Routers hold no clock, do no I/O and share nothing.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Safety(Enum):
    """What repeating a request of a class does."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """Which caches discard a keyed request that one of them has seen."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Siblings(Enum):
    """Which edge caches may be named as the source of a fill."""

    NONE = "none"
    LOCATION = "location"
    ANY = "any"


class Notes(Enum):
    """How much the outcomes of attempts tell about fills."""

    ALL = "all"
    HIT = "hit"
    NONE = "none"


class Role(Enum):
    """What a listed server is."""

    EDGE = "edge"
    PARENT = "parent"
    ORIGIN = "origin"


class State(Enum):
    """What the list of servers says of one."""

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


class Status(Enum):
    """How an attempt or a probe ended."""

    DONE = "done"
    ERROR = "error"
    BUSY = "busy"
    TIMEOUT = "timeout"
    REFUSED = "connection refused"
    RESET = "connection reset"
    CANCELLED = "cancelled"
    SKIPPED = "skipped"
    MISS = "miss"


class Note(IntEnum):
    """What an outcome says of the fill behind it."""

    NONE = 0
    HIT = 1
    FILLED = 2
    FILLED_FROM_ORIGIN = 3
    JOINED = 4
    STALE = 5
    SOURCE_REFUSED = 6
    SOURCE_BROKE = 7
    SOURCE_LACKS = 8
    NO_FILL_PLACE = 9
    ORIGIN_FAILED = 10


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests and what its clients expect."""

    name: str
    aim_ms: float
    give_up_ms: float
    safety: Safety
    aim_stretch: float = 0.0  # the aim grows by this multiple of the request's own sending time
    late_worth: float = 0.0  # share of the worth that an answer past the aim still earns
    worth: float = 1.0
    group: Group = Group.ALL  # keyed classes only
    memory_ms: float = 0.0  # keyed classes only: how long repeats are discarded
    fresh_ms: float = 0.0  # 0: a copy is good until it is purged
    grace_ms: float = 0.0  # how much older than fresh a copy may be where that is asked for
    passes: bool = False  # never kept; runs at the origin


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a router is told at its start; as an event, what holds for requests from then on."""

    classes: tuple[RequestClass, ...]
    zone: str  # where this front stands
    instances: int  # fronts in all
    zone_fronts: Mapping[str, int]  # by zone: fronts that serve it
    max_attempts: int
    drain_grace_ms: float
    cold_share: float  # of its capacity, that an edge cache has at its start
    cold_ms: float  # by then it is warm
    fall_multiple: float  # sent more than this multiple of its present capacity ...
    fall_ms: float  # ... for this long, a cold server falls over
    parent_cold_share: float = 1.0
    parent_cold_ms: float = 0.0
    parent_fall_multiple: float = 2.0
    purge_takes_ms: float = 0.0  # by then all caches have dropped what was purged
    purge_grace_ms: float = 0.0
    answer_slack_ms: float = 0.0
    flow_kb_per_ms: float = 0.0  # most that one transfer to a client gets; 0: not told
    weighted: bool = False  # a server's weight is its size in such transfers
    may_cancel: bool = False
    may_copy: bool = False  # two attempts of a request may be out together
    may_probe: bool = False
    may_bypass: bool = False  # requests may go straight to a parent or the origin
    may_join: bool = False  # a request may wait for a fill that is under way
    may_advise_wait: bool = False
    max_wait_advice_ms: float = 0.0
    siblings: Siblings = Siblings.NONE
    notes: Notes = Notes.NONE
    zone_hub: Mapping[str, str] = field(default_factory=dict)
    zone_link_kb_per_ms: Mapping[str, float] = field(default_factory=dict)  # empty: not told


@dataclass(frozen=True, slots=True)
class Report:
    """A server's load report; what was not told is None."""

    busy: float | None = None  # share of its cores in use
    hit_share: float | None = None
    link: float | None = None  # an edge cache: how full its location's link is


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One line of the list of servers."""

    server: str
    role: Role
    zone: str
    state: State = State.SERVING
    weight: float = 1.0
    cell: int = 0
    started_ms: float = 0.0  # clock time of its last start; 0: long ago


@dataclass(frozen=True, slots=True)
class Servers:
    """The list of servers, whole (then who is not on it is gone) or its changes.  First event of a life."""

    entries: tuple[ServerEntry, ...]
    whole: bool = True


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request; this front now owes exactly one final answer within ``left_ms``."""

    request: str
    class_name: str
    key: int
    left_ms: float
    part: int = 0
    group: int = 0
    size_kb: float = 0.0  # 0: not told
    idempotency_key: str = ""  # keyed classes: the same for all tries of one request; empty: not told


@dataclass(frozen=True, slots=True)
class Outcome:
    """How an attempt ended.  ``final``: the request is answered; else the front still owes the answer."""

    request: str
    attempt: int  # 0 is the first
    server: str
    status: Status
    took_ms: float = 0.0
    note: Note = Note.NONE
    source_wait_ms: float | None = None  # start of the fill's last try to its first byte or failure
    final: bool = False
    report: Report | None = None
    size_kb: float = 0.0  # of what was served, where its bytes tell; 0: not told


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client left; nothing is owed for the request any more."""

    request: str


@dataclass(frozen=True, slots=True)
class TimeUp:
    """The front can wait for this request no longer, though its client would: its answer is due now."""

    request: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the router asked for is due."""

    token: int


@dataclass(frozen=True, slots=True)
class Purged:
    """Copies older than ``age_ms`` ago are out of date: of one object, or (no key) of a group."""

    group: int
    age_ms: float
    key: int | None = None


@dataclass(frozen=True, slots=True)
class Probed:
    """What became of a probe."""

    server: str
    status: Status
    took_ms: float = 0.0
    report: Report | None = None


Event = Settings | Servers | Request | Outcome | ClientGone | TimeUp | TimerFired | Purged | Probed


@dataclass(frozen=True, slots=True)
class Fetch:
    """Send the request to a server.  Attempts of one request are numbered from 0 in the order sent."""

    request: str
    server: str
    timeout_ms: float
    source: str  # where a miss is filled from; the server itself: no fill
    rank: int = 0  # 1 to 3: keep at this rank, 3 stays longest; 0: pass through
    max_age_ms: float = 0.0  # oldest copy that will do, here or at the source; 0: the class's fresh time
    join: bool = False  # wait for a fill that is under way
    renew: bool = False  # serve an ageing copy and fetch it anew behind
    held_only: bool = False  # the source gives only what it holds
    start_ms: float = math.inf  # not begun so many ms after the decision, it ends SKIPPED: it never ran


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt.  Proves nothing of whether it ran; one that had not begun ends SKIPPED."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not served, and safe to try again."""

    request: str
    wait_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: not served, and no promise of what happened."""

    request: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver ``TimerFired(token)`` in ``in_ms`` from now."""

    in_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a server for its health."""

    server: str


Action = Fetch | Cancel | Refuse | Fail | SetTimer | Probe
