"""The command channel: a long poll without gap or repeat."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import protocol
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from thornjunction.memory.deadlines import Deadline, Deadlines
from thornjunction.net.endings import code_of, log_end
from thornjunction.net.transport import Transport, dial
from thornjunction.net.wire import ProtocolError, http1
from thornjunction.net.wire.commands import Command, Commands, decode_commands

BLOCK_MS, SILENT_MS = 2000, 1500.0  # of one poll; how much later its answer may come
AT_ONCE_MS = 1  # of the first poll: it asks what stands now
DIAL_MS, AGAIN_MS = 400.0, 50.0  # for a connection; before the next try where one failed
MAX_ANSWER = 4_000_000  # bytes


class ChannelLink(protocol.Protocol):
    """One connection; polls as long as it lives."""

    transport: Transport  # type: ignore[assignment]

    def __init__(self, channel: Channel) -> None:
        self.channel, self.reader, self.code = channel, http1.ResponseReader(MAX_ANSWER), ""
        self.timer: Deadline | None = None
        self.polls = 0

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.channel.link = self
        self.poll()

    def poll(self) -> None:
        channel = self.channel
        block = BLOCK_MS if channel.current else AT_ONCE_MS
        target = f"/cmd/next?resume={channel.cursor}&block={block}"
        self.transport.write(http1.encode_get(target, channel.host))
        # Guards against a cut path: a poll that is not answered says nothing.
        when = channel.clock() + BLOCK_MS + SILENT_MS
        self.timer = channel.deadlines.add(when, lambda: self.close("silent"))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        try:
            for response in self.reader.feed(data):
                self._answer(response)
        except ProtocolError as error:
            self.close(str(error))

    def _answer(self, response: http1.HttpResponse) -> None:
        self.channel.deadlines.cancel(self.timer)
        self.polls += 1
        if response.status != 200:
            raise ProtocolError(f"status-{response.status}")
        self.channel.answered(decode_commands(response.body))
        if response.keep:
            self.poll()
        else:
            self.close("no-keep-alive")

    def close(self, code: str) -> None:
        self.code = self.code or code
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802
        self.channel.deadlines.cancel(self.timer)
        log_end("channel", None, self.code or code_of(reason), polls=self.polls)
        self.channel.link = None
        self.channel.lost(useful=self.polls > 0)


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
        self.link: ChannelLink | None = None
        self._dialling: Deferred[Any] | None = None

    def answered(self, commands: Commands) -> None:
        self.apply(commands)
        if not self.current:
            self.current = True
            self.on_current()

    def apply(self, commands: Commands) -> None:
        """Take in what is new; an event that has come before is passed over."""
        for event in commands.events:
            if event.cursor > self.cursor:
                self.cursor = event.cursor
                self.take(event)
        self.cursor = max(self.cursor, commands.cursor)

    def start(self) -> None:
        """Dial; what fails is tried again soon."""
        if self.stopped:
            return
        until = self.clock() + DIAL_MS
        connecting = dial(self.reactor, self.address, lambda: ChannelLink(self), self.deadlines, until)

        def up(_: object) -> None:
            self._dialling = None

        def failed(_: Failure) -> None:
            self._dialling = None
            log_end("channel", None, "dial-failed")
            self.lost(useful=False)

        self._dialling = connecting
        connecting.addCallbacks(up, failed)

    def move(self, address: tuple[str, int]) -> None:
        """Go on at another address.  The number of the last event stays; what the old connection had begun to
        tell comes again from there.  The end of that connection, or of that dial, starts the new one."""
        if address == self.address:
            return
        self.address, self.host = address, f"{address[0]}:{address[1]}"
        if self.link is not None:
            self.link.close("moved")
        elif self._dialling is not None:
            self._dialling.cancel()

    def lost(self, useful: bool) -> None:
        """At once after a connection that worked; else after a moment, so that a dead end costs no core."""
        if useful:
            self.start()
        else:
            self.deadlines.add(self.clock() + AGAIN_MS, self.start)
