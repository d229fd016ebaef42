"""Detection of a discovery service that numbers its events anew, or that reports a stale cursor.

Discovery is polled from 0 only after its responses were stale for a while.  Only a response that is still
stale then, and that begins with a complete list, starts a new epoch; and even so no server that was removed
returns by it: a wrong or outdated copy of the state cannot cancel a drain.  No response cancels a purge; a
later purge replaces it.
"""

from __future__ import annotations

import math
from dataclasses import replace

from thornjunction import interface as api
from thornjunction.net.wire.commands import Commands, Host, ListChange

# Stale responses in a row before discovery is polled from 0.
MIN_STALE_RESPONSES = 3
# Time that they must span.
MIN_STALE_MS = 1500.0
# The longest such time; it doubles with each poll from 0 that showed no new epoch, for each may cost a long
# response.
MAX_STALE_MS = 60_000.0
# Names of endpoints that are kept: many times the fleet.
MAX_ENDPOINT_NAMES = 8192


class EpochChangeDetector:
    """Decides whether to poll from 0; times are the caller's clock, in ms.

    Attributes:
        must_poll_from_start: whether the next poll, or the one that is open, is from 0.
    """

    def __init__(self) -> None:
        self.must_poll_from_start = False
        self._stale_responses = 0
        self._stale_since_ms = 0.0
        self._min_stale_ms = MIN_STALE_MS

    def record_response(self, is_stale: bool, now_ms: float) -> None:
        """Count a response; a stale one reports an earlier cursor than the one that is known."""
        if not is_stale:
            self._stale_responses = 0
            return
        if not self._stale_responses:
            self._stale_since_ms = now_ms
        self._stale_responses += 1
        is_stale_long_enough = now_ms - self._stale_since_ms >= self._min_stale_ms
        self.must_poll_from_start = self._stale_responses >= MIN_STALE_RESPONSES and is_stale_long_enough

    def record_reconciled(self, is_new_epoch: bool) -> None:
        """The response to the poll from 0 has begun, and it was decided whose numbers count."""
        self.must_poll_from_start = False
        self._stale_responses = 0
        self._min_stale_ms = MIN_STALE_MS if is_new_epoch else min(2.0 * self._min_stale_ms, MAX_STALE_MS)


def is_new_epoch(reported_cursor: int | None, known_cursor: int, first_events: Commands) -> bool:
    """Whether the response to a poll from 0 is the complete state of a new epoch.

    Args:
        reported_cursor: the cursor that the response reports; None where it follows the events, and then the
            response counts as one of the known epoch.
        known_cursor: number of the last event that is known.
        first_events: the events that the response begins with.
    """
    if reported_cursor is None or reported_cursor >= known_cursor or not first_events.events:
        return False
    first = min(first_events.events, key=lambda event: event.cursor)
    return isinstance(first, ListChange) and first.is_complete


class RemovedEndpoints:
    """The endpoints that drained, were removed or are listed no longer, until they are listed as serving."""

    def __init__(self) -> None:
        self._serving_started_ms: dict[str, float] = {}  # Unix ms, by name
        self._removed_started_ms: dict[str, float] = {}  # Unix ms, by name

    def record(self, change: ListChange) -> None:
        """Take in a change of the endpoint list."""
        if change.is_complete:
            self._remove_unlisted({host.name for host in change.hosts})
        for host in change.hosts:
            self._record_host(host)
        for started_ms in (self._serving_started_ms, self._removed_started_ms):
            while len(started_ms) > MAX_ENDPOINT_NAMES:
                del started_ms[next(iter(started_ms))]

    def keep_draining(self, change: ListChange) -> ListChange:
        """Return the change with each serving host that was removed as draining, unless it started later."""
        hosts = tuple(
            replace(host, state=api.ServerState.DRAINING) if self._is_removed(host) else host
            for host in change.hosts
        )
        return replace(change, hosts=hosts)

    def _remove_unlisted(self, listed_names: set[str]) -> None:
        unlisted = [name for name in self._serving_started_ms if name not in listed_names]
        for name in unlisted:
            self._removed_started_ms[name] = self._serving_started_ms.pop(name)

    def _record_host(self, host: Host) -> None:
        if host.state is api.ServerState.SERVING:
            self._removed_started_ms.pop(host.name, None)
            self._serving_started_ms[host.name] = host.started_unix_ms
        else:
            self._serving_started_ms.pop(host.name, None)
            self._removed_started_ms[host.name] = host.started_unix_ms

    def _is_removed(self, host: Host) -> bool:
        if host.state is not api.ServerState.SERVING:
            return False
        return host.started_unix_ms <= self._removed_started_ms.get(host.name, -math.inf)
