"""A watch that reads long responses, with the parts that it takes of them."""

from __future__ import annotations

from dataclasses import dataclass
from unittest.mock import patch

from fakes.event_log import encode_events
from fakes.watch_messages import purge_events

from tests.net.discovery.builders import WatchTestCase
from thornjunction.net.discovery import retry_policy
from thornjunction.net.discovery.resynchronization import Resynchronization

# Of one read of a socket, of a response that is not long, and of one turn.
READ_BYTES = 65_536
# Largest event.
EVENT_BYTES = 1_000_000

EVENT_COUNT = 3000  # events of a long response
LONG_BODY = encode_events(purge_events(1, EVENT_COUNT), EVENT_COUNT)
MIDDLE = LONG_BODY.index(b'{"cursor": 2500,')  # where the 2,500th event begins
CURSOR_BEFORE_MIDDLE = 2499
CURSORS_BEFORE_MIDDLE = list(range(1, CURSOR_BEFORE_MIDDLE + 1))

# The shortest pause before the next connection, and after long responses without a new event.
MIN_RETRY_MS = 25.0
MIN_DISCARDED_RETRY_MS = 200.0


@dataclass(frozen=True, slots=True)
class Part:
    """Bytes that one turn took of a response, and that were buffered before it."""

    taken_bytes: int
    buffered_bytes: int


class ResynchronizationTestCase(WatchTestCase):
    """Records the parts; of each pause that is drawn at random, half is taken."""

    timeout = 40

    def setUp(self) -> None:
        """Observe the turns."""
        super().setUp()
        self.parts: list[Part] = []
        apply_next_part = Resynchronization.apply_next_part

        def record_part(resynchronization: Resynchronization) -> bool:
            unparsed_bytes = len(resynchronization._unparsed)
            reader = self.environment.watch_client.connection.reader
            try:
                return apply_next_part(resynchronization)
            finally:
                taken_bytes = unparsed_bytes - len(resynchronization._unparsed)
                self.parts.append(Part(taken_bytes, unparsed_bytes + reader.buffered_bytes))

        patchers = (
            patch.object(Resynchronization, "apply_next_part", record_part),
            patch.object(retry_policy.random, "random", lambda: 0.0),
        )
        for patcher in patchers:
            patcher.start()
            self.addCleanup(patcher.stop)

    def max_taken_bytes(self) -> int:
        """Most bytes that one turn took."""
        return max(part.taken_bytes for part in self.parts)

    def max_buffered_bytes(self) -> int:
        """Most bytes that were buffered before a turn."""
        return max(part.buffered_bytes for part in self.parts)

    def answered_polls(self) -> int:
        """Polls of the present connection that were answered."""
        connection = self.environment.watch_client.connection
        return 0 if connection is None else connection.polls
