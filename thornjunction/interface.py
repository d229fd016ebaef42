"""Events and actions of the router's decisions, and the settings they follow.

All times are floats in milliseconds: spans, or points of the caller's own monotonic clock, whose zero is
arbitrary.  All sizes are in KB.

A caller builds one ``Router(settings, seed, name)`` (``thornjunction.policy.router``) per process start,
hands it each event together with the time at which it happened, and carries out the returned actions at that
same time and in their order.  Routers read no clock, do no I/O and share no state.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Safety(Enum):
    """What it does to the system to run a request of a class more than once.

    Attributes:
        SAFE: nothing; the request may be repeated at any time.
        KEYED: nothing for as long as the servers discard repeats of its idempotency key.
        UNSAFE: a second effect; the request may be repeated only if no attempt can have run.
    """

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """Which cache servers discard a keyed request that one of them has seen before.

    Attributes:
        ALL: all of them.
        ZONE: those in the zone of the one that saw it.
        CELL: those in the cell of the one that saw it.
    """

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Siblings(Enum):
    """Which edge cache servers may be named as the source from which another fills a miss.

    Attributes:
        NONE: none; only parents and the origin are sources.
        LOCATION: those in the router's own zone.
        ANY: those in any zone.
    """

    NONE = "none"
    LOCATION = "location"
    ANY = "any"


class Notes(Enum):
    """How much the outcomes of attempts tell about the cache fill behind them (``Outcome.note``).

    Attributes:
        ALL: every ``Note``, and the time that the source took.
        HIT: only HIT, FILLED, JOINED and STALE; FILLED stands for FILLED_FROM_ORIGIN too.
        NONE: nothing; every note is ``Note.NONE``.
    """

    ALL = "all"
    HIT = "hit"
    NONE = "none"


class Role(Enum):
    """What kind of server a line of the server list is.

    Attributes:
        EDGE: a cache server that answers clients' requests.
        PARENT: a cache server from which edge cache servers fill their misses.
        ORIGIN: the server that has every object and runs what is not cacheable.
    """

    EDGE = "edge"
    PARENT = "parent"
    ORIGIN = "origin"


class State(Enum):
    """The state of a server in the server list.

    Attributes:
        SERVING: it takes new work.
        DRAINING: it finishes what it has and must get nothing new.
        GONE: it has left the list.
    """

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


class Status(Enum):
    """How an attempt or a health check ended.

    Attributes:
        DONE: it was answered.
        ERROR: the server answered with an error; the request may have run.
        BUSY: the server was full; the request never ran.
        TIMEOUT: no answer came within the attempt's time limit; the request may have run.
        REFUSED: no connection came up; the request never ran.
        RESET: the connection broke; the request may have run.
        CANCELLED: the router cancelled the attempt; the request may have run.
        SKIPPED: the attempt was dropped before it was sent; the request never ran.
        MISS: the server lacks the object and was not to fetch it; the request never ran.
    """

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
    """What an outcome tells about the cache fill behind it; the numbers are those of the wire.

    Attributes:
        NONE: nothing is told.
        HIT: the server had a copy.
        FILLED: the server fetched the object from its source.
        FILLED_FROM_ORIGIN: its source fetched the object from the origin in turn.
        JOINED: the request waited for a fill that was in progress; with MISS: a fill is in progress there.
        STALE: the answer came from a copy past its fresh time.
        SOURCE_REFUSED: the source rejected the fill.
        SOURCE_BROKE: the source was not reached, broke off or ran out of time.
        SOURCE_LACKS: the source lacks the object.
        NO_FILL_PLACE: the server had no capacity for another fill.
        ORIGIN_FAILED: the origin failed behind the source.
    """

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
    """One class of requests, and what its clients expect.

    Attributes:
        name: the class's name in requests.
        aim_ms: latency objective; an answer within it earns the class's whole priority weight.
        give_up_ms: how long a client waits in total, over all of its own retries.
        safety: what it does to run a request more than once.
        aim_stretch: multiple of the request's own transfer time that is added to ``aim_ms``.
        late_worth: share of the priority weight that an answer past the objective earns, 0 to 1.
        worth: priority weight of one request, relative to the other classes.
        group: which servers discard repeats; keyed classes only.
        memory_ms: how long they discard repeats, counted from the first attempt that may have run; keyed
            classes only.
        fresh_ms: how long a copy is fresh; 0: until it is purged.
        grace_ms: how much older than fresh a copy may be where a request asks for that.
        passes: whether requests run at the origin and are never cached.
    """

    name: str
    aim_ms: float
    give_up_ms: float
    safety: Safety
    aim_stretch: float = 0.0
    late_worth: float = 0.0
    worth: float = 1.0
    group: Group = Group.ALL
    memory_ms: float = 0.0
    fresh_ms: float = 0.0
    grace_ms: float = 0.0
    passes: bool = False


@dataclass(frozen=True, slots=True)
class Settings:
    """What a router is configured with at its start; as an event, what holds for requests from then on.

    Attributes:
        classes: all request classes.
        zone: the zone in which this router stands.
        instances: number of routers in all zones.
        zone_fronts: number of routers that serve each zone, by zone.
        max_attempts: attempts of one request at most; further ones end SKIPPED.
        drain_grace_ms: how long after the news of a drain an attempt may still go to the server.
        cold_share: share of its full capacity that an edge cache server has at its start, 0 to 1.
        cold_ms: time after its start by which an edge cache server has its full capacity.
        fall_multiple: an edge cache server that warms up is overloaded when it is sent more than this
            multiple of its present capacity ...
        fall_ms: ... for this long.
        parent_cold_share: as ``cold_share``, of a parent.
        parent_cold_ms: as ``cold_ms``, of a parent.
        parent_fall_multiple: as ``fall_multiple``, of a parent.
        purge_takes_ms: time after a purge by which all caches have dropped the older copies by themselves.
        purge_grace_ms: how long after the news of a purge attempts may still be answered from older copies.
        answer_slack_ms: how long after a client's deadline its final answer still counts.
        flow_kb_per_ms: transfer rate to one client at most; 0: not given.
        weighted: whether a server's weight is its capacity, counted in transfers at that rate.
        may_cancel: whether attempts may be cancelled.
        may_copy: whether two attempts of one request may be in flight together (hedged requests).
        may_probe: whether the router may send health checks.
        may_bypass: whether requests may go to a parent or the origin without an edge cache server.
        may_join: whether a request may wait for a fill that is in progress.
        may_advise_wait: whether a rejection may carry a Retry-After time.
        max_wait_advice_ms: longest Retry-After time that clients respect.
        siblings: which edge cache servers may be sources of a fill.
        notes: how much outcomes tell about fills.
        zone_hub: by zone, the zone of its hub, where its nearest parents stand.
        zone_link_kb_per_ms: by zone, the capacity of its inbound link; zones without a figure are left out.
    """

    classes: tuple[RequestClass, ...]
    zone: str
    instances: int
    zone_fronts: Mapping[str, int]
    max_attempts: int
    drain_grace_ms: float
    cold_share: float
    cold_ms: float
    fall_multiple: float
    fall_ms: float
    parent_cold_share: float = 1.0
    parent_cold_ms: float = 0.0
    parent_fall_multiple: float = 2.0
    purge_takes_ms: float = 0.0
    purge_grace_ms: float = 0.0
    answer_slack_ms: float = 0.0
    flow_kb_per_ms: float = 0.0
    weighted: bool = False
    may_cancel: bool = False
    may_copy: bool = False
    may_probe: bool = False
    may_bypass: bool = False
    may_join: bool = False
    may_advise_wait: bool = False
    max_wait_advice_ms: float = 0.0
    siblings: Siblings = Siblings.NONE
    notes: Notes = Notes.NONE
    zone_hub: Mapping[str, str] = field(default_factory=dict)
    zone_link_kb_per_ms: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Report:
    """A server's load report; a value that was not reported is None.

    Attributes:
        busy: share of its cores in use, 0 to 1.
        hit_share: share of recent requests that were cache hits, 0 to 1.
        link: of an edge cache server, the utilization of its zone's inbound link: transfers in progress over
            those that fit at full rate.
    """

    busy: float | None = None
    hit_share: float | None = None
    link: float | None = None


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One line of the server list.

    Attributes:
        server: the server's name, an opaque identifier.
        role: its kind.
        zone: the zone in which it stands.
        state: whether it may get new work.
        weight: its capacity relative to other servers; with ``Settings.weighted``, in concurrent transfers.
        cell: the cell whose servers discard each other's repeats (``Group.CELL``).
        started_ms: time of its last start on the caller's clock; 0: long ago.
    """

    server: str
    role: Role
    zone: str
    state: State = State.SERVING
    weight: float = 1.0
    cell: int = 0
    started_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Servers:
    """The server list or its changes; a router's first event.

    Attributes:
        entries: the servers that are listed or have changed.
        whole: whether this is the complete list, from which every server not named in it is gone.
    """

    entries: tuple[ServerEntry, ...]
    whole: bool = True


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request; the caller owes exactly one final answer within ``left_ms``.

    Attributes:
        request: identifier, unique per router; actions and events carry it back.
        class_name: the name of its class.
        key: the object that it asks for.
        left_ms: how much longer the client waits.
        part: which part of the object, from 0; each part is cached separately.
        group: the group to which the object belongs (for purges).
        size_kb: size of the part; 0: not known.
        idempotency_key: the same in all of a client's retries of one request, keyed classes only; empty: not
            known.
    """

    request: str
    class_name: str
    key: int
    left_ms: float
    part: int = 0
    group: int = 0
    size_kb: float = 0.0
    idempotency_key: str = ""


@dataclass(frozen=True, slots=True)
class Outcome:
    """How an attempt ended; reported exactly once per ``Fetch``.

    Attributes:
        request: the request's identifier.
        attempt: the attempt's number; 0 is the first of its request.
        server: the server to which it was sent.
        status: how it ended.
        took_ms: time from its start to its end.
        note: what is known of the fill behind it.
        source_wait_ms: time from the start of the fill's last attempt to its first byte or its failure; None:
            not known.
        final: whether the request has its final answer; if not, the caller still owes it.
        report: the server's load report, where one came with the answer.
        size_kb: size of what was served, where it is known from the bytes; 0: not known.
    """

    request: str
    attempt: int
    server: str
    status: Status
    took_ms: float = 0.0
    note: Note = Note.NONE
    source_wait_ms: float | None = None
    final: bool = False
    report: Report | None = None
    size_kb: float = 0.0


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client left; no answer is owed for the request any more.

    Attributes:
        request: the request's identifier.
    """

    request: str


