"""Enumerations of the interface: properties of request classes and servers, and results of attempts."""

from __future__ import annotations

from enum import Enum, IntEnum


class Idempotency(Enum):
    """The effect of running a request of a class more than once.

    Attributes:
        IDEMPOTENT: none; the request may be repeated at any time.
        KEYED: none while the servers discard repeats of its idempotency key.
        NON_IDEMPOTENT: a second effect; the request may be repeated only if no attempt can have run.
    """

    IDEMPOTENT = "safe"
    KEYED = "keyed"
    NON_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """Which cache servers discard a repeated keyed request after one of them has received it.

    Attributes:
        ALL: all cache servers.
        ZONE: the cache servers in the zone of the one that received it.
        CELL: the cache servers in the cell of the one that received it.
    """

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class PeerFill(Enum):
    """Which edge cache servers may be named as the source from which another fills a miss.

    Attributes:
        NONE: none; only parents and the origin are sources.
        ZONE: edge cache servers in the router's own zone.
        ANY: edge cache servers in any zone.
    """

    NONE = "none"
    ZONE = "location"
    ANY = "any"


class FillReporting(Enum):
    """Which results of cache fills are reported with the ends of attempts (``AttemptEnded.fill_result``).

    Attributes:
        ALL: every ``FillResult``, and the time that the source took.
        HIT: only HIT, FILLED, JOINED and STALE; FILLED is also reported for FILLED_FROM_ORIGIN.
        NONE: none; ``fill_result`` is always ``FillResult.NONE``.
    """

    ALL = "all"
    HIT = "hit"
    NONE = "none"


class Role(Enum):
    """The kind of a server in the endpoint list.

    Attributes:
        EDGE: a cache server that answers clients' requests.
        PARENT: a cache server from which edge cache servers fill their misses.
        ORIGIN: the server that has every object and runs requests that are not cacheable.
    """

    EDGE = "edge"
    PARENT = "parent"
    ORIGIN = "origin"


class ServerState(Enum):
    """The state of a server in the endpoint list.

    Attributes:
        SERVING: it accepts new attempts.
        DRAINING: it finishes the attempts that it has and must get no new ones.
        REMOVED: it is not in the list any more.
    """

    SERVING = "serving"
    DRAINING = "draining"
    REMOVED = "gone"


class AttemptStatus(Enum):
    """How an attempt or a health check ended.

    Attributes:
        SUCCEEDED: the server answered without an error.
        ERROR: the server answered with an error; the request may have run.
        OVERLOADED: the server rejected it for lack of capacity; the request never ran.
        TIMEOUT: no answer came within the attempt's time limit; the request may have run.
        CONNECTION_REFUSED: no connection could be established; the request never ran.
        CONNECTION_RESET: the connection was lost; the request may have run.
        CANCELLED: the router cancelled the attempt; the request may have run.
        NOT_STARTED: the attempt ended before it was sent; the request never ran.
        CACHE_MISS: the server had no copy and was not to fill the miss; the request never ran.
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
    """The result of the cache fill of an attempt; the values are the numbers on the wire.

    Attributes:
        NONE: not reported.
        HIT: the server had a copy; there was no fill.
        FILLED: the server fetched the object from its source.
        FILLED_FROM_ORIGIN: the server's source fetched the object from the origin for this fill.
        JOINED: the request waited for a fill in progress; with status CACHE_MISS: a fill is in progress.
        STALE: the answer came from a copy older than its freshness time.
        SOURCE_REFUSED: the source rejected the fill.
        SOURCE_FAILED: the source was not reached, closed the connection early or timed out.
        SOURCE_MISS: the source had no copy of the object.
        NO_FILL_CAPACITY: the server had no capacity for another fill.
        ORIGIN_FAILED: the source's own fetch from the origin failed.
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
