"""The command channel: a long poll without gap or repeat.

What it has to tell counts as told 7 s later, heard or not (the protocol).  So a poll that is not answered
is noticed after about 2 s, the next connection asks for a short answer, and two silences in a row stay well
under that time; after each the patience grows, so that answers that are merely slow are heard in the end."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from twisted.internet import protocol
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from thornjunction.logs import get_logger
from thornjunction.memory.deadlines import Deadline, Deadlines
from thornjunction.net.endings import code_of, log_end
from thornjunction.net.transport import Transport, dial
from thornjunction.net.wire import ProtocolError, http1
from thornjunction.net.wire.commands import Command, Commands, decode_commands

BLOCK_MS, SILENT_MS = 1200, 800.0  # of one poll; how much later its answer may come
MOST_SILENT_MS = 5000.0  # as that grows: under the 7 s, and what the protocol lets a poll take
AT_ONCE_MS = 1  # of the first poll, and after a failure: it asks what stands now
DIAL_MS, MOST_DIAL_MS = 400.0, 1600.0  # for a connection; as that grows with dials that were not answered
AGAIN_MS, MOST_AGAIN_MS = 50.0, 400.0  # before the next try; as that grows: under a drain's grace
CLOSE_MS = 400.0  # for the last bytes to an address that was left
LOG_EACH = 256  # of failures in a row, so many are one line: some 100 s at the longest wait
MAX_ANSWER = 1_000_000  # bytes: 6,000 shelfs; parsed, the worst takes some 30 MB

log = get_logger(__name__)


def grown(first: float, times: int, most: float) -> float:
    """Doubled so many times, up to a bound."""
    return min(first * 2.0 ** min(times, 10), most)


def worth_logging(count: int) -> bool:
    """Of so many in a row: the first, the second, the fourth and so on, later one in LOG_EACH."""
    return count & (count - 1) == 0 or count % LOG_EACH == 0


class ChannelLink(protocol.Protocol):
    """One connection; polls as long as it lives."""

    transport: Transport  # type: ignore[assignment]

    def __init__(self, channel: Channel) -> None:
        self.channel, self.reader, self.code = channel, http1.ResponseReader(MAX_ANSWER), ""
        self.timer: Deadline | None = None
        self.polls, self.empty, self.asked, self.since = 0, 0, False, channel.clock()
        self.due = self.block = self.sent_at = 0.0

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.channel.link = self
        self.poll()

    def poll(self) -> None:
        channel, self.asked = self.channel, True
        doubtful = self.polls == 0 and (channel.failures > 0 or not channel.current)
        self.block, self.sent_at = (AT_ONCE_MS if doubtful else BLOCK_MS), channel.clock()
        target = f"/cmd/next?resume={channel.cursor}&block={self.block:.0f}"
        self.transport.write(http1.encode_get(target, channel.host))
        # Guards against a cut path: a poll that is not answered says nothing.
        self.due = self.sent_at + self.block + grown(SILENT_MS, channel.silences, MOST_SILENT_MS)
        self.timer = channel.deadlines.add(self.due, self._overdue)

    def _overdue(self) -> None:
        """Guards a channel that has answered against a process that was late itself, and so its poll."""
        now = self.channel.clock()
        self.timer = self.channel.deadlines.add(now + min(now - self.due, SILENT_MS), self._last_turn)

    def _last_turn(self) -> None:
        """Timers run before the sockets are read: one more turn reads what has come."""
        self.timer = self.channel.deadlines.add(self.channel.clock(), self._silent)

    def _silent(self) -> None:
        self.channel.silences += 1
        self.close("silent")

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        try:
            if not self.asked:
                raise ProtocolError("unasked")
            response = self.reader.next(data)
            if response is not None:
                self._answer(response)
        except ProtocolError as error:
            self.close(str(error))

    def _answer(self, response: http1.HttpResponse) -> None:
        channel = self.channel
        if response.status != 200:
            raise ProtocolError(f"status-{response.status}")
        commands = decode_commands(response.body)
        channel.deadlines.cancel(self.timer)
        self.polls, self.asked = self.polls + 1, False
        now, cursor = channel.clock(), channel.cursor
        channel.answered(commands, steady=now - self.since >= BLOCK_MS)
        if self.reader.held:
            raise ProtocolError("unasked")
        if not response.keep:
            raise ProtocolError("no-keep-alive")
        early = channel.cursor == cursor and now - self.sent_at < self.block - BLOCK_MS / 2
        self.empty = self.empty + 1 if early else 0
        if not early:
            return self.poll()
        # Guards the core against a channel that has nothing to tell and doesn't hold the poll.
        wait_ms = grown(AGAIN_MS, self.empty - 1, MOST_AGAIN_MS)
        self.timer = channel.deadlines.add(now + wait_ms, self.poll)

    def close(self, code: str) -> None:
        self.code = self.code or code
        self.transport.abortConnection()

    def leave(self, code: str) -> None:
        """Close in order: the other side works, it is just not asked any more."""
        if self.code:
            return
        channel, self.code = self.channel, code
        channel.deadlines.cancel(self.timer)
        self.timer = channel.deadlines.add(channel.clock() + CLOSE_MS, self.transport.abortConnection)
        self.transport.loseConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802
        channel = self.channel
        channel.deadlines.cancel(self.timer)
        channel.link = None
        lived = self.polls > 0 and channel.clock() - self.since >= BLOCK_MS
        steady = self.code == "moved" or (lived and self.code != "silent")
        channel.lost(steady, self.code or code_of(reason), self.polls)


class Channel:
    """Keeps one connection to the command channel and the number of the last event taken in."""

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
        self.link: ChannelLink | None = None
        self._dialling: Deferred[Any] | None = None

    def replay(self, known: Commands) -> None:
        """The events of the start; the channel goes on behind them."""
        self.apply(known)
        self.cursor = max(self.cursor, known.cursor)

    def answered(self, commands: Commands, steady: bool = False) -> None:
        self.silences = 0
        self.failures = 0 if steady else self.failures
        faults = commands.faults + ("behind",) * (commands.cursor < self.cursor)
        self.faulty = self.faulty + 1 if faults else 0
        if faults and worth_logging(self.faulty):
            log.error("channel-faults", cursor=self.cursor, told=commands.cursor, faults=",".join(faults))
        self.apply(commands)
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
            try:
                self.take(event)
            except Exception:  # Guards the events behind one that the program stumbles over, and its repeat
                log.exception("event-failed", cursor=event.cursor)

    def start(self) -> None:
        """Dial; what fails is tried again soon."""
        if self.stopped or self.link is not None or self._dialling is not None:
            return
        until = self.clock() + grown(DIAL_MS, self.hangs, MOST_DIAL_MS)
        connecting = dial(self.reactor, self.address, lambda: ChannelLink(self), self.deadlines, until)

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
        self.failures = self.silences = self.hangs = 0
        if self.link is not None:
            self.link.leave("moved")
        elif self._dialling is not None:
            self._dialling.cancel()

    def lost(self, steady: bool, code: str, polls: int = 0) -> None:
        """Dial soon after a connection that worked, else after a growing while: a dead end costs no core."""
        self.failures = 0 if steady else self.failures + 1
        count = self.failures
        if worth_logging(count):
            log_end("channel", None, code, polls=polls, failures=count)
        wait_ms = grown(AGAIN_MS, max(count - 1, 0), MOST_AGAIN_MS)
        # Guards a channel that comes back against all routers at one moment.
        self.deadlines.add(self.clock() + wait_ms * (0.5 + random.random() / 2), self.start)
