"""A long answer of the command channel, parsed as it arrives: whole events come out as their last byte comes.

``ijson`` parses; it is imported with the first long answer.  Its ``items`` is not used: it keeps the path of
what it is in, which grows with the square of the depth, so that 1 MB of ``[`` ends the process."""

from __future__ import annotations

from collections.abc import Generator
from typing import Any

from thornjunction.net.wire import ProtocolError
from thornjunction.net.wire.commands import Commands, read_head

MAX_EVENT = 1_000_000  # bytes between the ends of two events: a list of 6,000 shelfs
MAX_NODES = 1 << 17  # values, names and brackets of one event; built, the worst takes some 10 MB
MAX_DEPTH = 16
ROOT, CMDS = 1, 2  # depths: within the answer, within its list of events
STEPS = {"start_map": 1, "start_array": 1, "end_map": -1, "end_array": -1}  # of the depth
TOLD = "cursor", "epoch", "age"  # what an answer says beside its events

Parsing = Generator[None, tuple[str, Any], None]


class LongAnswer:
    """Fed with bytes of the body, gives out whole events as parsed JSON.  ``fault`` is the code of what ended
    the parsing, empty while there was none; what came whole before it counts."""

    def __init__(self) -> None:
        import ijson  # late: on an ordinary day no answer is long

        self.told: dict[str, Any] = {}
        self.fault, self.listed = "", False  # whether the list of events has come
        self._events: list[Any] = []
        self._key = ""  # the name that the next value beside the events has
        self._errors = ijson.JSONError, UnicodeDecodeError  # the second: what only yajl takes for letters
        self._object = ijson.ObjectBuilder
        self._since = 0  # bytes since the last whole event
        building = self._build()
        next(building)
        # Without ``use_float``, a number of more digits than Python converts crashes the parser (3.6.0).
        self._parser: Any = ijson.basic_parse_coro(building, use_float=True)

    def feed(self, data: bytes) -> list[Any]:
        """The events that these bytes end."""
        try:
            self._parser.send(data)
        except ProtocolError as error:
            self.fault = str(error)
        except self._errors:
            self.fault = "commands-form"
        events, self._events = self._events, []
        self._since = 0 if events else self._since + len(data)
        if self._since > MAX_EVENT:
            self.fault = self.fault or "event-size"
        return events

    def end(self) -> Commands:
        """What the answer said beside its events; ProtocolError where it was not whole."""
        try:
            self._parser.close()
        except self._errors as error:
            raise ProtocolError("commands-form") from error
        finally:
            self.drop()
        if not self.listed:
            raise ProtocolError("commands-form")
        return read_head(self.told)

    def drop(self) -> None:
        """Let go of what is half parsed: the parser and this know each other."""
        self._parser = None

    def _build(self) -> Parsing:
        """Takes the parser's calls, and builds each event; some ten calls an event, so no more of its own."""
        depth, nodes, listing, step_of = 0, 0, False, STEPS.get
        build = self._object()
        put = build.event
        while True:
            kind, value = yield
            step = step_of(kind, 0)
            depth += step
            if depth > MAX_DEPTH:
                raise ProtocolError("commands-depth")
            if not listing or depth < CMDS:
                listing = self._beside(depth, kind, value)
            elif depth > CMDS:
                if step > 0 and depth == CMDS + 1:
                    build, nodes = self._object(), 0
                    put = build.event
                nodes += 1
                if nodes > MAX_NODES:  # Guards against an event that takes 30 times its bytes
                    raise ProtocolError("event-size")
                put(kind, value)
            elif step:
                put(kind, value)
                self._events.append(build.value)
            else:
                self._events.append(value)  # no event; it counts as a fault

    def _beside(self, depth: int, kind: str, value: Any) -> bool:
        """What stands outside the list of events; true where that begins."""
        if depth < ROOT or (depth == ROOT and kind == "start_array"):
            if kind != "end_map":
                raise ProtocolError("commands-form")
        elif depth == ROOT and kind == "map_key":
            self._key = value
        elif depth == ROOT and kind not in STEPS and self._key in TOLD:
            self.told[self._key] = value
        elif depth == CMDS and kind == "start_array" and self._key == "cmds":
            self.listed = True
            return True
        return False
