"""The command channel: a long poll without gap or repeat.

What it has to tell counts as told 7 s later, heard or not (the protocol).  So a poll that is not answered
is noticed after about 2 s, the next connection asks for a short answer, and two silences in a row stay well
under that time; after each the patience grows, so that answers that are merely slow are heard in the end."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from thornjunction.logs import get_logger
from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.discovery.epoch_change import EpochChangeDetector, RemovedEndpoints, is_new_start
from thornjunction.net.discovery.resynchronization import SHORT
from thornjunction.net.discovery.watch_connection import BLOCK_MS, SILENT_MS, WatchConnection
from thornjunction.net.event_loop.backoff import exponential_backoff, should_log
from thornjunction.net.event_loop.disconnect_reasons import log_disconnect
from thornjunction.net.event_loop.transport import connect_by_deadline
from thornjunction.net.wire.commands import Command, Commands, ListChange, parse_partial

DIAL_MS, MOST_DIAL_MS = 400.0, 1600.0  # for a connection; as that grows with dials that were not answered
AGAIN_MS, MOST_AGAIN_MS = 50.0, 400.0  # before the next try; as that grows: under a drain's grace
WASTED_MS, MOST_WASTED_MS = (
    400.0,
    5000.0,
)  # the same where much was read for nothing: each costs a core's time

log = get_logger(__name__)


class WatchClient:
    """Keeps one connection to the command channel and the number of the last event taken in."""

    block_ms: float = BLOCK_MS  # of a poll
    silent_ms: float = SILENT_MS  # how much later its answer may come
    least_ms: float = 0.0  # of the wait for a poll that asks for an answer at once, before that

    def __init__(
        self,
        reactor: Any,
        address: tuple[str, int],
        deadlines: Deadlines,
        clock: Callable[[], float],
        take: Callable[[Command], None],
        on_current: Callable[[], None],
    ) -> None:
        self.reactor, self.address, self.deadlines, self.clock = reactor, address, deadlines, clock
        self.take, self.cursor, self.host = take, 0, f"{address[0]}:{address[1]}"
        self.on_current, self.current = on_current, False  # all that stood at the start has been taken in
        self.stopped = False
        self.failures = self.faulty = 0  # in a row: ends without an answer, or soon after one; answers
        self.silences = self.hangs = 0  # in a row: polls, and dials, that were not answered in time
        self.wasted = 0  # in a row: long answers that were read for nothing
        self.link: WatchConnection | None = None
        self._asked = 0  # the cursor at the last poll
        self._numbers, self._departed, self._renewing = EpochChangeDetector(), RemovedEndpoints(), False
        self._dialling: Deferred[Any] | None = None

    def figures(self) -> dict[str, int]:
        """For the operators' door, beside the others."""
        return {}

    def replay(self, known: Commands) -> None:
        """The events of the start; the channel goes on behind them."""
        self.apply(known)
        self.cursor = max(self.cursor, known.cursor)

    def ask(self) -> int:
        """What the next poll resumes from."""
        self._asked = self.cursor
        return 0 if self._numbers.asking else self.cursor

    def target(self, block_ms: float) -> str:
        """Of the next poll."""
        return f"/cmd/next?resume={self.ask()}&block={block_ms:.0f}"

    def expecting(self) -> None:
        """A poll has gone out, or a part of its answer has come."""

    @property
    def doubtful(self) -> bool:
        """Whether the first poll of a connection asks what stands now."""
        return self.failures > 0 or not self.current

    @property
    def still(self) -> bool:
        """Whether nothing new has come since the last poll."""
        return self.cursor == self._asked

    def answered(self, commands: Commands, steady: bool = False) -> None:
        """An answer has come whole; of a long one, its events have been applied."""
        self.silences = 0
        self.failures = 0 if steady else self.failures
        self._settle(commands.cursor, commands)
        behind = commands.cursor < self._asked
        faults = commands.faults + ("behind",) * behind
        self.faulty = self.faulty + 1 if faults else 0
        if faults and should_log(self.faulty):
            log.error("channel-faults", cursor=self.cursor, told=commands.cursor, faults=",".join(faults))
        self.apply(commands)
        self._renewing = False
        self._numbers.heard(behind and self.still, self.clock())
        if not self.current:
            self.current = True
            self.on_current()

    def apply(self, commands: Commands) -> None:
        """Take in what is new, in the order of the numbers; an event that has come before is passed over.
        The cursor never goes past the last event that came: what the answer's own says beyond it is asked for
        again."""
        start = self.cursor
        for event in commands.events:
            if event.cursor <= start:
                continue
            self.cursor = event.cursor
            self._feed(event)

    def apply_piece(self, head: Commands | None, listed: list[Any]) -> Commands:
        """Take in what is new of a long answer's piece, the drains before the purges; the cursor moves past
        all of it, or none.  ``head`` is what the answer says beside its events, where that has come."""
        if self._numbers.asking:
            self._settle(head.cursor if head else None, parse_partial(listed, 0))
        piece = parse_partial(listed, self.cursor)
        for event in piece.events:
            self._feed(event)
        self.cursor = piece.cursor
        return piece

    def _feed(self, event: Command) -> None:
        if isinstance(event, ListChange):
            if self._renewing:
                event = self._departed.kept_out(event)
            self._departed.note(event)
        try:
            self.take(event)
        except Exception:  # Guards the events behind one that the program stumbles over, and its repeat
            log.exception("event-failed", cursor=event.cursor)

    def _settle(self, told: int | None, begun: Commands) -> None:
        """Where this was asked from 0: go on by new numbers, or by those that stand."""
        if not self._numbers.asking:
            return
        self._renewing = is_new_start(told, self.cursor, begun)
        self._numbers.settled(self._renewing)
        log.error("channel-asked-anew", cursor=self.cursor, told=told, new_start=self._renewing)
        if self._renewing:
            self.cursor = self._asked = 0

    def read(self, wasted: int, useful: bool) -> None:
        """The end of an answer, whole or not: bytes that were read since the last new event, and whether it
        told something or held its poll."""
        if wasted > SHORT:
            self.wasted += 1
        elif useful:
            self.wasted = 0

    def pause_ms(self, times: int, spread: bool = False) -> float:
        """Before the next try, after so many in a row that brought nothing."""
        wait_ms = exponential_backoff(AGAIN_MS, max(times - 1, 0), MOST_AGAIN_MS)
        if self.wasted:
            wait_ms = max(wait_ms, exponential_backoff(WASTED_MS, self.wasted - 1, MOST_WASTED_MS))
        return wait_ms * (0.5 + random.random() / 2) if spread or self.wasted else wait_ms

    def start(self) -> None:
        """Dial; what fails is tried again soon."""
        if self.stopped or self.link is not None or self._dialling is not None:
            return
        until = self.clock() + exponential_backoff(DIAL_MS, self.hangs, MOST_DIAL_MS)
        connecting = connect_by_deadline(
            self.reactor, self.address, lambda: WatchConnection(self), self.deadlines, until
        )

        def up(_: object) -> None:
            self._dialling, self.hangs = None, 0

        def failed(_: Failure) -> None:
            self._dialling, self.hangs = None, self.hangs + 1 if self.clock() >= until else 0
            self.lost(False, "dial-failed")

        self._dialling = connecting
        connecting.addCallbacks(up, failed)

    def move(self, address: tuple[str, int]) -> None:
        """Go on at another address.  The number of the last event stays; what the old connection had begun to
        tell comes again from there.  The end of that connection, or of that dial, starts the new one."""
        if address == self.address:
            return
        self.address, self.host = address, f"{address[0]}:{address[1]}"
        self.failures = self.silences = self.hangs = self.wasted = 0
        self._numbers = EpochChangeDetector()
        if self.link is not None:
            self.link.leave("moved")
        elif self._dialling is not None:
            self._dialling.cancel()

    def lost(self, steady: bool, code: str, polls: int = 0) -> None:
        """Dial soon after a connection that worked, else after a growing while: a dead end costs no core."""
        self.failures = 0 if steady else self.failures + 1
        count = self.failures
        if should_log(count):
            log_disconnect("channel", None, code, polls=polls, failures=count)
        # Guards a channel that comes back against all routers at one moment.
        self.deadlines.add(self.clock() + self.pause_ms(count, spread=True), self.start)
