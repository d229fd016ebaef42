"""Scripted source of events on real loopback connections: a relay or discovery itself."""

from __future__ import annotations

from typing import Any, NamedTuple

from fakes.config import LOOPBACK_HOST
from fakes.event_log import JsonObject
from fakes.event_loop import Steps, reactor, wait_until
from fakes.fake_discovery import FakeDiscoveryConnection
from fakes.watch_messages import encode_answer
from twisted.internet import protocol
from twisted.internet.defer import inlineCallbacks
from twisted.python.failure import Failure

from thornjunction.net.event_loop.transport import BuildFactory

IMMEDIATE_BLOCK = "1"
OK = 200

Query = dict[str, str]


class SourceConnection(FakeDiscoveryConnection):
    """One connection of a source; its polls have more parameters than those of discovery."""

    def __init__(self, source: ScriptedSource) -> None:
        super().__init__(source)  # type: ignore[arg-type]
        self.source = source

    def handle_query(self, query: Query) -> None:
        """Pass the query of a poll or probe to the source."""
        self.source.handle_query(self, query)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802
        """Discard the poll that is pending on this connection, if any."""
        super().connectionLost(reason)
        if self.source.held_poll is not None and self.source.held_poll.connection is self:
            self.source.held_poll = None


class HeldPoll(NamedTuple):
    """A poll that awaits its response."""

    connection: SourceConnection
    query: Query


class ScriptedSource:
    """A relay, or a plain discovery if ``epoch`` is empty.

    Attributes:
        epoch: epoch that the event numbers belong to.
        age_ms: age of the state, as reported in responses.
        status: status of the responses.
        is_hung: whether the source answers neither polls nor probes.
        truncates_next_response: whether only the first half of the next response is sent.
        keeps_next_response: whether the next response is stored in ``kept_response`` instead of being sent.
        sends_head_last: whether responses contain their events before all other values.
        number: number of the last event.
        polls: the queries of all polls.
        probes: the queries of all probes.
        held_poll: the poll that awaits its response.
    """

    def __init__(self, epoch: str) -> None:
        self.epoch = epoch
        self.age_ms = 0
        self.status = OK
        self.is_hung = False
        self.truncates_next_response = False
        self.keeps_next_response = False
        self.kept_response = b""
        self.sends_head_last = False
        self.number = 0
        self.polls: list[Query] = []
        self.probes: list[Query] = []
        self.held_poll: HeldPoll | None = None
        self.connections: list[SourceConnection] = []
        self._seq = 0
        self._entries: dict[str, JsonObject] = {}
        self._listed_at = 0
        self._purges: list[JsonObject] = []
        self._events: list[JsonObject] = []
        self._listen(0)
        self.address = (LOOPBACK_HOST, int(self._port.getHost().port))

    def _listen(self, port: int) -> None:
        factory = BuildFactory(lambda: SourceConnection(self))
        self._port = reactor.listenTCP(port, factory, interface=LOOPBACK_HOST)

    @inlineCallbacks
    def kill(self) -> Steps[None]:
        """Close the port and reset all connections."""
        yield self._port.stopListening()
        for connection in self.connections:
            connection.transport.abortConnection()
        yield wait_until(lambda: all(connection.disconnect_cause for connection in self.connections))
        self.connections.clear()
        self.held_poll = None

    def listen_again(self, epoch: str) -> None:
        """Listen on the same address again, with another epoch."""
        self.epoch = epoch
        self.status = OK
        self.is_hung = False
        self._listen(self.address[1])

    def publish_list(self, seq: int, **health: str) -> ScriptedSource:
        """Publish servers and their states: a complete list if there is none yet, otherwise a change."""
        is_complete = not self._entries
        self.number += 1
        self._seq = seq
        entries = [{"host": name, "health": state} for name, state in health.items()]
        self._entries |= {entry["host"]: entry for entry in entries}
        self._listed_at = self.number
        nodes = {"seq": seq, "whole": is_complete, "hosts": entries}
        self._events.append({"cursor": self.number, "nodes": nodes})
        self.answer_held_poll()
        return self

    def publish_purge(self, group: int, issued_unix_ms: int) -> ScriptedSource:
        """Publish a purge of a group."""
        self.number += 1
        purge = {"cursor": self.number, "drop": {"family": group, "when": issued_unix_ms}}
        self._purges.append(purge)
        self._events.append(purge)
        self.answer_held_poll()
        return self

    def expire_purges(self) -> None:
        """Remove all purges, as after their retention time."""
        self._purges.clear()
        self._events = [event for event in self._events if "nodes" in event]

    def forget_list(self) -> None:
        """Remove the endpoint list, so that the next published one is complete."""
        self._entries.clear()

    def restart_at(self, number: int) -> None:
        """Remove all events, as a new process does, and continue after this number."""
        self.number = number
        self._events.clear()
        self._purges.clear()

    def handle_query(self, connection: SourceConnection, query: Query) -> None:
        """Answer a probe immediately, and a poll as soon as there is an event for it."""
        if query.get("as") == "probe":
            self.probes.append(query)
            if not self.is_hung:
                self._respond(connection, [])
            return
        self.polls.append(query)
        self.held_poll = HeldPoll(connection, query)
        if query["block"] == IMMEDIATE_BLOCK or self._has_events_for(query):
            self.answer_held_poll()

    def answer_held_poll(self) -> None:
        """Answer the pending poll, if any."""
        poll = self.held_poll
        if poll is None or self.is_hung:
            return
        self.held_poll = None
        self._respond(poll.connection, self._events_for(poll.query))

    def _has_events_for(self, query: Query) -> bool:
        resume = int(query["resume"])
        is_known = query.get("epoch", "") == self.epoch and 0 < resume <= self.number
        return not is_known or resume < self._events[-1]["cursor"]

    def _events_for(self, query: Query) -> list[JsonObject]:
        """The later events if the poll resumes in this epoch, otherwise the complete state."""
        resume = int(query["resume"])
        if query.get("epoch", "") == self.epoch and (resume > 0 or not self.epoch):
            return [event for event in self._events if event["cursor"] > resume]
        nodes = {"seq": self._seq, "whole": True, "hosts": list(self._entries.values())}
        complete_list = {"cursor": self._listed_at, "nodes": nodes}
        return sorted([complete_list, *self._purges], key=lambda event: int(event["cursor"]))

    def _respond(self, connection: SourceConnection, events: list[JsonObject]) -> None:
        response = encode_answer(self._content(events), self.status)
        if self.keeps_next_response:
            self.kept_response = response
        elif self.truncates_next_response:
            self.truncates_next_response = False
            connection.transport.write(response[: len(response) // 2])
            connection.transport.abortConnection()
        else:
            connection.transport.write(response)

    def _content(self, events: list[JsonObject]) -> dict[str, Any]:
        head: dict[str, Any] = {"cursor": self.number}
        if self.epoch:
            head |= {"epoch": self.epoch, "age": self.age_ms}
        commands = {"cmds": events}
        return commands | head if self.sends_head_last else head | commands
