"""A probe: one short poll on a connection of its own, whose events are not used.

Its response reports the age of the source's state.  The sender polls another source, so a probed
relay no longer waits for its acknowledgements.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from twisted.internet import protocol
from twisted.python.failure import Failure

from thornjunction.memory.deadlines import Deadline
from thornjunction.net.discovery.watch_context import WatchContext
from thornjunction.net.event_loop.ports import Transport
from thornjunction.net.event_loop.transport import connect_by_deadline
from thornjunction.net.wire import ProtocolError, http1
from thornjunction.net.wire.commands import Address, Commands, decode_commands

# Time for connecting and for the response.
PROBE_TIMEOUT_MS = 900.0
# Largest body; a relay sends no events to a probe, and discovery has none after RESUME.
MAX_BODY_BYTES = 65_536
# Resume position after all events, for a discovery service that does not support probes.
RESUME = 1 << 53

OnProbeResult = Callable[[Commands | None], None]


class ProbeConnection(protocol.Protocol):
    """Sends one poll; reports its response, or None without one, when the connection has ended."""

    transport: Transport  # type: ignore[assignment]

    def __init__(self, request: bytes, on_result: OnProbeResult) -> None:
        self._request = request
        self._on_result = on_result
        self._reader = http1.ResponseReader(MAX_BODY_BYTES)
        self._response: Commands | None = None
        self._is_finished = False

    def connectionMade(self) -> None:  # noqa: N802
        """Send the poll."""
        self.transport.setTcpNoDelay(True)
        self.transport.write(self._request)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read the response, and abort the connection once it is complete or malformed."""
        if self._is_finished:
            return
        try:
            response = self._reader.next(data)
            if response is None:
                return
            if response.status == HTTPStatus.OK:
                self._response = decode_commands(response.body)
        except ProtocolError:
            pass
        self.abort()

    def abort(self) -> None:
        """Abort the connection, and ignore data that is received later."""
        self._is_finished = True
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: ARG002, N802
        """Report the result."""
        self._on_result(self._response)


def probe_source(context: WatchContext, source: Address, name: str, on_result: OnProbeResult) -> None:
    """Probe a source; the result is reported within ``PROBE_TIMEOUT_MS``.

    A relay that is probed no longer waits for acknowledgements of the router or relay with this name.

    Args:
        context: reactor, deadlines and clock.
        source: address of the source.
        name: name of the sender.
        on_result: called once, with the response, or with None if there is none.
    """
    target = f"/cmd/next?resume={RESUME}&block=1&as=probe&name={name}"
    request = http1.encode_get(target, f"{source[0]}:{source[1]}")
    deadlines = context.deadlines
    deadline_ms = context.clock() + PROBE_TIMEOUT_MS
    timers: list[Deadline] = []

    def finish(response: Commands | None) -> None:
        for timer in timers:
            deadlines.cancel(timer)
        on_result(response)

    def handle_connected(connection: ProbeConnection) -> None:
        timers.append(deadlines.add(deadline_ms, connection.abort))

    connecting = connect_by_deadline(
        context.reactor, source, lambda: ProbeConnection(request, finish), deadlines, deadline_ms
    )
    connecting.addCallbacks(handle_connected, lambda _: on_result(None))
