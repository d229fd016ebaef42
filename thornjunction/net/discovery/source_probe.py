"""One short poll beside the channel, of which nothing is taken: how young a source is, and that its sender is
served elsewhere."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import protocol
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from thornjunction.memory.deadlines import Deadline, Deadlines
from thornjunction.net.event_loop.disconnect_reasons import disconnect_reason
from thornjunction.net.event_loop.ports import Transport
from thornjunction.net.event_loop.transport import connect_by_deadline
from thornjunction.net.wire import ProtocolError, http1
from thornjunction.net.wire.commands import Commands, decode_commands

PROBE_MS = 900.0  # for the dial and the answer
MAX_ANSWER = 65_536  # bytes: a relay tells a probe no events, and discovery has none so far on
RESUME = 1 << 53  # past all numbers: of a discovery that knows no probes

Done = Callable[[Commands | None, str], None]  # the answer, or why there is none


class ProbeConnection(protocol.Protocol):
    """Asks once; the end of the connection tells the result."""

    transport: Transport  # type: ignore[assignment]

    def __init__(self, request: bytes, done: Done) -> None:
        self.request, self.done, self.reader = request, done, http1.ResponseReader(MAX_ANSWER)
        self.answer: Commands | None = None
        self.code = ""

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.transport.write(self.request)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.code:
            return
        try:
            response = self.reader.next(data)
            if response is None:
                return
            if response.status != 200:
                raise ProtocolError(f"status-{response.status}")
            self.answer, self.code = decode_commands(response.body), "answered"
        except ProtocolError as error:
            self.code = str(error)
        self.transport.abortConnection()

    def silent(self) -> None:
        self.code = self.code or "silent"
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802
        self.done(self.answer, self.code or disconnect_reason(reason))


def probe(
    reactor: Any,
    address: tuple[str, int],
    deadlines: Deadlines,
    clock: Callable[[], float],
    name: str,
    done: Done,
) -> None:
    """Ask this source; ``done`` is called once, at the latest ``PROBE_MS`` from now.  A relay counts who has
    this name as served elsewhere."""
    target = f"/cmd/next?resume={RESUME}&block=1&as=probe&name={name}"
    request = http1.encode_get(target, f"{address[0]}:{address[1]}")
    until = clock() + PROBE_MS
    timers: list[Deadline] = []

    def once(answer: Commands | None, code: str) -> None:
        for timer in timers:
            deadlines.cancel(timer)
        done(answer, code)

    def up(link: ProbeConnection) -> None:
        timers.append(deadlines.add(until, link.silent))

    dialled: Deferred[Any] = connect_by_deadline(
        reactor, address, lambda: ProbeConnection(request, once), deadlines, until
    )
    dialled.addCallbacks(up, lambda _: done(None, "dial-failed"))
