"""The watch on discovery: a long poll without lost or repeated events.

The protocol takes an event as received 7 s after it was published, whether it was or not.  So a poll without
a response is noticed after about 2 s, the next connection asks for an immediate response, and two silences in
a row take much less than 7 s.  After each the timeout grows, so that responses that are merely slow are read
in the end.
"""

from __future__ import annotations

from typing import Any

from thornjunction.log_thinning import should_log
from thornjunction.net.discovery.event_feed import EventFeed
from thornjunction.net.discovery.watch import Watch, WatchHandlers
from thornjunction.net.discovery.watch_context import WatchContext, WatchTimings
from thornjunction.net.event_loop.disconnect_reasons import ConnectionKind, DisconnectReason, log_disconnect
from thornjunction.net.wire.commands import Address, Commands

# How long discovery may hold a poll.
BLOCK_MS = 1200.0
# How much later than that the response, or the next part of it, may come.
RESPONSE_GRACE_MS = 800.0

TIMINGS = WatchTimings(block_ms=BLOCK_MS, response_grace_ms=RESPONSE_GRACE_MS)


class WatchClient(Watch):
    """Follows the discovery service at one address."""

    def __init__(self, context: WatchContext, address: Address, handlers: WatchHandlers) -> None:
        super().__init__(context, address, TIMINGS, handlers)
        self.feed = EventFeed(handlers.handle_command, context.clock)

    @property
    def cursor(self) -> int:
        """Number of the last event that was passed on."""
        return self.feed.cursor

    @property
    def needs_immediate_response(self) -> bool:
        """Whether the first poll of a connection asks for an immediate response."""
        return self.retries.failures > 0 or not self.is_synchronized

    @property
    def has_no_progress(self) -> bool:
        """Whether no new event has come since the last poll."""
        return self.feed.has_no_progress

    def start(self) -> None:
        """Connect; an attempt that fails is repeated after a delay."""
        self._connect()

    def change_address(self, address: Address) -> None:
        """Go on at another address, from the last event that was passed on.

        The end of the old connection, or of the attempt to make it, starts the new one; what it had begun to
        send comes again.
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
        """Take in the events that are known at the start; the watch resumes after them."""
        self.feed.replay(known)

    def metrics(self) -> dict[str, int]:
        """Return nothing: the watch on a single source has no metrics."""
        return {}

    def poll_target(self, block_ms: float) -> str:
        """Begin a poll that discovery may hold for so long, and return its path and query."""
        return f"/cmd/next?resume={self.feed.begin_poll()}&block={block_ms:.0f}"

    def handle_response_awaited(self) -> None:
        """Do nothing: the connection's own deadline suffices."""

    def handle_response(self, commands: Commands, is_stable: bool) -> None:
        """Apply a complete response; of a long one, the events have been applied."""
        self.retries.response_timeouts = 0
        if is_stable:
            self.retries.failures = 0
        self.feed.apply_response(commands)
        self._synchronize()

    def apply_part(self, head: Commands | None, events: list[Any]) -> Commands:
        """Apply complete events of a long response, and return those that were new."""
        return self.feed.apply_part(head, events)

    def _resume(self, is_stable: bool, reason: str, polls: int) -> None:
        """Connect again: soon after a connection that worked, else after a growing delay.

        The delay guards the core against a source that is gone.
        """
        self.retries.failures = 0 if is_stable else self.retries.failures + 1
        failures = self.retries.failures
        if should_log(failures):
            log_disconnect(ConnectionKind.CHANNEL, None, reason, polls=polls, failures=failures)
        # Guards a source that comes back against all routers connecting at one moment.
        delay_ms = self.retries.retry_delay_ms(failures, is_jittered=True)
        self._context.deadlines.add(self._context.clock() + delay_ms, self.start)
