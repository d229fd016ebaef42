"""The watch on discovery: a long poll without lost or repeated events.

The protocol considers an event received 7 s after it was published, whether it was received or not.
Therefore a poll times out after about 2 s, the next connection asks for an immediate response, and two
consecutive timeouts take much less than 7 s.  The timeout grows each time, so that slow responses are
eventually read.
"""

from __future__ import annotations

from typing import Any

from thornjunction.log_thinning import should_log
from thornjunction.net.discovery.event_feed import EventFeed
from thornjunction.net.discovery.watch import Watch, WatchHandlers
from thornjunction.net.discovery.watch_context import WatchContext, WatchTimings
from thornjunction.net.event_loop.disconnect_reasons import ConnectionKind, DisconnectReason, log_disconnect
from thornjunction.net.wire.commands import Address, Commands

# Longest time that discovery may hold a poll.
BLOCK_MS = 1200.0
# Additional time for the response, or for the next part of it, to arrive.
RESPONSE_GRACE_MS = 800.0

TIMINGS = WatchTimings(block_ms=BLOCK_MS, response_grace_ms=RESPONSE_GRACE_MS)


class WatchClient(Watch):
    """Polls the discovery service at one address, and delivers its events."""

    def __init__(self, context: WatchContext, address: Address, handlers: WatchHandlers) -> None:
        super().__init__(context, address, TIMINGS, handlers)
        self.feed = EventFeed(handlers.handle_command, context.clock)

    @property
    def cursor(self) -> int:
        """Number of the last event that was delivered."""
        return self.feed.cursor

    @property
    def needs_immediate_response(self) -> bool:
        """Whether the first poll of a connection asks for an immediate response."""
        return self.retries.failures > 0 or not self.is_synchronized

    @property
    def has_no_progress(self) -> bool:
        """Whether no new event was received since the last poll was sent."""
        return self.feed.has_no_progress

    def start(self) -> None:
        """Connect; a failed attempt is repeated after a delay."""
        self._connect()

    def change_address(self, address: Address) -> None:
        """Continue at another address, after the last event that was delivered.

        The new connection is made when the old one, or the attempt to make it, has ended.  Events of an
        incomplete response on the old connection are polled again.
        """
        if address == self.address:
            return
        self.address = address
        self.retries.reset_for_address()
        self.retries.response_timeouts = 0
        self.feed.reset_stale_responses()
        if self.connection is not None:
            self.connection.close_gracefully(DisconnectReason.MOVED)
        else:
            self.cancel_connecting()

    def replay(self, known: Commands) -> None:
        """Deliver the events that are known at the start; the watch resumes after them."""
        self.feed.replay(known)

    def metrics(self) -> dict[str, int]:
        """Return nothing: the watch on a single source has no metrics."""
        return {}

    def poll_target(self, block_ms: float) -> str:
        """Begin a poll that discovery may hold for ``block_ms``, and return its path and query."""
        return f"/cmd/next?resume={self.feed.begin_poll()}&block={block_ms:.0f}"

    def handle_response_awaited(self) -> None:
        """Do nothing, because the connection's own response timeout suffices."""

    def handle_response(self, commands: Commands, is_stable: bool) -> None:
        """Apply a complete response; the events of a long one were applied in parts before."""
        self.retries.response_timeouts = 0
        if is_stable:
            self.retries.failures = 0
        self.feed.apply_response(commands)
        self._synchronize()

    def apply_part(self, head: Commands | None, events: list[Any]) -> Commands:
        """Apply complete events of a long response, and return the new ones."""
        return self.feed.apply_part(head, events)

    def _resume(self, is_stable: bool, reason: str, polls: int) -> None:
        """Connect again: soon after a stable connection, else after a growing delay.

        The delay limits the CPU time spent on a source that is down.
        """
        self.retries.failures = 0 if is_stable else self.retries.failures + 1
        failures = self.retries.failures
        if should_log(failures):
            log_disconnect(ConnectionKind.CHANNEL, None, reason, polls=polls, failures=failures)
        # Jitter prevents all routers from connecting at the same moment when the source is up again.
        delay_ms = self.retries.retry_delay_ms(failures, is_jittered=True)
        self._context.deadlines.add(self._context.clock() + delay_ms, self.start)