@dataclass(frozen=True, slots=True)
class TimeUp:
    """The caller cannot wait for this request any longer, though its client would: answer it now.

    Attributes:
        request: the request's identifier.
    """

    request: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the router set is due.

    Attributes:
        token: the token of its ``SetTimer``.
    """

    token: int


@dataclass(frozen=True, slots=True)
class Purged:
    """Copies that left the origin before the purge are out of date: those of one object, or of a group.

    Attributes:
        group: the group that was purged, or to which the purged object belongs.
        age_ms: how long ago the purge was made.
        key: the object that was purged; None: the whole group.
    """

    group: int
    age_ms: float
    key: int | None = None


@dataclass(frozen=True, slots=True)
class Probed:
    """The result of a health check.

    Attributes:
        server: the server that was checked.
        status: how the check ended; DONE: the server is healthy.
        took_ms: time from its start to its end.
        report: the server's load report, where one came with the answer.
    """

    server: str
    status: Status
    took_ms: float = 0.0
    report: Report | None = None


Event = Settings | Servers | Request | Outcome | ClientGone | TimeUp | TimerFired | Purged | Probed


@dataclass(frozen=True, slots=True)
class Fetch:
    """Send the request to a server.  The attempts of one request are numbered from 0 in the order sent.

    Attributes:
        request: the request's identifier.
        server: where to send it.
        timeout_ms: time limit of the attempt, from now.
        source: the server from which a miss is filled; ``server`` itself: a miss is not filled.
        rank: retention priority at which the copy is cached, 1 to 3, where 3 is kept longest; 0: not cached.
        max_age_ms: greatest age of a copy that may be served, at the server or the source; 0: the class's
            fresh time.
        join: whether to wait for a fill that is in progress.
        renew: whether to serve an ageing copy and refresh it in the background.
        held_only: whether the source may give only what it has in its cache.
        start_ms: an attempt that has not begun so many ms after the decision ends SKIPPED, having never run.
    """

    request: str
    server: str
    timeout_ms: float
    source: str
    rank: int = 0
    max_age_ms: float = 0.0
    join: bool = False
    renew: bool = False
    held_only: bool = False
    start_ms: float = math.inf


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt.

    Proves nothing about whether it ran; an attempt that had not begun ends SKIPPED and never ran.

    Attributes:
        request: the request's identifier.
        attempt: the attempt's number.
    """

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not served, and safe to retry.

    Attributes:
        request: the request's identifier.
        wait_ms: Retry-After time for the client; 0: none.
    """

    request: str
    wait_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: not served, and the request may have run.

    Attributes:
        request: the request's identifier.
    """

    request: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver ``TimerFired(token)`` after a time.

    Attributes:
        in_ms: time from now.
        token: identifies the timer.
    """

    in_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Send a health check to a server.

    Attributes:
        server: the server's name.
    """

    server: str


Action = Fetch | Cancel | Refuse | Fail | SetTimer | Probe
