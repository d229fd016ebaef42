"""A relay with a simulated clock: timers fire while ``advance`` lets time pass."""

from __future__ import annotations

import heapq
import json
from collections.abc import Mapping
from typing import Any

import pytest
from control_relay import (
    EndpointListUpdate,
    PollReceived,
    PollRequest,
    PurgeReceived,
    RejectPoll,
    RejectReason,
    Relay,
    RelayAction,
    RelayEvent,
    RelaySettings,
    SendResponse,
    UpstreamConfirmed,
)
from sansio_core import Notice, SetTimer, Started, TimerFired

FIRST_NUMBER = 1_764_600_000 << 20
MAX_POLLS = 1_000
"""Polls after which a member that still receives events counts as a failure."""


def endpoint(name: str, **fields: Any) -> dict[str, Any]:
    return {"host": name, "health": "active", **fields}


class RelayDriver:
    """Feeds a relay and records its actions: ``bodies`` and ``rejected`` by connection, and ``notices``."""

    def __init__(self, epoch: str = "r1", first_number: int = FIRST_NUMBER, **settings: Any) -> None:
        self.relay = Relay(RelaySettings(**settings), epoch, first_number)
        self.now = 0.0
        self.epoch = epoch
        self.bodies: dict[int, bytes] = {}
        self.rejected: dict[int, RejectReason] = {}
        self.notices: list[Notice] = []
        self._timers: list[tuple[float, int]] = []
        self._upstream_number = 0
        self.feed(Started())

    def feed(self, event: RelayEvent) -> list[RelayAction]:
        actions = self.relay.handle(self.now, event)
        for action in actions:
            match action:
                case SendResponse(poller, body):
                    self.bodies[poller] = body
                case RejectPoll(poller, reason):
                    self.rejected[poller] = reason
                case SetTimer(in_ms, token):
                    heapq.heappush(self._timers, (self.now + in_ms, token))
                case Notice():
                    self.notices.append(action)
        return actions

    def advance(self, ms: float) -> None:
        until = self.now + ms
        while self._timers and self._timers[0][0] <= until:
            self.now, token = heapq.heappop(self._timers)
            self.feed(TimerFired(token))
        self.now = until

    # Upstream

    def update_list(
        self, *endpoints: Mapping[str, Any], seq: int | None = 1, is_complete: bool = True
    ) -> None:
        self.feed(EndpointListUpdate(self._next_upstream_number(), seq, is_complete, endpoints))

    def purge(self, key: str, issued_unix_ms: float = 1e12, age_ms: float = 0.0) -> None:
        self.feed(PurgeReceived(self._next_upstream_number(), key, -1, issued_unix_ms, age_ms))

    def purge_group(self, group: int, issued_unix_ms: float = 1e12) -> None:
        self.feed(PurgeReceived(self._next_upstream_number(), None, group, issued_unix_ms))

    def confirm(self, age_ms: float = 0.0) -> None:
        self.feed(UpstreamConfirmed(age_ms, self._upstream_number))

    def make_ready(self, *endpoints: Mapping[str, Any]) -> RelayDriver:
        self.update_list(*(endpoints or (endpoint("a"), endpoint("b"))))
        self.confirm()
        return self

    def _next_upstream_number(self) -> int:
        self._upstream_number += 1
        return self._upstream_number

    # Members

    def poll(self, poller: int, resume: int, name: str = "", **fields: Any) -> dict[str, Any] | None:
        """Send a poll; return the response if it was sent immediately, else None."""
        self.bodies.pop(poller, None)
        request = {"epoch": self.epoch, "block_ms": 1_000.0, **fields}
        self.feed(PollReceived(poller, PollRequest(resume, name=name, **request)))
        return self.response(poller)

    def response(self, poller: int) -> dict[str, Any] | None:
        body = self.bodies.get(poller)
        return json.loads(body) if body is not None else None

    def poll_until_current(self, poller: int, resume: int = 0, name: str = "") -> int:
        """Poll until a poll stays pending; return the last event's number."""
        for _ in range(MAX_POLLS):
            response = self.poll(poller, resume, name)
            if response is None:
                return resume
            resume = last_number(response, resume)
        pytest.fail("events are still sent after MAX_POLLS polls")


def event_numbers(response: dict[str, Any] | None) -> list[int]:
    assert response is not None
    return [event["cursor"] for event in response["cmds"]]


def last_number(response: dict[str, Any] | None, default: int = 0) -> int:
    return max(event_numbers(response), default=default)
