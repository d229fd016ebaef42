"""One connection of the command channel: polls, answers, and what ends it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet import protocol
from twisted.python.failure import Failure

from thornjunction.memory.deadlines import Deadline
from thornjunction.net.discovery.resynchronization import LONGEST, SHORT, Resynchronization
from thornjunction.net.event_loop.backoff import exponential_backoff
from thornjunction.net.event_loop.disconnect_reasons import disconnect_reason
from thornjunction.net.event_loop.ports import Transport
from thornjunction.net.wire import ProtocolError, http1
from thornjunction.net.wire.commands import Commands, decode_commands

if TYPE_CHECKING:
    from thornjunction.net.discovery.watch_client import WatchClient

BLOCK_MS, SILENT_MS = 1200, 800.0  # of one poll; how much later its answer, or the next piece, may come
MOST_SILENT_MS = 5000.0  # as that grows: under the 7 s, and what the protocol lets a poll take
AT_ONCE_MS = 1  # of the first poll, and after a failure: it asks what stands now
CLOSE_MS = 400.0  # for the last bytes to an address that was left
REST, MOST_REST_MS = 0.5, 10.0  # after a piece, of its time: for requests
LONG_MS = 30_000.0  # for one answer in pieces; what is left of it then is asked for again


class WatchConnection(protocol.Protocol):
    """Polls as long as it lives."""

    transport: Transport  # type: ignore[assignment]

    def __init__(self, channel: WatchClient) -> None:
        self.channel, self.reader, self.code = channel, http1.ResponseReader(LONGEST), ""
        self.timer: Deadline | None = None
        self.turn: Deadline | None = None  # for the next piece of a long answer
        self.long: Resynchronization | None = None
        self.keep = True  # whether the long answer lets the connection go on
        self.polls, self.empty, self.asked, self.since = 0, 0, False, channel.clock()
        self.due = self.block = self.sent_at = 0.0

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.channel.link = self
        self.poll()

    def poll(self) -> None:
        channel, self.asked = self.channel, True
        doubtful = self.polls == 0 and channel.doubtful
        self.block, self.sent_at = (AT_ONCE_MS if doubtful else channel.block_ms), channel.clock()
        self.transport.write(http1.encode_get(channel.target(self.block), channel.host))
        # Guards against a cut path: a poll that is not answered says nothing.
        self._expect(self.sent_at + max(self.block, channel.least_ms))

    def _expect(self, start: float) -> None:
        """The answer, or the next piece of it, from then on."""
        channel = self.channel
        channel.deadlines.cancel(self.timer)
        channel.expecting()
        self.due = start + exponential_backoff(channel.silent_ms, channel.silences, MOST_SILENT_MS)
        if self.long is not None:
            self.due = min(self.due, self.long.until)
        self.timer = channel.deadlines.add(self.due, self._overdue)

    def _overdue(self) -> None:
        """Guards a channel that has answered against a process that was late itself, and so its poll."""
        now = self.channel.clock()
        self.timer = self.channel.deadlines.add(now + min(now - self.due, SILENT_MS), self._last_turn)

    def _last_turn(self) -> None:
        """Timers run before the sockets are read: one more turn reads what has come."""
        self.timer = self.channel.deadlines.add(self.channel.clock(), self._silent)

    def _silent(self) -> None:
        if self.long is not None and self.channel.clock() >= self.long.until:
            return self.close("long")
        self.channel.silences += 1
        self.close("silent")

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        try:
            if not self.asked:
                raise ProtocolError("unasked")
            response = self.reader.next(data)
            told = self.reader.announced_bytes if response is None else len(response.body)
            if self.long is None and told > SHORT:
                self._begin_long(response or self.reader.head())
            if self.long is not None:
                body = self.reader.take_body() if response is None else response.body
                self.long.put(body, response is not None)
                self._piece()
            elif response is not None:
                self._answer(response)
        except ProtocolError as error:
            self.close(str(error))

    def _answer(self, response: http1.HttpResponse) -> None:
        if response.status != 200:
            raise ProtocolError(f"status-{response.status}")
        self.keep = response.keep_alive
        self._answered(decode_commands(response.body))

    def _begin_long(self, head: http1.HttpResponse) -> None:
        if head.status != 200:
            raise ProtocolError(f"status-{head.status}")
        channel, self.keep = self.channel, head.keep_alive
        self.long = Resynchronization(channel.clock, channel.clock() + LONG_MS, channel.apply_piece)

    def _piece(self) -> None:
        """Take as much as a turn may; then the requests have theirs, before the connection is read again."""
        channel, long = self.channel, self.long
        assert long is not None
        started = channel.clock()
        if long.take():
            self._expect(channel.clock())
        if long.ended and not long.waits:
            return self._answered(long.end())
        self.transport.pauseProducing()
        now = channel.clock()
        self.turn = channel.deadlines.add(now + min(REST * (now - started), MOST_REST_MS), self._next_piece)

    def _next_piece(self) -> None:
        if self.code or self.long is None:
            return
        if not self.long.waits:
            return self.transport.resumeProducing()
        try:
            self._piece()
        except ProtocolError as error:
            return self.close(str(error))
        if self.long is None:
            self.turn = self.channel.deadlines.add(self.channel.clock(), self.transport.resumeProducing)

    def _answered(self, commands: Commands) -> None:
        channel, now, long = self.channel, self.channel.clock(), self.long
        channel.deadlines.cancel(self.timer)
        self.polls, self.asked, self.long = self.polls + 1, False, None
        channel.answered(commands, steady=now - self.since >= channel.block_ms)
        if self.reader.held:
            raise ProtocolError("unasked")
        if not self.keep:
            raise ProtocolError("no-keep-alive")
        quick = long is not None or now - self.sent_at < self.block - channel.block_ms / 2
        early = channel.still and quick
        self.empty = self.empty + 1 if early else 0
        channel.read(long.wasted if early and long is not None else 0, useful=not early)
        if not early:
            return self.poll()
        # Guards the core against a channel that has nothing to tell and doesn't hold the poll.
        self.timer = channel.deadlines.add(now + channel.pause_ms(self.empty), self.poll)

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
        channel.deadlines.cancel(self.turn)
        channel.link = None
        lived = self.polls > 0 and channel.clock() - self.since >= channel.block_ms
        steady = self.code == "moved" or (lived and self.code != "silent")
        if self.long is not None:
            steady = steady or not channel.still
            channel.read(self.long.wasted, useful=not channel.still)
            self.long.drop()
        channel.lost(steady, self.code or disconnect_reason(reason), self.polls)
