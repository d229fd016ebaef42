"""Test case for a watch that reads long responses; it records the parts that the watch parses."""

from __future__ import annotations

from dataclasses import dataclass
from unittest.mock import patch

from fakes.event_log import encode_events
from fakes.watch_messages import purge_events

from tests.net.discovery.builders import WatchTestCase
from thornjunction.net.discovery import retry_policy
from thornjunction.net.discovery.resynchronization import Resynchronization

# Limit of one read of a socket, of a response that is not long, and of the bytes parsed in one iteration.
READ_BYTES = 65_536
# Largest event.
EVENT_BYTES = 1_000_000

EVENT_COUNT = 3000  # events of a long response
LONG_BODY = encode_events(purge_events(1, EVENT_COUNT), EVENT_COUNT)
MIDDLE = LONG_BODY.index(b'{"cursor": 2500,')  # position at which the 2,500th event begins
CURSOR_BEFORE_MIDDLE = 2499
CURSORS_BEFORE_MIDDLE = list(range(1, CURSOR_BEFORE_MIDDLE + 1))

# Shortest pause before the next connection, and shortest one after a long response without a new event.
MIN_RETRY_MS = 25.0
MIN_DISCARDED_RETRY_MS = 200.0


@dataclass(frozen=True, slots=True)
class Part:
    """Numbers of bytes of a response that one iteration parsed, and that were buffered before it."""

    parsed_bytes: int
    buffered_bytes: int


class ResynchronizationTestCase(WatchTestCase):
    """Records the parts; jitter always shortens a pause to its half."""

    timeout = 40

    def setUp(self) -> None:
        """Record each part, and fix the jitter."""
        super().setUp()
        self.parts: list[Part] = []
        apply_next_part = Resynchronization.apply_next_part

        def record_part(resynchronization: Resynchronization) -> bool:
            unparsed_bytes = len(resynchronization._unparsed)
            reader = self.environment.watch_client.connection.reader
            try:
                return apply_next_part(resynchronization)
            finally:
                parsed_bytes = unparsed_bytes - len(resynchronization._unparsed)
                self.parts.append(Part(parsed_bytes, unparsed_bytes + reader.buffered_bytes))

        patchers = (
            patch.object(Resynchronization, "apply_next_part", record_part),
            patch.object(retry_policy.random, "random", lambda: 0.0),
        )
        for patcher in patchers:
            patcher.start()
            self.addCleanup(patcher.stop)

    def max_parsed_bytes(self) -> int:
        """Most bytes that one iteration parsed."""
        return max(part.parsed_bytes for part in self.parts)

    def max_buffered_bytes(self) -> int:
        """Most bytes that were buffered before an iteration."""
        return max(part.buffered_bytes for part in self.parts)

    def answered_polls(self) -> int:
        """Number of answered polls of the current connection."""
        connection = self.environment.watch_client.connection
        return 0 if connection is None else connection.polls
