"""Delivers the events of one discovery service: each once, in order, also across epochs."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from thornjunction.log_events import LogEvent
from thornjunction.log_thinning import should_log
from thornjunction.logs import get_logger
from thornjunction.net.discovery.epoch_change import EpochChangeDetector, RemovedEndpoints, is_new_epoch
from thornjunction.net.wire.commands import Command, Commands, ListChange, parse_partial

log = get_logger(__name__)

HandleCommand = Callable[[Command], None]


def deliver(handle_command: HandleCommand, event: Command) -> None:
    """Deliver an event.

    An exception of the handler is logged, so that the events after it are still delivered.  The event whose
    handling failed is not delivered again.
    """
    try:
        handle_command(event)
    except Exception:
        log.exception(LogEvent.DISCOVERY_EVENT_FAILED, cursor=event.cursor)


class EventFeed:
    """Delivers the events of discovery and tracks their cursor.

    Attributes:
        handle_command: called with each event.
        cursor: number of the last event that was delivered.
    """

    def __init__(self, handle_command: HandleCommand, clock: Callable[[], float]) -> None:
        self.handle_command = handle_command
        self.cursor = 0
        self._clock = clock
        self._polled_cursor = 0  # the cursor when the last poll was sent
        self._epoch_change = EpochChangeDetector()
        self._removed_endpoints = RemovedEndpoints()
        self._is_reading_new_epoch = False
        self._faulty_responses = 0  # number of consecutive responses with faults

    @property
    def has_no_progress(self) -> bool:
        """Whether no new event was received since the last poll was sent."""
        return self.cursor == self._polled_cursor

    def begin_poll(self) -> int:
        """Begin a poll, and return the position that it resumes from."""
        self._polled_cursor = self.cursor
        return 0 if self._epoch_change.must_poll_from_start else self.cursor

    def replay(self, known: Commands) -> None:
        """Deliver the events that are known at the start, and resume after them."""
        self.apply(known)
        self.cursor = max(self.cursor, known.cursor)

    def reset_stale_responses(self) -> None:
        """Reset the detection of stale responses, because another address is polled."""
        self._epoch_change = EpochChangeDetector()

    def apply_response(self, commands: Commands) -> None:
        """Apply a complete response; the events of a long one were applied in parts before."""
        self._reconcile(commands.cursor, commands)
        is_stale = commands.cursor < self._polled_cursor
        self._report_faults(commands, is_stale)
        self.apply(commands)
        self._is_reading_new_epoch = False
        self._epoch_change.record_response(is_stale and self.has_no_progress, self._clock())

    def apply(self, commands: Commands) -> None:
        """Deliver the new events in the order of their numbers; known events are skipped.

        The cursor never exceeds the last event that was received, even if the response reports a later
        cursor; the events in between are polled again.
        """
        known_cursor = self.cursor
        for event in commands.events:
            if event.cursor <= known_cursor:
                continue
            self.cursor = event.cursor
            self._deliver(event)

    def apply_part(self, head: Commands | None, events: list[Any]) -> Commands:
        """Deliver the new events of a part of a long response, drains before purges.

        The cursor advances past all events of the part or past none.

        Args:
            head: the response without its events; None if its fields have not been received yet.
            events: complete events as parsed JSON.

        Returns:
            The new events and their faults.
        """
        if self._epoch_change.must_poll_from_start:
            self._reconcile(head.cursor if head else None, parse_partial(events, 0))
        part = parse_partial(events, self.cursor)
        for event in part.events:
            self._deliver(event)
        self.cursor = part.cursor
        return part

    def _deliver(self, event: Command) -> None:
        if isinstance(event, ListChange):
            if self._is_reading_new_epoch:
                event = self._removed_endpoints.keep_draining(event)
            self._removed_endpoints.record(event)
        deliver(self.handle_command, event)

    def _reconcile(self, reported_cursor: int | None, first_events: Commands) -> None:
        """After a poll from 0, decide whether the response starts a new epoch."""
        if not self._epoch_change.must_poll_from_start:
            return
        self._is_reading_new_epoch = is_new_epoch(reported_cursor, self.cursor, first_events)
        self._epoch_change.record_reconciled(self._is_reading_new_epoch)
        log.error(
            LogEvent.WATCH_RESTARTED,
            cursor=self.cursor,
            response_cursor=reported_cursor,
            discovery_restarted=self._is_reading_new_epoch,
        )
        if self._is_reading_new_epoch:
            self.cursor = 0
            self._polled_cursor = 0

    def _report_faults(self, commands: Commands, is_stale: bool) -> None:
        faults = (*commands.faults, "behind") if is_stale else commands.faults
        self._faulty_responses = self._faulty_responses + 1 if faults else 0
        if faults and should_log(self._faulty_responses):
            log.error(
                LogEvent.DISCOVERY_EVENTS_REJECTED,
                cursor=self.cursor,
                response_cursor=commands.cursor,
                faults=",".join(faults),
            )
