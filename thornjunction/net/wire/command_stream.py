"""A long response of the command channel, parsed as it arrives: each event is returned with its last byte.

``ijson`` parses; it is imported with the first long response.  Its ``items`` is not used: it keeps the path
of the current value, which grows with the square of the depth, so that 1 MB of ``[`` ends the process.
"""

from __future__ import annotations

from collections.abc import Generator
from typing import Any

from thornjunction.net.wire import ProtocolError
from thornjunction.net.wire.commands import Commands, parse_head

# Bytes between the ends of two events: a list of 6,000 endpoints.
MAX_EVENT_BYTES = 1_000_000

# Values, names and brackets of one event; the worst such event takes some 10 MB of memory.
MAX_EVENT_NODES = 1 << 17

# Depth of nesting; an event of the protocol has four levels.
MAX_DEPTH = 16

# Depth within the response.
RESPONSE_DEPTH = 1

# Depth within its list of events.
EVENTS_DEPTH = 2

# Change of the depth by the kind of a parser's call; others change nothing.
DEPTH_CHANGES = {"start_map": 1, "start_array": 1, "end_map": -1, "end_array": -1}

# Keys of what a response says beside its events.
HEAD_KEYS = ("cursor", "epoch", "age")

# Key of the list of events.
EVENTS_KEY = "cmds"

Builder = Generator[None, tuple[str, Any], None]


class CommandStreamParser:
    """Parses the body of one response in parts.

    Attributes:
        head: what the response has said beside its events, as parsed JSON.
        fault: code of what ended the parsing; empty: nothing has.  Events that were complete before it are
            valid.
    """

    def __init__(self) -> None:
        import ijson  # late, because responses are rarely long

        self.head: dict[str, Any] = {}
        self.fault = ""
        self._has_event_list = False
        self._events: list[Any] = []
        self._key = ""  # of the next value beside the events
        self._errors = (ijson.JSONError, UnicodeDecodeError)  # the second: invalid text that yajl accepts
        self._object_builder = ijson.ObjectBuilder
        self._bytes_since_event = 0
        builder = self._build_events()
        next(builder)
        # Without ``use_float``, a number of more digits than Python converts crashes the parser (3.6.0).
        self._parser: Any = ijson.basic_parse_coro(builder, use_float=True)

    def feed(self, data: bytes) -> list[Any]:
        """Return the events, as parsed JSON, that end with these bytes."""
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
        """Return what the response said beside its events.

        Raises:
            ProtocolError: ``commands-form``, the response is incomplete, or none.
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
        """Release the parser, which refers back to this object."""
        self._parser = None

    def _build_events(self) -> Builder:
        """Receive the parser's calls and build each event; some ten calls an event, so each is kept short."""
        depth = 0
        nodes = 0  # of the open event
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
                is_in_list = self._read_beside_events(depth, kind, value)
            elif depth > EVENTS_DEPTH:
                if change > 0 and depth == EVENTS_DEPTH + 1:
                    event = self._object_builder()
                    add_to_event = event.event
                    nodes = 0
                nodes += 1
                if nodes > MAX_EVENT_NODES:  # a built event can take 30 times its bytes
                    raise ProtocolError("event-size")
                add_to_event(kind, value)
            elif change:
                add_to_event(kind, value)
                self._events.append(event.value)
            else:
                self._events.append(value)  # no object: it counts as a fault when it is read

    def _read_beside_events(self, depth: int, kind: str, value: Any) -> bool:
        """Read what is outside the list of events; returns whether that begins."""
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
