"""A long answer of the command channel, taken in pieces while it arrives."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from thornjunction.net.wire import ProtocolError
from thornjunction.net.wire.command_stream import CommandStreamParser
from thornjunction.net.wire.commands import MAX_REPORTED_FAULTS, Commands, parse_head

SHORT = 65_536  # bytes of body: what is no longer is read whole, at once
LONGEST = 64_000_000  # bytes of body: an hour behind, 122,400 purges, is 10 MB
PIECE, SLICE = 65_536, 8192  # bytes: of a turn at most, and between two looks at the clock
PIECE_MS = 4.0  # of parsing in a turn; what was parsed then is applied
PIECE_CHANGES = 16  # list changes of a turn: each is weighed by the decisions
PIECE_EVENTS = 200  # of a turn, and what one slice more holds: a relay spends some 20 us on each

Apply = Callable[[Commands | None, list[Any]], Commands]


class Resynchronization:
    """Cuts one long answer into pieces.  ``apply`` is given a piece: what the answer says beside its events
    where that has come, and whole events as parsed JSON; it says what was new in them.  Ends at ``until`` on
    the clock (ms)."""

    def __init__(self, clock: Callable[[], float], until: float, apply: Apply) -> None:
        self.clock, self.until, self.apply = clock, until, apply
        self.ended = False  # the last byte of the answer has been put
        self.wasted = 0  # bytes since the last new event
        self._answer, self._waiting, self._faults = CommandStreamParser(), bytearray(), list[str]()
        self._still = 0  # bytes since the last progress

    @property
    def waits(self) -> bool:
        """Whether bytes are left for the next turn."""
        return bool(self._waiting)

    def put(self, data: bytes, ended: bool) -> None:
        self._waiting += data
        self.ended = ended

    def take(self) -> bool:
        """One piece; true where it was progress: a whole event, or many bytes of one that is long.
        ProtocolError where the answer is none; what was whole before that has been applied."""
        listed, read = self._parse()
        self._still, self.wasted = self._still + read, self.wasted + read
        progress = bool(listed) or self._still >= PIECE
        if listed:
            taken = self.apply(self._head(), listed)
            self._faults += taken.faults[: MAX_REPORTED_FAULTS - len(self._faults)]
            self.wasted = 0 if taken.events else self.wasted
        if self._answer.fault:
            raise ProtocolError(self._answer.fault)
        self._still = 0 if progress else self._still
        return progress

    def end(self) -> Commands:
        """What the answer said beside its events, and the faults in these; ProtocolError where it was not
        whole."""
        head = self._answer.finish()
        return Commands(head.cursor, (), tuple(self._faults), head.epoch, head.age_ms)

    def drop(self) -> None:
        self._answer.discard()
        self._waiting.clear()

    def _parse(self) -> tuple[list[Any], int]:
        """A turn's events, and how many bytes were read for them."""
        listed, read, changes, until = list[Any](), 0, 0, self.clock() + PIECE_MS
        while self._waiting and read < PIECE and changes < PIECE_CHANGES and len(listed) < PIECE_EVENTS:
            part = bytes(self._waiting[:SLICE])
            del self._waiting[:SLICE]
            events, read = self._answer.feed(part), read + len(part)
            changes += sum(isinstance(event, dict) and "nodes" in event for event in events)
            listed += events
            if self._answer.fault or self.clock() >= until:
                break
        return listed, read

    def _head(self) -> Commands | None:
        try:
            return parse_head(self._answer.head)
        except ProtocolError:
            return None
