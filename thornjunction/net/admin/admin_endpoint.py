"""The admin endpoint for operators, where each connection carries one call and its reply."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from twisted.internet import protocol
from twisted.python.failure import Failure

from thornjunction.memory.deadlines import Deadline, Deadlines
from thornjunction.net.event_loop.disconnect_reasons import (
    ConnectionKind,
    DisconnectReason,
    disconnect_reason,
    log_disconnect,
)
from thornjunction.net.event_loop.ports import Transport
from thornjunction.net.wire import ProtocolError
from thornjunction.net.wire.admin import LineReader, encode_reply

# Maximum number of simultaneous connections.
MAX_CONNECTIONS = 16

# Milliseconds within which a call must arrive completely and its reply be read.
CALL_TIMEOUT_MS = 3_000.0

Call = Callable[[], bytes]
CallWithArgument = Callable[[str], bytes]


class AdminEndpoint:
    """Makes the calls that lines name, and bounds the connections, which are kept in order of acceptance.

    ``calls`` and ``calls_with_argument`` map names to functions; the latter get the text after the name.
    """

    def __init__(
        self,
        calls: Mapping[str, Call],
        deadlines: Deadlines,
        clock: Callable[[], float],
        calls_with_argument: Mapping[str, CallWithArgument] | None = None,
    ) -> None:
        self.deadlines = deadlines
        self.clock = clock
        self.connections: dict[AdminConnection, None] = {}
        self._calls = calls
        self._calls_with_argument = calls_with_argument or {}

    def add(self, connection: AdminConnection) -> None:
        """Add a connection; if there are too many, the oldest is evicted.

        Guards against callers that connect and send nothing, which would block others.
        """
        if len(self.connections) >= MAX_CONNECTIONS:
            oldest = next(iter(self.connections))
            oldest.abort(DisconnectReason.EVICTED)
        self.connections[connection] = None

    def remove(self, connection: AdminConnection) -> None:
        """Remove a connection that has ended, unless it was removed before."""
        self.connections.pop(connection, None)

    def reply(self, line: str) -> bytes:
        """Make the call that a line names; return the encoded reply, a rejection for an unknown call."""
        call = self._calls.get(line)
        if call is not None:
            return call()
        name, _, argument = line.partition(" ")
        call_with_argument = self._calls_with_argument.get(name)
        if argument and call_with_argument is not None:
            return call_with_argument(argument)
        return encode_reply(False, "no such call")


class AdminConnection(protocol.Protocol):
    """The connection of one caller; ``code`` is the reason why it ends, empty until that is known."""

    transport: Transport  # type: ignore[assignment]

    def __init__(self, endpoint: AdminEndpoint) -> None:
        self.code = ""
        self._endpoint = endpoint
        self._reader = LineReader()
        self._timeout: Deadline | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Start the time limit of the call (called by Twisted)."""
        self._endpoint.add(self)
        due_ms = self._endpoint.clock() + CALL_TIMEOUT_MS
        self._timeout = self._endpoint.deadlines.add(due_ms, self._on_timeout)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read the call, and reply once it has arrived completely (called by Twisted)."""
        if self.code:
            return
        try:
            line = self._reader.feed(data)
        except ProtocolError as error:
            self.abort(str(error))
            return
        if line is not None:
            self.code = DisconnectReason.ANSWERED
            self.transport.write(self._endpoint.reply(line))
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802
        """Log the end of the connection (called by Twisted)."""
        self._endpoint.deadlines.cancel(self._timeout)
        self._endpoint.remove(self)
        log_disconnect(ConnectionKind.ADMIN, None, self.code or disconnect_reason(reason))

    def abort(self, code: str) -> None:
        """Reset the connection; a ``code`` that is already set is kept."""
        self._endpoint.remove(self)
        self.code = self.code or code
        self.transport.abortConnection()

    def _on_timeout(self) -> None:
        self.abort(DisconnectReason.SILENT)
