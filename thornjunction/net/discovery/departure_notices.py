"""Notifies sources that this process, which polled them before, now polls another source.

Without the notice, a relay would wait for the acknowledgements of a router that no longer polls it, and never
report an event as fully propagated.
"""

from __future__ import annotations

from collections.abc import Callable

from control_client import jittered
from sansio_core import RandomSource

from thornjunction.net.discovery.source_probe import OnProbeResult
from thornjunction.net.discovery.watch_context import WatchContext
from thornjunction.net.wire.commands import Address, Commands

# Pause before a notice to a source that has failed, and before the first repetition of a notice.
MIN_NOTICE_DELAY_MS = 2000.0
# Longest pause; the pause doubles with each notice that was not answered.
MAX_NOTICE_DELAY_MS = 60_000.0

SendNotice = Callable[[Address, OnProbeResult], None]


class DepartureNotices:
    """Sends notices to each source that is no longer polled, until it answers one or is polled again."""

    def __init__(self, context: WatchContext, random_source: RandomSource, send: SendNotice) -> None:
        self._context = context
        self._random_source = random_source
        self._send = send
        self._sequence_by_source: dict[Address, int] = {}  # sequence number of each unanswered notice
        self._last_sequence = 0

    def begin(self, source: Address, delay_ms: float = 0.0) -> None:
        """Notify a source that is no longer polled, after a delay."""
        self._last_sequence += 1
        self._sequence_by_source[source] = self._last_sequence
        self._schedule(source, self._last_sequence, delay_ms)

    def end(self, source: Address) -> None:
        """Stop notifying a source, because it has answered or is polled again."""
        self._sequence_by_source.pop(source, None)

    def _schedule(self, source: Address, sequence: int, delay_ms: float) -> None:
        def handle_result(response: Commands | None) -> None:
            if self._sequence_by_source.get(source) != sequence:
                return
            if response is not None:
                self.end(source)
                return
            next_delay_ms = min(max(2.0 * delay_ms, MIN_NOTICE_DELAY_MS), MAX_NOTICE_DELAY_MS)
            self._schedule(source, sequence, next_delay_ms)

        def send() -> None:
            if self._sequence_by_source.get(source) == sequence:
                self._send(source, handle_result)

        if delay_ms > 0.0:
            due_ms = self._context.clock() + jittered(delay_ms, self._random_source)
            self._context.deadlines.add(due_ms, send)
        else:
            send()
