"""Incremental parser of a long response of the command channel; returns each event as soon as it is complete.

It uses ``ijson``, which is imported with the first long response.  ``ijson.items`` is not used, because it
keeps the path of the current value, whose memory grows with the square of the depth, so that 1 MB of ``[``
would end the process.
"""

from __future__ import annotations

from collections.abc import Generator
from typing import Any

from thornjunction.net.wire import ProtocolError
from thornjunction.net.wire.commands import Commands, parse_head

# Most bytes between the ends of two events; a list of 6,000 endpoints has about this size.
MAX_EVENT_BYTES = 1_000_000

# Most values, names and brackets of one event; the worst such event takes about 10 MB of memory.
MAX_EVENT_NODES = 1 << 17

# Largest depth of nesting; an event of the protocol has four levels.
MAX_DEPTH = 16

# Depth of the values in the response object.
RESPONSE_DEPTH = 1

# Depth of the events in the list of events.
EVENTS_DEPTH = 2

# Change of the depth by the kind of a parser event; other kinds do not change it.
DEPTH_CHANGES = {"start_map": 1, "start_array": 1, "end_map": -1, "end_array": -1}

# Keys of a response other than its events.
HEAD_KEYS = ("cursor", "epoch", "age")

# Key of the list of events.
EVENTS_KEY = "cmds"

Builder = Generator[None, tuple[str, Any], None]


class CommandStreamParser:
    """Parses the body of one response in parts.

    Attributes:
        head: the values of the response other than its events, as parsed JSON.
        fault: code of the fault that ended the parsing; empty if there is none.  Events that were complete
            before the fault are valid.
    """

    def __init__(self) -> None:
        import ijson  # imported here, because long responses are rare

        self.head: dict[str, Any] = {}
        self.fault = ""
        self._has_event_list = False
        self._events: list[Any] = []
        self._key = ""  # key of the next value outside the list of events
        self._errors = (ijson.JSONError, UnicodeDecodeError)  # the second for invalid text that yajl accepts
        self._object_builder = ijson.ObjectBuilder
        self._bytes_since_event = 0
        builder = self._build_events()
        next(builder)
        # Without ``use_float``, a number with more digits than Python converts crashes ijson 3.6.0.
        self._parser: Any = ijson.basic_parse_coro(builder, use_float=True)

    def feed(self, data: bytes) -> list[Any]:
        """Parse bytes, and return the events that are complete with them, as parsed JSON."""
        try:
            self._parser.send(data)
        except ProtocolError as error:
            self.fault = str(error)
        except self._errors:
            self.fault = "commands-form"
        events = self._events
        self._events = []
        self._bytes_since_event = 0 if events else self._bytes_since_event + len(data)
        if self._bytes_since_event > MAX_EVENT_BYTES:
            self.fault = self.fault or "event-size"
        return events

    def finish(self) -> Commands:
        """Return the response without its events.

        Raises:
            ProtocolError: ``commands-form``, the response is incomplete or malformed.
        """
        try:
            self._parser.close()
        except self._errors as error:
            raise ProtocolError("commands-form") from error
        finally:
            self.discard()
        if not self._has_event_list:
            raise ProtocolError("commands-form")
        return parse_head(self.head)

    def discard(self) -> None:
        """Release the parser, which has a reference to this object."""
        self._parser = None

    def _build_events(self) -> Builder:
        """Build events from the parser's calls, about ten for each event; the loop must be fast."""
        depth = 0
        nodes = 0  # number of nodes of the event that is being built
        is_in_list = False
        depth_change = DEPTH_CHANGES.get
        event = self._object_builder()
        add_to_event = event.event
        while True:
            kind, value = yield
            change = depth_change(kind, 0)
            depth += change
            if depth > MAX_DEPTH:
                raise ProtocolError("commands-depth")
            if not is_in_list or depth < EVENTS_DEPTH:
                is_in_list = self._read_outside_events(depth, kind, value)
            elif depth > EVENTS_DEPTH:
                if change > 0 and depth == EVENTS_DEPTH + 1:
                    event = self._object_builder()
                    add_to_event = event.event
                    nodes = 0
                nodes += 1
                if nodes > MAX_EVENT_NODES:  # a parsed event can take 30 times its size in JSON
                    raise ProtocolError("event-size")
                add_to_event(kind, value)
            elif change:
                add_to_event(kind, value)
                self._events.append(event.value)
            else:
                self._events.append(value)  # not an object; reported as a fault when the event is read

    def _read_outside_events(self, depth: int, kind: str, value: Any) -> bool:
        """Read a value outside the list of events; returns whether that list begins."""
        if depth < RESPONSE_DEPTH or (depth == RESPONSE_DEPTH and kind == "start_array"):
            if kind != "end_map":
                raise ProtocolError("commands-form")
        elif depth == RESPONSE_DEPTH and kind == "map_key":
            self._key = value
        elif depth == RESPONSE_DEPTH and kind not in DEPTH_CHANGES and self._key in HEAD_KEYS:
            self.head[self._key] = value
        elif depth == EVENTS_DEPTH and kind == "start_array" and self._key == EVENTS_KEY:
            self._has_event_list = True
            return True
        return False
