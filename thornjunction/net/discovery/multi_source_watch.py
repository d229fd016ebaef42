"""The watch on several sources: relays, or discovery itself (``docs/design/control.md``).

``control_client`` decides which source is polled and which of its events are accepted; this module does the
I/O.  It is imported only if the operators' file has a section ``[control]`` or ``[relay]``.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from control_client import (
    PollAnswered,
    PollFailed,
    PollSent,
    ProbeAnswered,
    ProbeFailed,
    SelectorAction,
    SelectorEvent,
    SelectorNotice,
    SendProbe,
    SourceSelector,
    StartPolling,
    StopPolling,
    SyncStatus,
)
from sansio_core import Notice, SetTimer, Started, TimerFired

from thornjunction.log_events import LogEvent
from thornjunction.log_thinning import should_log
from thornjunction.logs import get_logger
from thornjunction.net.discovery.departure_notices import MIN_NOTICE_DELAY_MS, DepartureNotices
from thornjunction.net.discovery.follower_feed import FollowerFeed
from thornjunction.net.discovery.source_probe import OnProbeResult, probe_source
from thornjunction.net.discovery.watch import Watch, WatchHandlers, WatchState
from thornjunction.net.discovery.watch_context import WatchContext, WatchTimings
from thornjunction.net.event_loop.disconnect_reasons import DisconnectReason
from thornjunction.net.wire.commands import Address, Commands

# Longest time that a source may hold a poll, and the least time that it has for any response.
BLOCK_MS = 800.0
# Additional time for the response, or for the next part of it, to arrive.
RESPONSE_GRACE_MS = 500.0

TIMINGS = WatchTimings(block_ms=BLOCK_MS, response_grace_ms=RESPONSE_GRACE_MS, min_response_ms=BLOCK_MS)

log = get_logger(__name__)


@dataclass(frozen=True, slots=True)
class PollIdentity:
    """How polls and probes identify their sender.

    Attributes:
        name: name of the sender in probes.
        query: returns the end of a poll's query; its argument tells whether the source is a sibling.
    """

    name: str
    query: Callable[[bool], str]


class MultiSourceWatch(Watch):
    """Polls the source that its selector has selected.

    Attributes:
        selector: selects the source.
        feed: delivers the events of all sources.
        pending_probes: number of probes that have no result yet.
    """

    def __init__(
        self,
        context: WatchContext,
        selector: SourceSelector,
        retention_ms: float,
        identity: PollIdentity,
        handlers: WatchHandlers,
    ) -> None:
        super().__init__(context, next(iter(selector.sources)), TIMINGS, handlers)
        self.selector = selector
        self.feed = FollowerFeed(retention_ms, context.clock, handlers.handle_command, handlers.on_epoch)
        self.pending_probes = 0
        self._identity = identity
        self._selected: Address | None = None
        self._departure_notices = DepartureNotices(context, selector.draw, self._probe)
        self._source_failures = 0  # number of consecutive failures of sources, for the log

    @property
    def needs_immediate_response(self) -> bool:
        """Always true: the first poll of each connection asks for an immediate response."""
        return True

    @property
    def has_no_progress(self) -> bool:
        """Whether no new event was received since the last poll was sent."""
        return self.feed.has_no_progress

    @property
    def selected(self) -> Address | None:
        """The source that the selector has selected; None if there is none."""
        return self._selected

    def start(self) -> None:
        """Start polling, if no source is polled."""
        if self.state is WatchState.STOPPED:
            return
        if self._selected is None and self.selector.current is None:
            self._select(Started())
            return
        self._connect_to_selected()

    def change_address(self, address: Address) -> None:
        """Log that the address in the configuration is not used."""
        log.info(LogEvent.CHANNEL_IGNORED, channel=f"{address[0]}:{address[1]}", cause="[control]")

    def replay(self, known: Commands) -> None:
        """Deliver the events that are known at the start; the watch resumes after them."""
        self.feed.replay(known)

    def metrics(self) -> dict[str, int]:
        """Age of the state (-1: never confirmed), rank of the polled source (-1: none), and switches."""
        age_ms = self.feed.follower.age_ms(self._context.clock())
        current = self.selector.current
        return {
            "control_age_ms": int(age_ms) if math.isfinite(age_ms) else -1,
            "control_source": current.priority if current is not None else -1,
            "control_moves": self.selector.switches,
        }

    def poll_target(self, block_ms: float) -> str:
        """Begin a poll that the source may hold for ``block_ms``, and return its path and query."""
        position = self.feed.begin_poll()
        epoch = f"&epoch={position.epoch}" if position.epoch else ""
        sender = self._identity.query(self.selector.sources[self.address].is_sibling)
        return f"/cmd/next?resume={position.resume}&block={block_ms:.0f}{epoch}{sender}"

    def handle_response_awaited(self) -> None:
        """Restart the selector's response timeout."""
        self._select(PollSent(self.address))

    def handle_response(self, commands: Commands, is_stable: bool) -> None:  # noqa: ARG002
        """Apply a complete response; the events of a long one were applied in parts before.

        Raises:
            ProtocolError: ``epoch-late``, a long response named its epoch after its events.
        """
        self.retries.response_timeouts = 0
        self._source_failures = 0
        status = self.feed.apply_response(commands)
        follower = self.feed.follower
        if status is SyncStatus.IN_SYNC:
            self._handlers.on_confirmed(follower.age_ms(self._context.clock()), follower.cursor)
        if follower.has_list and status is not SyncStatus.MORE_AVAILABLE:
            self._synchronize()
        is_stale = status is SyncStatus.SOURCE_STALE
        self._select(PollAnswered(self.address, commands.age_ms or 0.0, is_stale=is_stale))

    def apply_part(self, head: Commands | None, events: list[Any]) -> Commands:
        """Apply complete events of a long response, and return the new ones."""
        return self.feed.apply_part(head, events)

    def _resume(self, is_stable: bool, reason: str, polls: int) -> None:  # noqa: ARG002
        """Connect to the newly selected source, or report to the selector that the current one failed."""
        self.feed.abandon_response()
        if self.state is WatchState.STOPPED:
            return
        source = self.address
        if reason == DisconnectReason.MOVED or self._selected != source:
            self._connect_to_selected()
            return
        self._selected = None
        self._select(PollFailed(source, str(reason)))
        if self._selected != source:
            self._departure_notices.begin(source, MIN_NOTICE_DELAY_MS)

    def _select(self, event: SelectorEvent) -> None:
        """Pass an event to the selector, and execute its actions."""
        if self.state is WatchState.STOPPED:
            return
        for action in self.selector.handle(self._context.clock(), event):
            self._execute(action)

    def _execute(self, action: SelectorAction) -> None:
        match action:
            case StartPolling(source):
                self._selected = source
                self._departure_notices.end(source)
                self._connect_to_selected()
            case StopPolling(source):
                self._stop_polling(source)
            case SendProbe(source):
                self._probe(source, lambda response: self._handle_probe_result(source, response))
            case SetTimer(delay_ms, token):
                due_ms = self._context.clock() + delay_ms
                self._context.deadlines.add(due_ms, lambda: self._select(TimerFired(token)))
            case Notice(name, fields):
                self._source_failures += name == SelectorNotice.SOURCE_FAILED
                if should_log(max(self._source_failures, 1)):
                    log.info(name, failures=self._source_failures, **fields)

    def _connect_to_selected(self) -> None:
        """Connect to the selected source, if the previous connection has ended."""
        if self._selected is None or self.state is not WatchState.WAITING:
            return
        self.address = self._selected
        self.retries.reset_for_address()
        self._connect()

    def _stop_polling(self, source: Address) -> None:
        self._selected = None
        self._departure_notices.begin(source)
        if self.connection is not None:
            self.connection.close_gracefully(DisconnectReason.MOVED)
        else:
            self.cancel_connecting()

    def _probe(self, source: Address, on_result: OnProbeResult) -> None:
        if self.state is WatchState.STOPPED:
            return

        def handle_result(response: Commands | None) -> None:
            self.pending_probes -= 1
            on_result(response)

        self.pending_probes += 1
        probe_source(self._context, source, self._identity.name, handle_result)

    def _handle_probe_result(self, source: Address, response: Commands | None) -> None:
        if response is None:
            self._select(ProbeFailed(source))
            return
        self._departure_notices.end(source)
        self._select(ProbeAnswered(source, response.age_ms or 0.0))
