"""Actions that a router returns and the caller carries out, in their order."""

from __future__ import annotations

import math
from dataclasses import dataclass

from thornjunction.interface.servers import PossibleExecution


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send the request to a server.  The attempts of one request are numbered from 0 in the order sent.

    Attributes:
        request_id: the request's identifier.
        server: the server to which to send it.
        timeout_ms: time limit of the attempt, from its start.
        source: the server from which ``server`` fills a cache miss; ``server`` itself: a miss is not filled.
        retention_rank: retention priority at which a filled copy is cached, 1 to 3, where 3 is kept longest;
            0: it is not cached.
        max_age_ms: greatest age of a copy that the server or the source may serve; 0: the class's freshness
            time.
        coalesce: whether a miss waits for a fill of the object that is in progress.
        refresh_in_background: whether an ageing copy is served and refreshed in the background.
        cached_only: whether the source may serve only a copy from its cache.
        start_within_ms: time from the decision after which an attempt that has not begun ends NOT_STARTED
            and never runs.
        execution: the possible execution to record before the attempt is sent; None: the request has no
            idempotency key.
    """

    request_id: str
    server: str
    timeout_ms: float
    source: str
    retention_rank: int = 0
    max_age_ms: float = 0.0
    coalesce: bool = False
    refresh_in_background: bool = False
    cached_only: bool = False
    start_within_ms: float = math.inf
    execution: PossibleExecution | None = None


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt.

    A cancelled attempt may have run, except one that had not begun: it ends NOT_STARTED and never ran.

    Attributes:
        request_id: the request's identifier.
        attempt_number: the attempt's number within the request.
    """

    request_id: str
    attempt_number: int


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Final answer: not served, and safe to retry.

    Attributes:
        request_id: the request's identifier.
        retry_after_ms: Retry-After time for the client; 0: none.
    """

    request_id: str
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: not served, and the request may have run.

    Attributes:
        request_id: the request's identifier.
    """

    request_id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Pass ``TimerFired(token)`` to the router after a time.

    Attributes:
        in_ms: time from the action until the timer is due.
        token: identifies the timer.
    """

    in_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Send a health check to a server.

    Attributes:
        server: the server's name.
    """

    server: str


Action = StartAttempt | CancelAttempt | RejectRequest | FailRequest | SetTimer | CheckHealth
