"""Idempotency: which requests may have been executed, and where and when they may be sent again.

This is rule 2 of the simulator. It holds over all attempts of a client under one idempotency key.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from thornjunction import interface as api

# Keys of requests that may have been executed; while the table is full, no request with a new key is sent.
MAX_KEYS = 8192
# Time for which a key is kept: a client sends its later attempts within ten minutes.
KEY_LIFETIME_MS = 600_000.0

# Statuses of an attempt that prove that the request was not executed.
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
    """The time and server of the first attempt that may have executed a request.

    It has no reference to the request, which takes about 1 KB and would be kept as long as the key.
    """

    sent_at_ms: float
    server: api.ServerEntry


def repeat_window_ms(
    request_class: api.RequestClass, execution: PossibleExecution | None, now_ms: float
) -> float:
    """Return for how many ms the servers that may have executed a request will still discard its repeat."""
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
    """Return whether an attempt at this server cannot execute the request a second time with an effect.

    Either the request was not executed yet, or this server discards its repeat for the next ``window_ms``
    (see ``repeat_window_ms``).
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
        """Return whether an attempt under this key can be recorded, after expired keys were removed.

        A request without a key (the empty string) needs no entry.
        """
        while self.by_key:
            oldest = next(iter(self.by_key))
            if now_ms - self.by_key[oldest].sent_at_ms <= KEY_LIFETIME_MS:
                break
            del self.by_key[oldest]
        return not key or key in self.by_key or len(self.by_key) < MAX_KEYS

    def record(self, key: str, execution: PossibleExecution) -> None:
        """Record an attempt that is sent, unless an earlier one is recorded under the key."""
        self.by_key.setdefault(key, execution)

    def withdraw(self, key: str, execution: PossibleExecution, successor: PossibleExecution | None) -> None:
        """Remove an attempt that was not executed; ``successor``, if any, replaces it."""
        if self.by_key.get(key) is not execution:
            return
        del self.by_key[key]
        if successor is not None:
            self.by_key[key] = successor
