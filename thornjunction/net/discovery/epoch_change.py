"""Detects a discovery service that restarts its event numbers, or that reports a stale cursor.

Discovery is polled from 0 only after its responses were stale for some time.  If the response to that poll is
stale too and begins with a complete list, it starts a new epoch.  Even a new epoch does not restore a server
that was removed, so that a wrong or outdated copy of the state cannot cancel a drain.  No response cancels a
purge; only a later purge replaces it.
"""

from __future__ import annotations

import math
from dataclasses import replace

from thornjunction import interface as api
from thornjunction.net.wire.commands import Commands, Host, ListChange

# Consecutive stale responses before discovery is polled from 0.
MIN_STALE_RESPONSES = 3
# Time that these responses must span.
MIN_STALE_MS = 1500.0
# Longest such time; it doubles with each poll from 0 that shows no new epoch, because each may cost a long
# response.
MAX_STALE_MS = 60_000.0
# Most names of endpoints that are remembered; the fleet has far fewer.
MAX_ENDPOINT_NAMES = 8192


class EpochChangeDetector:
    """Decides whether to poll from 0; times are on the caller's clock, in ms.

    Attributes:
        must_poll_from_start: whether the poll that is open, or else the next one, starts from 0.
    """

    def __init__(self) -> None:
        self.must_poll_from_start = False
        self._stale_responses = 0
        self._stale_since_ms = 0.0
        self._min_stale_ms = MIN_STALE_MS

    def record_response(self, is_stale: bool, now_ms: float) -> None:
        """Count a response; it is stale if it reports an earlier cursor than the known one."""
        if not is_stale:
            self._stale_responses = 0
            return
        if not self._stale_responses:
            self._stale_since_ms = now_ms
        self._stale_responses += 1
        is_stale_long_enough = now_ms - self._stale_since_ms >= self._min_stale_ms
        self.must_poll_from_start = self._stale_responses >= MIN_STALE_RESPONSES and is_stale_long_enough

    def record_reconciled(self, is_new_epoch: bool) -> None:
        """Reset the counts, because the response to the poll from 0 was classified as a new epoch or not."""
        self.must_poll_from_start = False
        self._stale_responses = 0
        self._min_stale_ms = MIN_STALE_MS if is_new_epoch else min(2.0 * self._min_stale_ms, MAX_STALE_MS)


def is_new_epoch(reported_cursor: int | None, known_cursor: int, first_events: Commands) -> bool:
    """Whether the response to a poll from 0 is the complete state of a new epoch.

    Args:
        reported_cursor: the cursor that the response reports; None if it comes after the events, in which
            case the response counts as part of the known epoch.
        known_cursor: number of the last known event.
        first_events: the events at the beginning of the response.
    """
    if reported_cursor is None or reported_cursor >= known_cursor or not first_events.events:
        return False
    first = min(first_events.events, key=lambda event: event.cursor)
    return isinstance(first, ListChange) and first.is_complete


class RemovedEndpoints:
    """Endpoints that drained, were removed or are not listed any more, until they are listed as serving."""

    def __init__(self) -> None:
        self._serving_started_ms: dict[str, float] = {}  # start times of serving hosts in Unix ms, by name
        self._removed_started_ms: dict[str, float] = {}  # start times of removed hosts in Unix ms, by name

    def record(self, change: ListChange) -> None:
        """Update the sets of serving and removed endpoints from a change of the endpoint list."""
        if change.is_complete:
            self._remove_unlisted({host.name for host in change.hosts})
        for host in change.hosts:
            self._record_host(host)
        for started_ms in (self._serving_started_ms, self._removed_started_ms):
            while len(started_ms) > MAX_ENDPOINT_NAMES:
                del started_ms[next(iter(started_ms))]

    def keep_draining(self, change: ListChange) -> ListChange:
        """Return the change with removed hosts as draining, except for hosts that have restarted since."""
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
