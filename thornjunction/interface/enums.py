"""Enumerations of the interface: classes of requests, servers, and outcomes."""

from __future__ import annotations

from enum import Enum, IntEnum


class Idempotency(Enum):
    """What it does to the system to run a request of a class more than once.

    Attributes:
        IDEMPOTENT: nothing; the request may be repeated at any time.
        KEYED: nothing for as long as the servers discard repeats of its idempotency key.
        NON_IDEMPOTENT: a second effect; the request may be repeated only if no attempt can have run.
    """

    IDEMPOTENT = "safe"
    KEYED = "keyed"
    NON_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """Which cache servers discard a keyed request that one of them has seen before.

    Attributes:
        ALL: all of them.
        ZONE: those in the zone of the one that saw it.
        CELL: those in the cell of the one that saw it.
    """

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class PeerFill(Enum):
    """Which edge cache servers may be named as the source from which another fills a miss.

    Attributes:
        NONE: none; only parents and the origin are sources.
        LOCATION: those in the router's own zone.
        ANY: those in any zone.
    """

    NONE = "none"
    LOCATION = "location"
    ANY = "any"


class FillReporting(Enum):
    """How much the outcomes of attempts tell about the cache fill behind them (``AttemptEnded.fill_result``).

    Attributes:
        ALL: every ``FillResult``, and the time that the source took.
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


class ServerState(Enum):
    """The state of a server in the server list.

    Attributes:
        SERVING: it takes new work.
        DRAINING: it finishes what it has and must get nothing new.
        REMOVED: it has left the list.
    """

    SERVING = "serving"
    DRAINING = "draining"
    REMOVED = "gone"


class AttemptStatus(Enum):
    """How an attempt or a health check ended.

    Attributes:
        SUCCEEDED: it was answered.
        ERROR: the server answered with an error; the request may have run.
        OVERLOADED: the server was full; the request never ran.
        TIMEOUT: no answer came within the attempt's time limit; the request may have run.
        CONNECTION_REFUSED: no connection came up; the request never ran.
        CONNECTION_RESET: the connection broke; the request may have run.
        CANCELLED: the router cancelled the attempt; the request may have run.
        NOT_STARTED: the attempt was dropped before it was sent; the request never ran.
        CACHE_MISS: the server lacks the object and was not to fetch it; the request never ran.
    """

    SUCCEEDED = "done"
    ERROR = "error"
    OVERLOADED = "busy"
    TIMEOUT = "timeout"
    CONNECTION_REFUSED = "connection refused"
    CONNECTION_RESET = "connection reset"
    CANCELLED = "cancelled"
    NOT_STARTED = "skipped"
    CACHE_MISS = "miss"


class FillResult(IntEnum):
    """What an outcome tells about the cache fill behind it; the numbers are those of the wire.

    Attributes:
        NONE: nothing is told.
        HIT: the server had a copy.
        FILLED: the server fetched the object from its source.
        FILLED_FROM_ORIGIN: its source fetched the object from the origin in turn.
        JOINED: the request waited for a fill that was in progress; with MISS: a fill is in progress there.
        STALE: the answer came from a copy past its fresh time.
        SOURCE_REFUSED: the source rejected the fill.
        SOURCE_FAILED: the source was not reached, broke off or ran out of time.
        SOURCE_MISS: the source lacks the object.
        NO_FILL_CAPACITY: the server had no capacity for another fill.
        ORIGIN_FAILED: the origin failed behind the source.
    """

    NONE = 0
    HIT = 1
    FILLED = 2
    FILLED_FROM_ORIGIN = 3
    JOINED = 4
    STALE = 5
    SOURCE_REFUSED = 6
    SOURCE_FAILED = 7
    SOURCE_MISS = 8
    NO_FILL_CAPACITY = 9
    ORIGIN_FAILED = 10
