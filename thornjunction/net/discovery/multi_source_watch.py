"""The command channel at several sources: relays, or discovery itself (``docs/design/control.md``).

Which of them is polled, and what is taken of what it tells, the machines of ``control_client`` decide; this
carries it out.  Imported only where the operators' file has ``[control]`` or ``[relay]``."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from control_client import (
    EndpointListEvent,
    PollAnswered,
    PollFailed,
    PollSent,
    ProbeAnswered,
    ProbeFailed,
    PurgeEvent,
    SelectorAction,
    SelectorEvent,
    SelectorNotice,
    SendProbe,
    SourceSelector,
    StartPolling,
    StateEvent,
    StateFollower,
    StopPolling,
    SyncStatus,
    jittered,
)
from sansio_core import Address, Notice, SetTimer, Started, TimerFired

from thornjunction import interface as api
from thornjunction.log_events import LogEvent
from thornjunction.log_thinning import should_log
from thornjunction.logs import get_logger
from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.discovery.source_probe import Done, probe
from thornjunction.net.discovery.watch_client import WatchClient
from thornjunction.net.event_loop.unix_clock import UnixClock
from thornjunction.net.wire import ProtocolError
from thornjunction.net.wire.commands import Command, Commands, ListChange, parse_partial

POLL_MS, PATIENCE_MS = 800.0, 500.0  # of one poll; how much later its answer may come
FAREWELL_MS, MOST_FAREWELL_MS = 2000.0, 60_000.0  # between tries to tell a source that it was left

log = get_logger(__name__)


def event_of(command: Command, unix_ms: float) -> StateEvent:
    """A command in the machine's form, itself within it."""
    if isinstance(command, ListChange):
        gone = api.ServerState.REMOVED
        lines = {host.name: host if host.state is not gone else None for host in command.hosts}
        return EndpointListEvent(command.cursor, command.seq, command.is_complete, lines, command)
    return PurgeEvent(
        command.cursor, (command.key, command.group), min(command.issued_unix_ms, unix_ms), command
    )


def command_of(event: StateEvent) -> Command:
    if isinstance(event, EndpointListEvent) and event.payload is None:
        return ListChange(event.number, True, tuple(event.endpoints.values()), event.seq)
    command: Command = event.payload
    return command


