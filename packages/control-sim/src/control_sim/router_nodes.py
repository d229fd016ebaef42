"""Simulated routers: one that knows relays, and one that knows only the plain protocol."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from control_client import EndpointListEvent, StateEvent
from control_relay import PollRequest
from sansio_core import RandomSource, SetTimer, Started, TimerFired

from control_sim.connections import ConnectionFailed, ReplyReceived, SendRequest
from control_sim.poll_client import BLOCK_MS, PollClient, decode_response

Endpoints = dict[str, Any]
"""Endpoints by name, in the form of the wire."""

RESPONSE_TIMEOUT_MS = 1300.0
"""Of a plain router."""

RETRY_MS = 200.0
"""Pause of a plain router before the next poll."""


class AppliedState:
    """A list and purges as a router has them: an earlier purge changes nothing."""

    def __init__(self) -> None:
        self.endpoints: Endpoints = {}
        self.purges: dict[Any, float] = {}  # the latest time by target

    def apply(self, event: StateEvent) -> None:
        """Apply an event that was accepted."""
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

    def __init__(
        self,
        name: str,
        upstreams: tuple[str, ...],
        draw: RandomSource,
        first_connection: int,
        purge_retention_ms: float,
    ) -> None:
        self.name = name
        self.state = AppliedState()
        self.client = PollClient(self, upstreams, (), draw, first_connection, purge_retention_ms)

    def handle(self, now: float, event: object) -> list[Any]:
        """Process one event; return the actions to carry out."""
        return self.client.handle(now, event)

    def poll_request(self, is_sibling: bool) -> PollRequest:  # noqa: ARG002 - a router has no siblings
        """Return what this router's polls say about it."""
        return PollRequest(0, 0, name=self.name)

    def apply(
        self,
        now: float,  # noqa: ARG002 - the client's interface
        events: Sequence[StateEvent],
        is_complete: bool,  # noqa: ARG002
    ) -> list[Any]:
        """Apply accepted events."""
        for event in events:
            self.state.apply(event)
        return []


class PlainRouterNode:
    """A router that knows nothing of relays: one source, and a number that never goes back."""

    def __init__(self, source: str, first_connection: int) -> None:
        self.state = AppliedState()
        self._source = source
        self._cursor = 0
        self._connection = first_connection
        self._timer = 0
        self._has_polled = False  # and no reply has come

    def handle(self, now: float, event: object) -> list[Any]:  # noqa: ARG002 - a state machine's interface
        """Process one event; return the actions to carry out."""
        match event:
            case Started():
                return self._poll()
            case TimerFired(token) if token == self._timer:
                if self._has_polled:
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
        self._has_polled = True
        request = SendRequest(self._source, self._connection, PollRequest(self._cursor, BLOCK_MS))
        return [request, SetTimer(RESPONSE_TIMEOUT_MS, self._timer)]

    def _reconnect(self) -> list[Any]:
        self._connection += 1
        return self._poll_later()

    def _poll_later(self) -> list[Any]:
        self._timer += 1
        self._has_polled = False
        return [SetTimer(RETRY_MS, self._timer)]
