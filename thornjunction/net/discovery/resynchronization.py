"""Parses and applies a long response of the command channel in parts while it arrives."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from thornjunction.net.wire import ProtocolError
from thornjunction.net.wire.command_stream import CommandStreamParser
from thornjunction.net.wire.commands import MAX_REPORTED_FAULTS, Commands, parse_head

# A body up to this size is buffered and parsed at once.
MAX_BUFFERED_BODY_BYTES = 65_536
# Largest body; the events of an hour, 122,400 purges, take 10 MB.
MAX_BODY_BYTES = 64_000_000
# Most bytes that are parsed in one iteration of the event loop.
MAX_PART_BYTES = 65_536
# Bytes that are parsed between two readings of the clock.
SLICE_BYTES = 8192
# Time for parsing in one iteration; afterwards the complete events are applied.
MAX_PARSE_MS = 4.0
# Changes of the endpoint list in one iteration; it is limited because the decisions process each of them.
MAX_PART_LIST_CHANGES = 16
# Events in one iteration, exceeded by at most those of one slice; a relay needs about 20 us for each event.
MAX_PART_EVENTS = 200

ApplyPart = Callable[[Commands | None, list[Any]], Commands]


class Resynchronization:
    """Divides one long response into parts and applies each.

    Attributes:
        deadline_ms: deadline for the end of the response, on the core's clock.
        is_received: whether the last byte of the response has been received.
        discarded_bytes: bytes parsed since the last new event.
    """

    def __init__(self, clock: Callable[[], float], deadline_ms: float, apply_part: ApplyPart) -> None:
        """Initialize with an empty body.

        Args:
            clock: the core's clock, in ms.
            deadline_ms: deadline for the end of the response.
            apply_part: applies complete events, as parsed JSON, and returns the new ones; its first argument
                is the response without its events, or None if its fields have not been received yet.
        """
        self.deadline_ms = deadline_ms
        self.is_received = False
        self.discarded_bytes = 0
        self._clock = clock
        self._apply_part = apply_part
        self._parser = CommandStreamParser()
        self._unparsed = bytearray()
        self._faults: list[str] = []
        self._bytes_since_progress = 0

    @property
    def has_unparsed_bytes(self) -> bool:
        """Whether received bytes are left to be parsed in the next iteration."""
        return bool(self._unparsed)

    def receive(self, data: bytes, is_last: bool) -> None:
        """Buffer received bytes of the body; ``is_last`` tells whether the body ends with them."""
        self._unparsed += data
        self.is_received = is_last

    def apply_next_part(self) -> bool:
        """Parse and apply as much as one iteration of the event loop allows.

        Returns:
            Whether there was progress: a complete event, or ``MAX_PART_BYTES`` of a long one.

        Raises:
            ProtocolError: the response is malformed; the events before the fault were applied.
        """
        events, parsed_bytes = self._parse_part()
        self._bytes_since_progress += parsed_bytes
        self.discarded_bytes += parsed_bytes
        if events:
            self._apply(events)
        if self._parser.fault:
            raise ProtocolError(self._parser.fault)
        has_progress = bool(events) or self._bytes_since_progress >= MAX_PART_BYTES
        if has_progress:
            self._bytes_since_progress = 0
        return has_progress

    def finish(self) -> Commands:
        """Return the response without its events, but with the faults found in them.

        Raises:
            ProtocolError: the response is incomplete.
        """
        head = self._parser.finish()
        return Commands(head.cursor, (), tuple(self._faults), head.epoch, head.age_ms)

    def discard(self) -> None:
        """Release the parser and the unparsed bytes."""
        self._parser.discard()
        self._unparsed.clear()

    def _apply(self, events: list[Any]) -> None:
        applied = self._apply_part(self._head(), events)
        self._faults += applied.faults[: MAX_REPORTED_FAULTS - len(self._faults)]
        if applied.events:
            self.discarded_bytes = 0

    def _parse_part(self) -> tuple[list[Any], int]:
        """Parse for one iteration; return the complete events and the number of bytes parsed."""
        events: list[Any] = []
        parsed_bytes = 0
        list_changes = 0
        deadline_ms = self._clock() + MAX_PARSE_MS
        while (
            self._unparsed
            and parsed_bytes < MAX_PART_BYTES
            and list_changes < MAX_PART_LIST_CHANGES
            and len(events) < MAX_PART_EVENTS
        ):
            data = bytes(self._unparsed[:SLICE_BYTES])
            del self._unparsed[:SLICE_BYTES]
            completed = self._parser.feed(data)
            parsed_bytes += len(data)
            list_changes += sum(isinstance(event, dict) and "nodes" in event for event in completed)
            events += completed
            if self._parser.fault or self._clock() >= deadline_ms:
                break
        return events, parsed_bytes

    def _head(self) -> Commands | None:
        try:
            return parse_head(self._parser.head)
        except ProtocolError:
            return None
