"""A simulated relay: the production core of ``control_relay``, and the client that feeds it."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any

from control_client import EndpointListEvent, StateEvent
from control_relay import (
    EndpointListUpdate,
    PollerDisconnected,
    PollerRole,
    PollReceived,
    PollRequest,
    PurgeReceived,
    RejectPoll,
    Relay,
    RelayAction,
    RelayEvent,
    SendResponse,
    UpstreamChanged,
    UpstreamConfirmed,
)
from sansio_core import RandomSource, SetTimer, Started, TimerFired

from control_sim.connections import ConnectionClosed, RequestReceived, SendReply, incarnation_of
from control_sim.poll_client import PollClient, PollClientSettings
from control_sim.router_nodes import Endpoints

# The group that ``control_relay`` gives to an object whose group is unknown.
UNKNOWN_GROUP = -1


class RelayNode:
    """The process of a relay.  Timer tokens of the core are even, those of the client are odd.

    ``served_incarnations`` has, by node, the incarnation of the last one that polled.
    """

    def __init__(self, name: str, relay: Relay, settings: PollClientSettings, draw: RandomSource) -> None:
        self.name = name
        self.relay = relay
        self.served_incarnations: dict[str, int] = {}
        self._upstream_epoch = ""
        # The names of the pollers, by connection.
        self._pollers: dict[int, str] = {}
        self.client = PollClient(self, settings, draw)

    def endpoints(self) -> Endpoints:
        """Return the core's current list; empty before the first one."""
        endpoint_list = self.relay.state.endpoints
        if not endpoint_list.number:
            return {}
        hosts = json.loads(endpoint_list.encoded_event())["nodes"]["hosts"]
        return {endpoint["host"]: endpoint for endpoint in hosts}

    def handle(self, now: float, event: object) -> list[Any]:
        """Process one event; return the actions to carry out."""
        match event:
            case Started():
                return self._feed(now, event) + self.client.handle(now, event)
            case TimerFired(token) if token % 2 == 0:
                return self._feed(now, TimerFired(token // 2))
            case RequestReceived():
                return self._handle_request(now, event)
            case ConnectionClosed(connection):
                self._pollers.pop(connection, None)
                return self._feed(now, PollerDisconnected(connection))
        return self.client.handle(now, event)

    def poll_request(self, is_sibling: bool) -> PollRequest:
        """Return a poll of an upstream or sibling, with the fields that describe this relay."""
        if is_sibling:
            return PollRequest(0, 0, role=PollerRole.SIBLING)
        progress = self.relay.upstream_progress()
        return PollRequest(
            resume=0,
            block_ms=0,
            role=PollerRole.RELAY,
            name=self.name,
            acknowledged=progress.acknowledged,
            lagging_count=progress.lagging_count,
            lagging_names=progress.lagging_names,
        )

    def apply(self, now: float, events: Sequence[StateEvent], is_complete: bool) -> list[Any]:
        """Feed accepted events to the core; confirm them if the source has sent all that it has."""
        actions: list[Any] = []
        follower = self.client.follower
        if follower.epoch != self._upstream_epoch:
            self._upstream_epoch = follower.epoch
            actions += self._feed(now, UpstreamChanged())
        for event in events:
            actions += self._feed(now, _relay_event(event))
        if is_complete:
            actions += self._feed(now, UpstreamConfirmed(follower.age_ms(now), follower.cursor))
        return actions

    def _handle_request(self, now: float, event: RequestReceived) -> list[Any]:
        self._pollers[event.connection] = event.source
        if event.request.role != PollerRole.PROBE:
            self.served_incarnations[event.source] = incarnation_of(event.connection)
        return self._feed(now, PollReceived(event.connection, event.request))

    def _feed(self, now: float, event: RelayEvent) -> list[Any]:
        return [self._to_simulated_action(action) for action in self.relay.handle(now, event)]

    def _to_simulated_action(self, action: RelayAction) -> Any:
        match action:
            case SendResponse(poller, body):
                return SendReply(self._pollers[poller], poller, body)
            case RejectPoll(poller):
                return SendReply(self._pollers[poller], poller, None)
            case SetTimer(in_ms, token):
                return SetTimer(in_ms, token * 2)
        return action


def _relay_event(event: StateEvent) -> EndpointListUpdate | PurgeReceived:
    if isinstance(event, EndpointListEvent):
        endpoints = event.payload if event.payload is not None else event.endpoints.values()
        return EndpointListUpdate(event.number, event.seq, event.is_complete, tuple(endpoints))
    if isinstance(event.target, str):
        return PurgeReceived(event.number, event.target, UNKNOWN_GROUP, event.issued_unix_ms)
    assert isinstance(event.target, int)
    return PurgeReceived(event.number, None, event.target, event.issued_unix_ms)
