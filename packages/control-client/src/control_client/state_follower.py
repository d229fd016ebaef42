"""Accepts the state that sources send, so that no older state undoes a drain or a purge.

Every state has a freshness timestamp (as-of): the time at which discovery itself confirmed it.  For a
response it lies between the poll's time and the response's, minus the age that the response states: the later
bound is used for the current state, the earlier one for a received state.  After a change of epoch, or a
request for the complete state, list events are merged until the source has sent all of them, and only the
resulting list is accepted or rejected: a plain discovery sends its history from the first list on, and no
intermediate list may be used.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from control_client.cursor_reset import CursorResetDetector
from control_client.events import (
    AcceptedEvents,
    EndpointListEvent,
    PollResponse,
    PurgeEvent,
    ResponseOutcome,
    ResumePosition,
    StateEvent,
    SyncStatus,
)
from control_client.recent_purges import RecentPurges
from control_client.resync_limiter import ResyncLimiter
from control_client.state_merge import EndpointListMerge

# A list with a lower seq is accepted if it is fresher by this much: then discovery was reset to an earlier
# state.
RESET_MARGIN_MS = 1000.0

# A list that is older by this much is rejected whatever its seq: it is from before discovery was reset.
OUTDATED_LIST_MARGIN_MS = 2000.0

# A response that takes longer than this may have been written at any time since its poll.
SLOW_RESPONSE_MS = 1300.0

# Default upper bound on the purges that are remembered.
MAX_PURGES = 4096

# Default upper bound on the endpoints in the list.
MAX_ENDPOINTS = 4096

# Default time for which a purge is remembered.
PURGE_RETENTION_MS = 10_000.0

# Value of ``_ResponseProgress.last_event`` before the first event of a response.
NO_EVENT = -1


class FollowerState(Enum):
    """How list events of the source are treated."""

    # They are merged into a complete list, which is accepted or rejected once the source has sent all.
    MERGING = "merging"
    # Each is accepted when it is received.
    FOLLOWING = "following"
    # The source's list is older than the current one: its changes are skipped.
    SKIPPING = "skipping"


@dataclass(slots=True)
class _ResponseProgress:
    """The response that is being received.

    ``floor`` is the last event accepted before it, ``last_event`` the highest number in it.  ``is_unrelated``
    marks the response of a plain discovery that read the number of another epoch as one of its own.
    """

    received_at_ms: float = 0.0
    earliest_as_of_ms: float = 0.0
    latest_as_of_ms: float = 0.0
    cursor: int = 0
    floor: int = 0
    last_event: int = 0
    is_unrelated: bool = False

    @property
    def is_incomplete(self) -> bool:
        """Whether the source has more events, or has not reached the numbers that were accepted from it."""
        if self.is_unrelated or self.cursor < self.floor:
            return True
        return NO_EVENT < self.last_event < self.cursor


class StateFollower:
    """Follows the source that is polled, one at a time.

    Call ``begin_poll`` at each poll, then ``accept_response`` with the response; or, for a response in
    pieces, ``begin_response``, ``accept_event`` for each event and ``end_response``.  A response that is
    interrupted needs no call: accepted events stay accepted, and the next poll requests the following ones.
    """

    def __init__(
        self,
        purge_retention_ms: float = PURGE_RETENTION_MS,
        max_purges: int = MAX_PURGES,
        max_endpoints: int = MAX_ENDPOINTS,
    ) -> None:
        self.state = FollowerState.MERGING
        self.epoch = ""
        self.cursor = 0
        self.seq: int | None = None
        self.has_list = False
        self.list_as_of_ms = -math.inf
        self.recent_purges = RecentPurges(purge_retention_ms, max_purges)
        self.merge = EndpointListMerge(max_endpoints)
        # Freshness timestamp of the state after the last complete response.
        self._confirmed_as_of_ms = -math.inf
        # While SKIPPING, a change with a higher seq requires a resynchronization.
        self._skip_through_seq = math.inf
        # Whether a change was missed.
        self._has_gap = False
        self._resync_limiter = ResyncLimiter()
        self._cursor_reset = CursorResetDetector()
        self._polled_at_ms = -math.inf
        self._polled_from = 0
        self._response = _ResponseProgress()

    def seed(self, now: float, cursor: int, seq: int | None) -> None:
        """Start with a list that was not polled; ``cursor`` and ``seq`` are those of a plain discovery.

        The list counts as current at ``now``, so that no older list undoes its drains; a list with a lower
        seq is accepted if it is fresher by ``RESET_MARGIN_MS``.
        """
        self.cursor = cursor
        self.seq = seq
        self.has_list = True
        self.list_as_of_ms = now
        self.state = FollowerState.FOLLOWING

    def begin_poll(self, now: float) -> ResumePosition:
        """Return the resume position for the poll that is sent now."""
        self._polled_at_ms = now
        self._polled_from = 0 if self._cursor_reset.is_verifying else self.cursor
        return ResumePosition(self.epoch, self._polled_from)

    def age_ms(self, now: float) -> float:
        """Return an upper bound of the current state's age; infinite if discovery never confirmed it."""
        return now - self._confirmed_as_of_ms

    def accept_response(self, now: float, response: PollResponse) -> AcceptedEvents:
        """Return the events of a complete response that have to be applied.

        Lists come before purges, because a drain must not wait for a purge; a merged list comes after the
        changes that precede it.
        """
        self.begin_response(now, response.epoch, response.age_ms, response.cursor)
        accepted = [event for event in response.events if self.accept_event(event)]
        outcome = self.end_response()
        events: list[StateEvent] = [event for event in accepted if isinstance(event, EndpointListEvent)]
        if outcome.merged_list is not None:
            events.append(outcome.merged_list)
        events.extend(event for event in accepted if isinstance(event, PurgeEvent))
        return AcceptedEvents(tuple(events), outcome.status)

    def begin_response(self, now: float, epoch: str, age_ms: float, cursor: int | None) -> None:
        """Begin the response to the last poll.

        ``cursor`` is None where the response states it after its events; a reset of the source's numbers is
        then not recognized.
        """
        age_ms = max(age_ms, 0.0)
        if cursor is None:
            cursor = max(self.cursor, self._polled_from)
        is_unrelated = False
        if epoch != self.epoch:
            self._restart_merge(epoch)
            is_unrelated = epoch == "" and self._polled_from > 0
        elif self._cursor_reset.observe(now, cursor, self.cursor):
            self._restart_merge(epoch)
        self._response = _ResponseProgress(
            received_at_ms=now,
            earliest_as_of_ms=min(self._polled_at_ms, now) - age_ms,
            latest_as_of_ms=now - age_ms,
            cursor=cursor,
            floor=self.cursor,
            last_event=NO_EVENT,
            is_unrelated=is_unrelated,
        )

    def accept_event(self, event: StateEvent) -> bool:
        """Return whether an event of the response has to be applied now."""
        response = self._response
        response.last_event = max(response.last_event, event.number)
        if response.is_unrelated or event.number <= response.floor:
            return False
        self.cursor = max(self.cursor, event.number)
        if isinstance(event, PurgeEvent):
            return self.recent_purges.accept_if_new(
                response.received_at_ms, event.target, event.issued_unix_ms
            )
        if self.state is FollowerState.SKIPPING and event.is_complete:
            self.state = FollowerState.MERGING
        if self.state is FollowerState.MERGING:
            self.merge.add(event)
            return False
        return self._accept_list_event(event)

    def end_response(self, cursor: int | None = None) -> ResponseOutcome:
        """Return the result of a response that was received completely.

        ``cursor`` is given where it was not known at the beginning.
        """
        response = self._response
        if cursor is not None:
            response.cursor = cursor
        if response.is_incomplete:
            return ResponseOutcome(None, SyncStatus.MORE_AVAILABLE)
        merged_list = None
        if self.state is FollowerState.MERGING and self.merge.is_complete:
            merged_list = self._accept_merged_list()
        if self.state is FollowerState.MERGING and self.merge.has_dropped_changes:
            self._has_gap = True
        if self.state is FollowerState.FOLLOWING:
            self._advance_freshness()
        if self._needs_resync() and self._resync_limiter.try_acquire(response.received_at_ms):
            self._restart_merge(self.epoch)
            return ResponseOutcome(merged_list, SyncStatus.MORE_AVAILABLE)
        is_following = self.state is FollowerState.FOLLOWING
        return ResponseOutcome(merged_list, SyncStatus.IN_SYNC if is_following else SyncStatus.SOURCE_STALE)

    def _restart_merge(self, epoch: str) -> None:
        """Forget all event numbers, and merge the complete state of this epoch from now on."""
        self.epoch = epoch
        self.cursor = 0
        self.state = FollowerState.MERGING
        self.merge.clear()
        self._has_gap = False
        self._cursor_reset.clear()

    def _accept_list_event(self, event: EndpointListEvent) -> bool:
        """Accept a list event within the epoch, where its number alone gives the order."""
        if event.is_complete:
            self.seq = event.seq
            self.has_list = True
            return True
        if self.state is FollowerState.SKIPPING:
            # The changes may date from before discovery was reset, so none is applied; one with a higher seq
            # than those to skip causes a request for the complete state.
            if event.seq is not None and event.seq > self._skip_through_seq:
                self._has_gap = True
            return False
        if event.seq is not None:
            if self.seq is not None and event.seq > self.seq + 1:
                self._has_gap = True
            self.seq = event.seq
        return True

    def _accept_merged_list(self) -> EndpointListEvent | None:
        """Return the merged list if it is accepted; None if the current list is kept."""
        merged = self.merge.result()
        self.merge.clear()
        skip_through_seq = self._skip_limit(merged)
        if skip_through_seq is not None:
            self.state = FollowerState.SKIPPING
            self._skip_through_seq = skip_through_seq
            return None
        self.state = FollowerState.FOLLOWING
        self.seq = merged.seq
        self.has_list = True
        self.list_as_of_ms = max(self.list_as_of_ms, self._response.latest_as_of_ms)
        return merged

    def _skip_limit(self, merged: EndpointListEvent) -> float | None:
        """Return the seq up to which the source's changes are skipped; None if its list is accepted."""
        if not self.has_list or self._response.earliest_as_of_ms - self.list_as_of_ms >= RESET_MARGIN_MS:
            return None
        if merged.seq is None or (self.seq is not None and merged.seq < self.seq):
            return self.seq if self.seq is not None else math.inf
        if self.list_as_of_ms - self._response.latest_as_of_ms >= OUTDATED_LIST_MARGIN_MS:
            # A source that missed discovery's reset still has a higher seq than discovery itself.
            return math.inf
        return None

    def _advance_freshness(self) -> None:
        """Advance the freshness timestamps after a complete response."""
        response = self._response
        is_slow = response.received_at_ms - self._polled_at_ms > SLOW_RESPONSE_MS
        as_of_ms = response.earliest_as_of_ms if is_slow else response.latest_as_of_ms
        self.list_as_of_ms = max(self.list_as_of_ms, response.latest_as_of_ms)
        self._confirmed_as_of_ms = max(self._confirmed_as_of_ms, as_of_ms)

    def _needs_resync(self) -> bool:
        """Return whether a change was missed, or whether the rejected list would now be accepted."""
        if self._has_gap:
            return True
        if self.state is not FollowerState.SKIPPING:
            return False
        return self._response.earliest_as_of_ms - self.list_as_of_ms >= RESET_MARGIN_MS