class MultiSourceWatch(WatchClient):
    """``words`` gives what a poll says of its sender, by whether a sibling is asked; ``name`` is its own.
    ``on_epoch`` is called where numbers start anew, before anything is taken in them; ``on_confirmed``
    with the age (ms) of what is held and the number up to which all was taken, where an answer has told
    all."""

    block_ms = least_ms = POLL_MS
    silent_ms = PATIENCE_MS

    def __init__(
        self,
        reactor: Any,
        sources: SourceSelector,
        hold_ms: float,
        deadlines: Deadlines,
        clock: Callable[[], float],
        take: Callable[[Command], None],
        on_current: Callable[[], None],
        name: str,
        words: Callable[[bool], str],
        on_epoch: Callable[[], None] = lambda: None,
        on_confirmed: Callable[[float, int], None] = lambda age_ms, number: None,
    ) -> None:
        first = next(iter(sources.sources))
        super().__init__(reactor, first, deadlines, clock, take, on_current)
        self.sources, self.follower = sources, StateFollower(hold_ms)
        self.name, self.words, self.on_epoch, self.on_confirmed = name, words, on_epoch, on_confirmed
        self._asked_for: Address | None = None  # whom the machine wants polled
        self._open = False  # a connection or dial of ours is there, or its end is still to come
        self._begun = False  # an answer in pieces has begun
        self._fails = 0  # in a row, for the log
        self._farewells: dict[Address, int] = {}  # sources that count on us, by the turn of telling them
        self._said = 0
        self.probes = 0  # that are out
        self._unix, self._unix_ms = UnixClock(), 0.0

    def replay(self, known: Commands) -> None:
        """The list and the purges of the start.  The list counts as of now, in discovery's numbers."""
        lists = [event for event in known.events if isinstance(event, ListChange)]
        for event in known.events:
            self._feed(event)
        if lists:
            self.follower.seed(self.clock(), known.cursor, lists[-1].seq)
        self.cursor = self.follower.cursor

    def start(self) -> None:
        if self.stopped:
            return
        if self._asked_for is None and self.sources.current is None:
            return self._feed_machine(Started())
        self._dial()

    def move(self, address: Address) -> None:
        """The configuration's own channel is not polled here."""
        log.info(LogEvent.CHANNEL_IGNORED, channel=f"{address[0]}:{address[1]}", cause="[control]")

    @property
    def doubtful(self) -> bool:
        return True

    def target(self, block_ms: float) -> str:
        position = self.follower.begin_poll(self.clock())
        self.cursor = self._asked = self.follower.cursor
        epoch = f"&epoch={position.epoch}" if position.epoch else ""
        words = self.words(self.sources.sources[self.address].is_sibling)
        return f"/cmd/next?resume={position.resume}&block={block_ms:.0f}{epoch}{words}"

    def expecting(self) -> None:
        self._feed_machine(PollSent(self.address))

    def answered(self, commands: Commands, steady: bool = False) -> None:
        """An answer has come whole; of a long one, its events have been offered."""
        self.silences = self._fails = 0
        if not self._begun:
            self._begin(commands)
        elif (commands.epoch or "") != self.follower.epoch:
            raise ProtocolError("epoch-late")
        self._begun = False
        if commands.faults:
            self.faulty += 1
            if should_log(self.faulty):
                faults = ",".join(commands.faults)
                log.error(LogEvent.DISCOVERY_EVENTS_REJECTED, response_cursor=commands.cursor, faults=faults)
        status = self._take(commands.events, commands.cursor)
        now, follower = self.clock(), self.follower
        if status is SyncStatus.IN_SYNC:
            self.on_confirmed(follower.age_ms(now), follower.cursor)
        if follower.has_list and status is not SyncStatus.MORE_AVAILABLE and not self.current:
            self.current = True
            self.on_current()
        age_ms = commands.age_ms or 0.0
        self._feed_machine(PollAnswered(self.address, age_ms, is_stale=status is SyncStatus.SOURCE_STALE))

    def apply_piece(self, head: Commands | None, listed: list[Any]) -> Commands:
        """Offer what is new of a long answer's piece; a list is put together until its end."""
        if not self._begun:
            self._begin(head or Commands(-1, ()))
            self._begun = True
        piece = parse_partial(listed, self.follower.cursor)
        self._take(piece.events, None)
        return piece

    def _begin(self, head: Commands) -> None:
        follower, before = self.follower, self.follower.epoch
        told = head.cursor if head.cursor >= 0 else None
        follower.begin_response(self.clock(), head.epoch or "", head.age_ms or 0.0, told)
        self._unix_ms = self._unix.now_ms()
        if follower.epoch != before:
            self.on_epoch()

    def _take(self, commands: tuple[Command, ...], last: int | None) -> SyncStatus:
        """Offer these; with ``last``, the answer's own number, this is its end.  Drains go before purges."""
        events = [event_of(command, self._unix_ms) for command in commands]
        taken: list[StateEvent] = [event for event in events if self.follower.accept_event(event)]
        whole = None
        status = SyncStatus.MORE_AVAILABLE
        if last is not None:
            outcome = self.follower.end_response(last)
            whole = outcome.merged_list
            status = outcome.status
        lists = [event for event in taken if isinstance(event, EndpointListEvent)]
        purges = [event for event in taken if isinstance(event, PurgeEvent)]
        ready: list[StateEvent] = [*lists, *([whole] if whole is not None else []), *purges]
        for event in ready:
            self._feed(command_of(event))
        self.cursor = self.follower.cursor
        return status

    def _feed(self, event: Command) -> None:
        try:
            self.take(event)
        except Exception:  # Guards the events behind one that the program stumbles over, and its repeat
            log.exception(LogEvent.DISCOVERY_EVENT_FAILED, cursor=event.cursor)

    def lost(self, steady: bool, code: str, polls: int = 0) -> None:
        """The connection or dial has ended.  One that was left ends by itself, and the next may begin."""
        self._open = self._begun = False
        if self.stopped:
            return
        if code == "moved" or self._asked_for != self.address:
            return self._dial()
        self._asked_for, left = None, self.address
        self._feed_machine(PollFailed(left, code))
        if self._asked_for != left:
            self._say_farewell(left, FAREWELL_MS)

    def _feed_machine(self, event: SelectorEvent) -> None:
        if self.stopped:
            return
        for action in self.sources.handle(self.clock(), event):
            self._carry_out(action)

    def _carry_out(self, action: SelectorAction) -> None:
        match action:
            case StartPolling(source):
                self._asked_for = source
                self._farewells.pop(source, None)
                self._dial()
            case StopPolling(source):
                self._asked_for = None
                self._say_farewell(source)
                if self.link is not None:
                    self.link.leave("moved")
                elif self._dialling is not None:
                    self._dialling.cancel()
            case SendProbe(source):
                self._probe(source, self._probed(source))
            case SetTimer(in_ms, token):
                self.deadlines.add(self.clock() + in_ms, lambda: self._feed_machine(TimerFired(token)))
            case Notice(name, fields):
                self._fails += name == SelectorNotice.SOURCE_FAILED
                if should_log(max(self._fails, 1)):
                    log.info(name, failures=self._fails, **fields)

    def _dial(self) -> None:
        """Go to whom the machine wants polled, once the connection before has ended."""
        if self._asked_for is None or self._open or self.stopped:
            return
        self.address = self._asked_for
        self.host = f"{self.address[0]}:{self.address[1]}"
        self.failures = self.hangs = self.wasted = 0  # silences count over all, until one answers
        self._open = True
        super().start()

    def _probe(self, source: Address, done: Done) -> None:
        def over(answer: Commands | None, code: str) -> None:
            self.probes -= 1
            done(answer, code)

        self.probes += 1
        probe(self.reactor, source, self.deadlines, self.clock, self.name, over)

    def _probed(self, source: Address) -> Done:
        def done(answer: Commands | None, code: str) -> None:
            if answer is not None:
                self._farewells.pop(source, None)
                self._feed_machine(ProbeAnswered(source, answer.age_ms or 0.0))
            else:
                self._feed_machine(ProbeFailed(source))

        return done

    def _say_farewell(self, source: Address, in_ms: float = 0.0) -> None:
        """Tell a source that we are served elsewhere, until it has heard it or is asked again: else it waits
        for us, and what is done everywhere is never told."""
        self._said += 1
        self._farewells[source] = self._said
        self._farewell(source, self._said, in_ms)

    def _farewell(self, source: Address, turn: int, in_ms: float) -> None:
        def done(answer: Commands | None, _: str) -> None:
            if self._farewells.get(source) != turn:
                return
            if answer is not None:
                del self._farewells[source]
            else:
                self._farewell(source, turn, min(max(2.0 * in_ms, FAREWELL_MS), MOST_FAREWELL_MS))

        def say() -> None:
            if self._farewells.get(source) == turn and not self.stopped:
                self._probe(source, done)

        if in_ms > 0.0:
            self.deadlines.add(self.clock() + jittered(in_ms, self.sources.draw), say)
        else:
            say()

    def figures(self) -> dict[str, int]:
        """For the operators: age of what is held (-1: never confirmed), place of the source that is asked in
        their order (-1: none), and moves from one to another."""
        age_ms, current = self.follower.age_ms(self.clock()), self.sources.current
        return {
            "control_age_ms": int(age_ms) if math.isfinite(age_ms) else -1,
            "control_source": current.priority if current is not None else -1,
            "control_moves": self.sources.switches,
        }
