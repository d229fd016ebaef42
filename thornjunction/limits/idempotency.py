"""Rule 2, over all attempts of a client: which keyed request may have been executed, when and where."""

from __future__ import annotations

import math
from dataclasses import dataclass

from thornjunction import interface as api

# Keys of requests that may have been executed; where the table is full, no new key is sent.
MOST_KEYS = 8192
# How long a key is known: a client's later attempts come within ten minutes.
KEY_LIFETIME_MS = 600_000.0

# Ends of an attempt that prove that the request was not executed.
NEVER_EXECUTED = frozenset(
    {
        api.AttemptStatus.OVERLOADED,
        api.AttemptStatus.CONNECTION_REFUSED,
        api.AttemptStatus.NOT_STARTED,
        api.AttemptStatus.CACHE_MISS,
    }
)


@dataclass(frozen=True, slots=True)
class PossibleExecution:
    """When and where a request may have been executed first.

    It refers to no request: a request takes about 1 KB, and a key is kept for ten minutes.
    """

    sent_at_ms: float
    server: api.ServerEntry


def repeat_window_ms(
    request_class: api.RequestClass, execution: PossibleExecution | None, now_ms: float
) -> float:
    """Return for how long a repeat is still discarded by the servers that may have executed the request."""
    if execution is None or request_class.idempotency is api.Idempotency.IDEMPOTENT:
        return math.inf
    if request_class.idempotency is api.Idempotency.KEYED:
        return execution.sent_at_ms + request_class.deduplication_window_ms - now_ms
    return -math.inf


def is_repeat_safe(
    request_class: api.RequestClass,
    execution: PossibleExecution | None,
    entry: api.ServerEntry,
    window_ms: float,
) -> bool:
    """Decide whether an attempt at this server can have no second effect.

    Either nothing was executed yet, or this server discards the repeat and does so for the next
    ``window_ms`` (see ``repeat_window_ms``).
    """
    if execution is None or request_class.idempotency is api.Idempotency.IDEMPOTENT:
        return True
    if window_ms <= 0:
        return False
    match request_class.deduplication_scope:
        case api.DeduplicationScope.ALL:
            return True
        case api.DeduplicationScope.ZONE:
            return execution.server.zone == entry.zone
        case api.DeduplicationScope.CELL:
            return execution.server.cell == entry.cell


class ExecutionTable:
    """The first attempt that may have been executed, by idempotency key."""

    def __init__(self) -> None:
        self.by_key: dict[str, PossibleExecution] = {}

    def get(self, key: str) -> PossibleExecution | None:
        """Return the first attempt under a key that may have been executed."""
        return self.by_key.get(key)

    def has_capacity_for(self, key: str, now_ms: float) -> bool:
        """Tell whether an attempt under this key could be noted; expired keys are dropped first.

        A request without a key (the empty string) needs no place.
        """
        while self.by_key:
            oldest = next(iter(self.by_key))
            if now_ms - self.by_key[oldest].sent_at_ms <= KEY_LIFETIME_MS:
                break
            del self.by_key[oldest]
        return not key or key in self.by_key or len(self.by_key) < MOST_KEYS

    def note(self, key: str, execution: PossibleExecution) -> None:
        """Note an attempt that is sent, unless an earlier one stands under the key."""
        self.by_key.setdefault(key, execution)

    def withdraw(self, key: str, execution: PossibleExecution, successor: PossibleExecution | None) -> None:
        """Take back an attempt that proved not executed; another in flight takes its place, if any."""
        if self.by_key.get(key) is not execution:
            return
        del self.by_key[key]
        if successor is not None:
            self.by_key[key] = successor
