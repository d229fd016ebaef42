"""The polling side of a router or relay, around the production ``SourceSelector`` and ``StateFollower``."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Any, Protocol

from control_client import (
    EndpointListEvent,
    PollAnswered,
    PollFailed,
    PollResponse,
    PollSent,
    ProbeAnswered,
    ProbeFailed,
    PurgeEvent,
    SelectionTimings,
    SelectorAction,
    SelectorEvent,
    SendProbe,
    SourceSelector,
    StartPolling,
    StateEvent,
    StateFollower,
    StopPolling,
    SyncStatus,
)
from control_relay import PollerRole, PollRequest
from sansio_core import Address, RandomSource, SetTimer, Started, TimerFired

from control_sim.connections import CloseConnection, ConnectionFailed, ReplyReceived, SendRequest

# Block time of a poll.
BLOCK_MS = 800.0

# Block time of a probe, which is answered at once.
PROBE_BLOCK_MS = 1.0

# Pause before the next poll after a response without events.
PAUSE_MS = 50.0

# Token of the timer of that pause.  A token of the selector is mapped to 2 * token + 1.
PAUSE_TIMER = 1

# Timings of source selection, short enough for runs of some seconds.
TIMINGS = SelectionTimings(
    probe_interval_ms=1000.0,
    max_probe_interval_ms=4000.0,
    recovery_ms=1500.0,
    return_spread_ms=1000.0,
)


class PollingNode(Protocol):
    """The router or relay that a client belongs to."""

    def poll_request(self, is_sibling: bool) -> PollRequest:
        """Return a poll of an upstream or sibling, with the fields that describe this node."""
        ...

    def apply(self, now: float, events: Sequence[StateEvent], is_complete: bool) -> list[Any]:
        """Apply accepted events; ``is_complete`` if the source has sent all that it has."""
        ...


def decode_response(body: bytes, received_fraction: float = 1.0) -> PollResponse:
    """Decode a response; of its events, only the first ``received_fraction`` are returned."""
    response = json.loads(body)
    events = [_decode_event(event) for event in response["cmds"]]
    return PollResponse(
        response.get("epoch", ""),
        float(response.get("age", 0.0)),
        response["cursor"],
        tuple(events[: int(len(events) * received_fraction)]),
    )


def _decode_event(event: dict[str, Any]) -> StateEvent:
    number = event["cursor"]
    if "drop" in event:
        purge = event["drop"]
        return PurgeEvent(number, purge.get("id", purge.get("family")), purge["when"])
    nodes = event["nodes"]
    endpoints = {line["host"]: None if line["health"] == "left" else line for line in nodes["hosts"]}
    return EndpointListEvent(number, nodes["seq"], nodes["whole"], endpoints, nodes["hosts"])


@dataclass(frozen=True, slots=True)
class PollClientSettings:
    """The sources of a node, the number of its first connection, and its retention of purges (ms)."""

    upstreams: tuple[str, ...]
    siblings: tuple[str, ...]
    first_connection: int
    purge_retention_ms: float


class PollClient:
    """Polls sources and passes the accepted events to the node.

    ``completed_epochs`` has, by epoch, the last event number accepted since the list was first complete.
    """

    def __init__(self, node: PollingNode, settings: PollClientSettings, draw: RandomSource) -> None:
        self.follower = StateFollower(settings.purge_retention_ms)
        self.status: SyncStatus | None = None
        self.completed_epochs: dict[str, int] = {}
        self._node = node
        self._siblings = settings.siblings
        self._selector = SourceSelector(
            _addresses(settings.upstreams), draw, _addresses(settings.siblings), TIMINGS
        )
        self._draw = draw
        self._source: Address | None = None
        self._connection: int | None = None
        self._last_connection = settings.first_connection
        # The probed sources, by connection.
        self._probes: dict[int, Address] = {}
        # Whether a poll has been sent and its reply has not arrived.
        self._awaits_reply = False

    @property
    def is_in_sync(self) -> bool:
        """Whether the last response ended with the source's latest event, and the source is not stale."""
        return self.status is SyncStatus.IN_SYNC

    def age_ms(self, now: float) -> float:
        """Return the age of the accepted state (ms)."""
        return self.follower.age_ms(now)

    def handle(self, now: float, event: object) -> list[Any]:
        """Process one event; return the actions to carry out."""
        match event:
            case Started():
                return self._handle_selector_event(now, event)
            case TimerFired(token) if token == PAUSE_TIMER:
                may_poll = self._connection is not None and not self._awaits_reply
                return self._poll(now) if may_poll else []
            case TimerFired(token):
                return self._handle_selector_event(now, TimerFired(token // 2))
            case ReplyReceived(connection) if connection in self._probes:
                return self._handle_probe_reply(now, event)
            case ReplyReceived(connection) if connection == self._connection:
                return self._handle_reply(now, event)
            case ConnectionFailed(connection) if connection in self._probes:
                return self._handle_selector_event(now, ProbeFailed(self._probes.pop(connection)))
            case ConnectionFailed(connection) if connection == self._connection:
                return self._fail(now, "broken")
        return []

    # Selection

    def _handle_selector_event(self, now: float, event: SelectorEvent) -> list[Any]:
        actions: list[Any] = []
        for action in self._selector.handle(now, event):
            actions += self._execute(now, action)
        return actions

    def _execute(self, now: float, action: SelectorAction) -> list[Any]:
        match action:
            case StartPolling(source):
                self._source = source
                self._connection = self._open_connection()
                return self._poll(now)
            case StopPolling(source):
                return self._stop_polling(source)
            case SendProbe(source):
                connection = self._open_connection()
                self._probes[connection] = source
                return [SendRequest(source[0], connection, self._probe_request())]
            case SetTimer(in_ms, token):
                return [SetTimer(in_ms, token * 2 + 1)]
        return [action]

    def _stop_polling(self, source: Address) -> list[Any]:
        """Deregister at the source by a probe, and close the connection."""
        assert self._connection is not None
        probe = SendRequest(source[0], self._connection, self._probe_request())
        close = CloseConnection(source[0], self._connection)
        self._source = None
        self._connection = None
        return [probe, close]

    def _probe_request(self) -> PollRequest:
        """Return a probe with this node's name, by which the probed source deregisters the node."""
        name = self._node.poll_request(is_sibling=False).name
        follower = self.follower
        return PollRequest(follower.cursor, PROBE_BLOCK_MS, follower.epoch, PollerRole.PROBE, name)

    def _open_connection(self) -> int:
        self._last_connection += 1
        return self._last_connection

    # Polls and probes

    def _poll(self, now: float) -> list[Any]:
        assert self._source is not None
        assert self._connection is not None
        self._awaits_reply = True
        source = self._source[0]
        position = self.follower.begin_poll(now)
        request = replace(
            self._node.poll_request(is_sibling=source in self._siblings),
            resume=position.resume,
            epoch=position.epoch,
            block_ms=BLOCK_MS,
        )
        send = SendRequest(source, self._connection, request)
        return [send, *self._handle_selector_event(now, PollSent(self._source))]

    def _handle_probe_reply(self, now: float, event: ReplyReceived) -> list[Any]:
        source = self._probes.pop(event.connection)
        if event.body is None or event.is_truncated:
            return self._handle_selector_event(now, ProbeFailed(source))
        return self._handle_selector_event(now, ProbeAnswered(source, decode_response(event.body).age_ms))

    def _fail(self, now: float, reason: str) -> list[Any]:
        source = self._source
        assert source is not None
        self._source = None
        self._connection = None
        return self._handle_selector_event(now, PollFailed(source, reason))

    def _handle_reply(self, now: float, event: ReplyReceived) -> list[Any]:
        self._awaits_reply = False
        if event.body is None:
            return self._fail(now, "refused")
        if event.is_truncated:
            return self._apply_truncated_response(now, event.body) + self._fail(now, "cut")
        return self._apply_response(now, decode_response(event.body))

    def _apply_truncated_response(self, now: float, body: bytes) -> list[Any]:
        """Apply the received part of a truncated response."""
        response = decode_response(body, received_fraction=self._draw())
        self.follower.begin_response(now, response.epoch, response.age_ms, response.cursor)
        accepted = [event for event in response.events if self.follower.accept_event(event)]
        return self._node.apply(now, accepted, is_complete=False)

    def _apply_response(self, now: float, response: PollResponse) -> list[Any]:
        source = self._source
        assert source is not None
        position_before = (self.follower.cursor, self.follower.epoch)
        accepted = self.follower.accept_response(now, response)
        self.status = accepted.status
        self._record_completed_epoch()
        actions = self._node.apply(now, accepted.events, is_complete=self.is_in_sync)
        is_stale = accepted.status is SyncStatus.SOURCE_STALE
        actions += self._handle_selector_event(now, PollAnswered(source, response.age_ms, is_stale))
        if source != self._source:
            return actions
        if position_before == (self.follower.cursor, self.follower.epoch):
            return [*actions, SetTimer(PAUSE_MS, PAUSE_TIMER)]
        return actions + self._poll(now)

    def _record_completed_epoch(self) -> None:
        epoch = self.follower.epoch
        if not epoch:
            return
        has_more = self.status is SyncStatus.MORE_AVAILABLE
        if not has_more or epoch in self.completed_epochs:
            number_before = self.completed_epochs.get(epoch, 0)
            self.completed_epochs[epoch] = max(number_before, self.follower.cursor)


def _addresses(names: Sequence[str]) -> list[Address]:
    return [(name, 0) for name in names]
