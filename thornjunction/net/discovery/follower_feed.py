"""Delivers the events that a ``StateFollower`` accepts from the responses of several sources."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from control_client import (
    EndpointListEvent,
    PurgeEvent,
    ResumePosition,
    StateEvent,
    StateFollower,
    SyncStatus,
)

from thornjunction import interface as api
from thornjunction.log_events import LogEvent
from thornjunction.log_thinning import should_log
from thornjunction.logs import get_logger
from thornjunction.net.discovery.event_feed import HandleCommand, deliver
from thornjunction.net.event_loop.unix_clock import UnixClock
from thornjunction.net.wire import ProtocolError
from thornjunction.net.wire.commands import Command, Commands, ListChange, parse_partial

log = get_logger(__name__)


def to_state_event(command: Command, received_unix_ms: float) -> StateEvent:
    """Convert a command to an event of the follower, with the command as its payload."""
    if isinstance(command, ListChange):
        endpoints = {
            host.name: host if host.state is not api.ServerState.REMOVED else None for host in command.hosts
        }
        return EndpointListEvent(command.cursor, command.seq, command.is_complete, endpoints, command)
    target = (command.key, command.group)
    issued_unix_ms = min(command.issued_unix_ms, received_unix_ms)
    return PurgeEvent(command.cursor, target, issued_unix_ms, command)


def to_command(event: StateEvent) -> Command:
    """Convert an event of the follower to a command; an event without a payload is a merged list."""
    if isinstance(event, EndpointListEvent) and event.payload is None:
        return ListChange(event.number, True, tuple(event.endpoints.values()), event.seq)
    command: Command = event.payload
    return command


class FollowerFeed:
    """Delivers the events of all sources, each once.

    Attributes:
        follower: decides which events of a response are accepted.
        cursor: number of the last event that was delivered, in the current epoch.
    """

    def __init__(
        self,
        retention_ms: float,
        clock: Callable[[], float],
        handle_command: HandleCommand,
        on_epoch: Callable[[], None],
    ) -> None:
        self.follower = StateFollower(retention_ms)
        self.cursor = 0
        self._clock = clock
        self._handle_command = handle_command
        self._on_epoch = on_epoch
        self._unix = UnixClock()
        self._received_unix_ms = 0.0
        self._polled_cursor = 0  # the cursor when the last poll was sent
        self._is_reading_parts = False
        self._faulty_responses = 0

    @property
    def has_no_progress(self) -> bool:
        """Whether no new event was received since the last poll was sent."""
        return self.cursor == self._polled_cursor

    def replay(self, known: Commands) -> None:
        """Deliver the events that are known at the start; their list counts as confirmed now by discovery."""
        for event in known.events:
            deliver(self._handle_command, event)
        lists = [event for event in known.events if isinstance(event, ListChange)]
        if lists:
            self.follower.seed(self._clock(), known.cursor, lists[-1].seq)
        self.cursor = self.follower.cursor

    def begin_poll(self) -> ResumePosition:
        """Begin a poll, and return the epoch and number that it resumes from."""
        position = self.follower.begin_poll(self._clock())
        self.cursor = self.follower.cursor
        self._polled_cursor = self.cursor
        return position

    def apply_response(self, commands: Commands) -> SyncStatus:
        """Apply a complete response; the events of a long one were applied in parts before.

        Raises:
            ProtocolError: ``epoch-late``, a long response named its epoch after its events.
        """
        if not self._is_reading_parts:
            self._begin_response(commands)
        elif (commands.epoch or "") != self.follower.epoch:
            raise ProtocolError("epoch-late")
        self._is_reading_parts = False
        self._report_faults(commands)
        accepted = self._accept(commands)
        outcome = self.follower.end_response(commands.cursor)
        self._deliver(accepted, outcome.merged_list)
        return outcome.status

    def apply_part(self, head: Commands | None, events: list[Any]) -> Commands:
        """Apply a part of a long response; its lists are merged until the response ends.

        Args:
            head: the response without its events; None if its fields have not been received yet.
            events: complete events as parsed JSON.

        Returns:
            The events with new numbers, and their faults.
        """
        if not self._is_reading_parts:
            self._begin_response(head)
            self._is_reading_parts = True
        part = parse_partial(events, self.follower.cursor)
        self._deliver(self._accept(part), None)
        return part

    def abandon_response(self) -> None:
        """Abandon the response that was being read in parts, because its connection has ended."""
        self._is_reading_parts = False

    def _begin_response(self, head: Commands | None) -> None:
        follower = self.follower
        epoch_before = follower.epoch
        epoch = (head.epoch if head else None) or ""
        age_ms = (head.age_ms if head else None) or 0.0
        follower.begin_response(self._clock(), epoch, age_ms, head.cursor if head else None)
        self._received_unix_ms = self._unix.now_ms()
        if follower.epoch != epoch_before:
            self._on_epoch()

    def _report_faults(self, commands: Commands) -> None:
        if not commands.faults:
            return
        self._faulty_responses += 1
        if should_log(self._faulty_responses):
            faults = ",".join(commands.faults)
            log.error(LogEvent.DISCOVERY_EVENTS_REJECTED, response_cursor=commands.cursor, faults=faults)

    def _accept(self, commands: Commands) -> list[StateEvent]:
        """Pass events to the follower, and return those that it accepts."""
        events = [to_state_event(command, self._received_unix_ms) for command in commands.events]
        return [event for event in events if self.follower.accept_event(event)]

    def _deliver(self, accepted: Iterable[StateEvent], merged_list: EndpointListEvent | None) -> None:
        """Deliver events, drains before purges."""
        lists: list[StateEvent] = [event for event in accepted if isinstance(event, EndpointListEvent)]
        purges = [event for event in accepted if isinstance(event, PurgeEvent)]
        if merged_list is not None:
            lists.append(merged_list)
        for event in (*lists, *purges):
            deliver(self._handle_command, to_command(event))
        self.cursor = self.follower.cursor
