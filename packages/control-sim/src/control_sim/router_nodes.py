"""Simulated routers: one that polls relays, and one that uses only the plain protocol."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from control_client import EndpointListEvent, StateEvent
from control_relay import PollRequest
from sansio_core import RandomSource, SetTimer, Started, TimerFired

from control_sim.connections import ConnectionFailed, ReplyReceived, SendRequest
from control_sim.poll_client import BLOCK_MS, PollClient, PollClientSettings, decode_response

# Endpoints by name, each as the JSON object of the protocol.
Endpoints = dict[str, Any]

# Time for which a plain router waits for a response before it reconnects.
RESPONSE_TIMEOUT_MS = 1300.0

# Time until the next poll of a plain router after a failure or a response without new events.
RETRY_MS = 200.0


class AppliedState:
    """The endpoint list and the latest purge of each target that a router has applied."""

    def __init__(self) -> None:
        self.endpoints: Endpoints = {}
        # The latest issue time of a purge (Unix ms), by target.
        self.purges: dict[Any, float] = {}

    def apply(self, event: StateEvent) -> None:
        """Apply an accepted event."""
        if not isinstance(event, EndpointListEvent):
            latest = self.purges.get(event.target, event.issued_unix_ms)
            self.purges[event.target] = max(event.issued_unix_ms, latest)
            return
        if event.is_complete:
            self.endpoints = {}
        for name, endpoint in event.endpoints.items():
            if endpoint is None:
                self.endpoints.pop(name, None)
            else:
                self.endpoints[name] = endpoint


class RouterNode:
    """A router that polls relays."""

    def __init__(self, name: str, settings: PollClientSettings, draw: RandomSource) -> None:
        self.name = name
        self.state = AppliedState()
        self.client = PollClient(self, settings, draw)

    def handle(self, now: float, event: object) -> list[Any]:
        """Process one event; return the actions to carry out."""
        return self.client.handle(now, event)

    def poll_request(self, is_sibling: bool) -> PollRequest:  # noqa: ARG002 - a router has no siblings
        """Return a poll, with the fields that describe this router."""
        return PollRequest(0, 0, name=self.name)

    def apply(
        self,
        now: float,  # noqa: ARG002 - the interface of a polling node
        events: Sequence[StateEvent],
        is_complete: bool,  # noqa: ARG002
    ) -> list[Any]:
        """Apply accepted events; returns no actions."""
        for event in events:
            self.state.apply(event)
        return []


class PlainRouterNode:
    """A router that uses the plain protocol: it has one source, and its cursor never decreases."""

    def __init__(self, source: str, first_connection: int) -> None:
        self.state = AppliedState()
        self._source = source
        self._cursor = 0
        self._connection = first_connection
        self._timer = 0
        # Whether a poll has been sent and its reply has not arrived.
        self._awaits_reply = False

    def handle(self, now: float, event: object) -> list[Any]:  # noqa: ARG002 - the interface of a state machine
        """Process one event; return the actions to carry out."""
        match event:
            case Started():
                return self._poll()
            case TimerFired(token) if token == self._timer:
                if self._awaits_reply:
                    self._connection += 1
                return self._poll()
            case ReplyReceived(connection) if connection == self._connection:
                return self._handle_reply(event)
            case ConnectionFailed(connection) if connection == self._connection:
                return self._reconnect()
        return []

    def _handle_reply(self, event: ReplyReceived) -> list[Any]:
        if event.body is None or event.is_truncated:
            return self._reconnect()
        cursor_before = self._cursor
        for received in sorted(decode_response(event.body).events, key=lambda received: received.number):
            if received.number > cursor_before:
                self._cursor = received.number
                self.state.apply(received)
        return self._poll() if self._cursor > cursor_before else self._poll_later()

    def _poll(self) -> list[Any]:
        self._timer += 1
        self._awaits_reply = True
        request = SendRequest(self._source, self._connection, PollRequest(self._cursor, BLOCK_MS))
        return [request, SetTimer(RESPONSE_TIMEOUT_MS, self._timer)]

    def _reconnect(self) -> list[Any]:
        self._connection += 1
        return self._poll_later()

    def _poll_later(self) -> list[Any]:
        self._timer += 1
        self._awaits_reply = False
        return [SetTimer(RETRY_MS, self._timer)]
