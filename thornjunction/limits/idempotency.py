"""Idempotency: which requests may have been executed, and where and when they may be sent again.

This is rule 2 of the simulator. It holds over all attempts of a client under one idempotency key.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from thornjunction import interface as api

# Keys of requests that may have been executed; while the table is full, no request with a new key is sent.
MAX_KEYS = 8192
# Possible executions on record under one key; beyond them no attempt is sent under it.
MAX_EXECUTIONS_PER_KEY = 32
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


def repeat_window_ms(
    request_class: api.RequestClass, execution: api.PossibleExecution | None, now_ms: float
) -> float:
    """Return for how many ms the servers that may have executed a request will still discard its repeat."""
    if execution is None or request_class.idempotency is api.Idempotency.IDEMPOTENT:
        return math.inf
    if request_class.idempotency is api.Idempotency.KEYED:
        return execution.sent_at_ms + request_class.deduplication_window_ms - now_ms
    return -math.inf


def is_repeat_safe(
    request_class: api.RequestClass,
    execution: api.PossibleExecution | None,
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
            return execution.zone == entry.zone
        case api.DeduplicationScope.CELL:
            return execution.cell == entry.cell


@dataclass(slots=True)
class KeyExecutions:
    """The possible executions under one idempotency key.

    Attributes:
        sent: those by attempts of this process, in the order sent.
        reported: the first one by another process of this router; None: none.
    """

    sent: list[api.PossibleExecution] = field(default_factory=list)
    reported: api.PossibleExecution | None = None

    def first(self) -> api.PossibleExecution | None:
        """Return the earliest one, from which the repeat window counts; None if there is none."""
        candidates = self.sent[:1]
        if self.reported is not None:
            candidates.append(self.reported)
        return min(candidates, key=_sent_at_ms, default=None)


def _sent_at_ms(execution: api.PossibleExecution) -> float:
    return execution.sent_at_ms


class ExecutionTable:
    """The attempts that may have executed a request, by idempotency key."""

    def __init__(self) -> None:
        self.by_key: dict[str, KeyExecutions] = {}

    def get(self, key: str) -> api.PossibleExecution | None:
        """Return the first attempt under a key that may have been executed."""
        executions = self.by_key.get(key)
        return executions.first() if executions is not None else None

    def has_capacity_for(self, key: str, now_ms: float) -> bool:
        """Return whether an attempt under this key can be recorded, after expired keys were removed.

        A request without a key (the empty string) needs no entry.
        """
        self._remove_expired(now_ms)
        if not key:
            return True
        executions = self.by_key.get(key)
        if executions is None:
            return len(self.by_key) < MAX_KEYS
        return len(executions.sent) < MAX_EXECUTIONS_PER_KEY

    def record(self, key: str, execution: api.PossibleExecution) -> None:
        """Record an attempt that is sent."""
        self.by_key.setdefault(key, KeyExecutions()).sent.append(execution)

    def withdraw(self, key: str, execution: api.PossibleExecution) -> None:
        """Remove an attempt that was not executed; the others under the key stay."""
        executions = self.by_key.get(key)
        if executions is None:
            return
        executions.sent = [other for other in executions.sent if other is not execution]
        self._remove_if_empty(key, executions)

    def report(self, event: api.ExecutionsReported) -> None:
        """Replace what is known of other processes' attempts under a key.

        A key for which the table has no capacity is left out: no attempt is sent under it.
        """
        key = event.idempotency_key
        if key not in self.by_key and len(self.by_key) >= MAX_KEYS:
            return
        executions = self.by_key.setdefault(key, KeyExecutions())
        executions.reported = min(event.executions, key=_sent_at_ms, default=None)
        self._remove_if_empty(key, executions)

    def _remove_expired(self, now_ms: float) -> None:
        while self.by_key:
            oldest = next(iter(self.by_key))
            first = self.by_key[oldest].first()
            if first is not None and now_ms - first.sent_at_ms <= KEY_LIFETIME_MS:
                return
            del self.by_key[oldest]

    def _remove_if_empty(self, key: str, executions: KeyExecutions) -> None:
        if executions.first() is None:
            del self.by_key[key]
