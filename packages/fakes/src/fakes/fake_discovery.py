"""A scripted discovery, which handles each poll by the script's next step or else by the published events."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from twisted.internet import protocol
from twisted.internet.defer import inlineCallbacks
from twisted.python.failure import Failure

from fakes.config import LOOPBACK_HOST
from fakes.event_log import EventLog, JsonObject, parse_query
from fakes.event_loop import Steps, reactor, wait_until
from fakes.watch_messages import encode_answer
from thornjunction.net.event_loop.ports import ListeningPort, Transport
from thornjunction.net.event_loop.transport import BuildFactory
from thornjunction.net.wire import http1

# Block time (ms) of a poll that is answered at once, also without events.
NO_BLOCK_MS = 1

Step = Callable[["FakeDiscoveryConnection"], None]
# Handles one poll on a connection.


def respond(*pieces: bytes, then: Step | None = None) -> Step:
    """Return a step that writes these pieces in order and then runs the step ``then``."""

    def step(connection: FakeDiscoveryConnection) -> None:
        for piece in pieces:
            connection.transport.write(piece)
        if then is not None:
            then(connection)

    return step


def hold_poll(connection: FakeDiscoveryConnection) -> None:
    """Step: never answer the poll."""


def reset_connection(connection: FakeDiscoveryConnection) -> None:
    """Step: reset the connection."""
    connection.transport.abortConnection()


def close_write_side(connection: FakeDiscoveryConnection) -> None:
    """Step: close the sending side of the connection."""
    connection.transport.loseWriteConnection()


class FakeDiscoveryConnection(protocol.Protocol):
    """A connection of a discovery; ``disconnect_cause`` is the exception's class name once it has ended."""

    transport: Transport  # type: ignore[assignment]

    def __init__(self, discovery: ScriptedDiscovery) -> None:
        self.discovery = discovery
        self.disconnect_cause = ""
        self._reader = http1.RequestReader(0)

    def connectionMade(self) -> None:  # noqa: N802
        """Add the connection to those of its discovery (called by Twisted)."""
        self.transport.setTcpNoDelay(True)
        self.discovery.connections.append(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handle the polls that are complete now (called by Twisted)."""
        for request in self._reader.feed(data):
            self.handle_query(parse_query(request.target))

    def handle_query(self, query: dict[str, str]) -> None:
        """Handle one poll, given its query parameters."""
        self.discovery.handle_poll(self, int(query["resume"]), int(query["block"]))

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802
        """Store the class name of the cause (called by Twisted)."""
        self.disconnect_cause = type(reason.value).__name__


class HeldPoll(NamedTuple):
    """A poll that is kept open until the next event."""

    connection: FakeDiscoveryConnection
    resume: int


class ScriptedDiscovery:
    """A discovery on a free loopback port.

    Each poll is handled by the next step of the script.  After the last step, a poll is answered with the
    later events: at once if there are any or if it does not block, else when an event is published.

    Attributes:
        script: the steps for the next polls.
        polls: ``resume`` and block time of each poll.
        connections: all connections so far.
        held_poll: the poll that is kept open until an event, if any.
    """

    def __init__(self) -> None:
        self.script: list[Step] = []
        self.polls: list[tuple[int, int]] = []
        self.connections: list[FakeDiscoveryConnection] = []
        self.held_poll: HeldPoll | None = None
        self._log = EventLog()
        factory = BuildFactory(lambda: FakeDiscoveryConnection(self))
        self.port: ListeningPort = reactor.listenTCP(0, factory, interface=LOOPBACK_HOST)
        self.address = (LOOPBACK_HOST, int(self.port.getHost().port))

    @property
    def events(self) -> list[JsonObject]:
        """All published events; a test may replace them."""
        return self._log.events

    @events.setter
    def events(self, events: list[JsonObject]) -> None:
        """Replace all events; each must have its number."""
        self._log.events = events

    def handle_poll(self, connection: FakeDiscoveryConnection, resume: int, block_ms: int) -> None:
        """Handle one poll by the script's next step, or else by the events."""
        self.polls.append((resume, block_ms))
        if self.script:
            step = self.script.pop(0)
            step(connection)
            return
        self.held_poll = HeldPoll(connection, resume)
        if block_ms == NO_BLOCK_MS or self._log.has_events_after(resume):
            self.answer_held_poll()

    def answer_held_poll(self) -> None:
        """Answer the pending poll, if any, with the later events."""
        poll = self.held_poll
        if poll is None:
            return
        self.held_poll = None
        poll.connection.transport.write(encode_answer(self._log.encode_events_after(poll.resume)))

    def publish(self, **change: object) -> None:
        """Publish the next event (``nodes`` or ``drop``), and answer the pending poll."""
        self._log.append(change)
        self.answer_held_poll()

    @inlineCallbacks
    def stop(self) -> Steps[None]:
        """Close the port and reset all connections; wait until they have ended."""
        yield self.port.stopListening()
        for connection in self.connections:
            connection.transport.abortConnection()
        yield wait_until(lambda: all(connection.disconnect_cause for connection in self.connections))
