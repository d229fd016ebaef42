"""Passes the events of one discovery service on: each once, in order, across new epochs."""

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
    """Pass an event on.

    Guards the events after one whose handling fails: they are passed on too, and it is not repeated.
    """
    try:
        handle_command(event)
    except Exception:
        log.exception(LogEvent.DISCOVERY_EVENT_FAILED, cursor=event.cursor)


class EventFeed:
    """The events of discovery.

    Attributes:
        handle_command: takes in an event.
        cursor: number of the last event that was passed on.
    """

    def __init__(self, handle_command: HandleCommand, clock: Callable[[], float]) -> None:
        self.handle_command = handle_command
        self.cursor = 0
        self._clock = clock
        self._polled_cursor = 0  # the cursor at the last poll
        self._epoch_change = EpochChangeDetector()
        self._removed_endpoints = RemovedEndpoints()
        self._is_reading_new_epoch = False
        self._faulty_responses = 0  # in a row

    @property
    def has_no_progress(self) -> bool:
        """Whether no new event has come since the last poll."""
        return self.cursor == self._polled_cursor

    def begin_poll(self) -> int:
        """Begin a poll, and return the position that it resumes from."""
        self._polled_cursor = self.cursor
        return 0 if self._epoch_change.must_poll_from_start else self.cursor

    def replay(self, known: Commands) -> None:
        """Pass on the events that are known at the start."""
        self.apply(known)
        self.cursor = max(self.cursor, known.cursor)

    def reset_stale_responses(self) -> None:
        """Count stale responses anew, because another address is polled."""
        self._epoch_change = EpochChangeDetector()

    def apply_response(self, commands: Commands) -> None:
        """Apply a complete response; of a long one, the events have been applied."""
        self._reconcile(commands.cursor, commands)
        is_stale = commands.cursor < self._polled_cursor
        self._report_faults(commands, is_stale)
        self.apply(commands)
        self._is_reading_new_epoch = False
        self._epoch_change.record_response(is_stale and self.has_no_progress, self._clock())

    def apply(self, commands: Commands) -> None:
        """Pass on what is new, in the order of the numbers; an event that came before is left out.

        The cursor never exceeds the last event that came: what the response's own cursor says beyond it is
        polled again.
        """
        known_cursor = self.cursor
        for event in commands.events:
            if event.cursor <= known_cursor:
                continue
            self.cursor = event.cursor
            self._deliver(event)

    def apply_part(self, head: Commands | None, events: list[Any]) -> Commands:
        """Pass on what is new in a part of a long response, drains before purges.

        The cursor moves past all events of the part, or none.

        Args:
            head: what the response says beside its events; None where that has not come.
            events: complete events as parsed JSON.

        Returns:
            The events that were new, and their faults.
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
        """Decide, where discovery was polled from 0, whether its numbers or the known ones count."""
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
